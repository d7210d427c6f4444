//! Counters of the simulated backends, on which the checks of a point are based.

use scale_test::backends::{slow_start_limit, BackendBehavior, BackendFleet, BackendResponse};
use std::time::{Duration, Instant};

#[test]
fn slow_start_limit_grows_with_age_to_the_full_limit() {
    // 2.5 times 0.3 of 50 requests per second, over 2 s, is 75.
    assert!((slow_start_limit(Duration::ZERO, 50.0) - (75.0 + 2.0 * 75_f64.sqrt() + 2.0)).abs() < 1e-9);
    assert!(
        (slow_start_limit(Duration::from_secs(99), 50.0) - (250.0 + 2.0 * 250_f64.sqrt() + 2.0)).abs() < 1e-9
    );
}

#[test]
fn backends_count_slow_start_and_late_requests() {
    let behavior = BackendBehavior {
        mean_service_time: Duration::from_millis(10),
        capacity_per_s: 50.0,
        drain_slack: Duration::from_secs(2),
    };
    let fleet = BackendFleet::new(2, behavior, 1);
    let now = Instant::now();
    for _ in 0..500 {
        assert!(matches!(fleet.request_arrived(0, now), BackendResponse::Served(_)));
    }
    assert_eq!(fleet.counters().slow_start_peak_ratio, 0.0, "no limit applies after slow start");
    fleet.start(0);
    let limit = slow_start_limit(Duration::ZERO, 50.0);
    for _ in 0..200 {
        assert!(matches!(fleet.request_arrived(0, now), BackendResponse::Served(_)));
    }
    assert!(
        (fleet.counters().slow_start_peak_ratio - 200.0 / limit).abs() < 1e-9,
        "the peak is not 200 requests divided by the limit: {:?}",
        fleet.counters()
    );
    fleet.drain(1);
    assert_eq!(fleet.request_arrived(1, Instant::now()), BackendResponse::Rejected);
    assert_eq!((fleet.counters().rejected, fleet.counters().late_requests), (1, 0));
    assert_eq!(fleet.request_arrived(1, Instant::now() + Duration::from_secs(4)), BackendResponse::Rejected);
    assert_eq!((fleet.counters().rejected, fleet.counters().late_requests), (2, 1));
}
