//! Events about requests, attempts and timers that the balancer does not know.

use crate::support::{backends, class, config_of, host, serve};
use load_balancer::{AttemptNumber, Idempotency, RequestId, TimerToken};

/// Guards against an event about an unknown request, attempt or timer that changes later decisions.
#[test]
fn events_of_unknown_things_change_nothing() {
    let run = |with_unknown_events: bool| {
        let mut host = host(config_of(vec![class(Idempotency::Idempotent)]), backends(3));
        if with_unknown_events {
            host.handle_unknown(RequestId(77), AttemptNumber(3), TimerToken(u64::MAX));
        }
        serve(&mut host, 50, 0, |_| 10_000)
    };
    assert_eq!(run(false), run(true));
}
