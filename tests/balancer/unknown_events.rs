//! Events about requests, attempts and timers that the balancer does not know.

use crate::support::{class, config, fleet, host, serve};
use load_balancer::{AttemptNumber, Idempotency, RequestId, TimerToken};

#[test]
fn events_of_unknown_things_change_nothing() {
    let run = |noise: bool| {
        let mut host = host(config(vec![class(Idempotency::Idempotent)]), fleet(3));
        if noise {
            host.nonsense(RequestId(77), AttemptNumber(3), TimerToken(u64::MAX));
        }
        serve(&mut host, 50, 0, |_| 10_000)
    };
    assert_eq!(run(false), run(true));
}
