//! Events that refer to unknown requests, attempts and timers.

use crate::support::{backends, class, config_of, host, serve};
use load_balancer::{AttemptNumber, Idempotency, RequestId, TimerToken};

/// Guards against an event with an unknown request, attempt or timer that changes later decisions.
#[test]
fn events_with_unknown_ids_change_nothing() {
    let run = |with_unknown_events: bool| {
        let mut host = host(config_of(vec![class(Idempotency::Idempotent)]), backends(3));
        if with_unknown_events {
            host.handle_unknown_ids(RequestId(77), AttemptNumber(3), TimerToken(u64::MAX));
        }
        serve(&mut host, 50, 0, |_| 10_000)
    };
    assert_eq!(run(false), run(true));
}
