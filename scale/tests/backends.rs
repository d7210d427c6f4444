//! What the simulated backends count, which verdicts rest on.

use scale_test::backends::{warming_limit, BackendBehavior, BackendFleet, Reception};
use std::time::{Duration, Instant};

#[test]
fn the_limit_of_a_warming_backend_grows_with_its_age_to_that_of_a_warm_one() {
    // 2.5 times 0.3 of 50 a second over 2 s is 75.
    assert!((warming_limit(Duration::ZERO, 50.0) - (75.0 + 2.0 * 75_f64.sqrt() + 2.0)).abs() < 1e-9);
    assert!(
        (warming_limit(Duration::from_secs(99), 50.0) - (250.0 + 2.0 * 250_f64.sqrt() + 2.0)).abs() < 1e-9
    );
}

#[test]
fn backends_count_requests_while_warming_and_late_after_a_drain() {
    let behavior = BackendBehavior {
        mean_service_time: Duration::from_millis(10),
        capacity_per_s: 50.0,
        drain_slack: Duration::from_secs(2),
    };
    let fleet = BackendFleet::new(2, behavior, 1);
    let now = Instant::now();
    for _ in 0..500 {
        assert!(matches!(fleet.request_arrived(0, now), Reception::Served(_)));
    }
    assert_eq!(fleet.counters().warming_peak_of_limit, 0.0, "a warm one has no such limit");
    fleet.start(0);
    let limit = warming_limit(Duration::ZERO, 50.0);
    for _ in 0..200 {
        assert!(matches!(fleet.request_arrived(0, now), Reception::Served(_)));
    }
    assert!((fleet.counters().warming_peak_of_limit - 200.0 / limit).abs() < 1e-9, "{:?}", fleet.counters());
    fleet.drain(1);
    assert_eq!(fleet.request_arrived(1, Instant::now()), Reception::Rejected);
    assert_eq!((fleet.counters().rejected, fleet.counters().late), (1, 0));
    assert_eq!(fleet.request_arrived(1, Instant::now() + Duration::from_secs(4)), Reception::Rejected);
    assert_eq!((fleet.counters().rejected, fleet.counters().late), (2, 1));
}
