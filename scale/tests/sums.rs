//! Sums that verdicts and tables rest on.

use scale_test::backends::{cold_limit, Fleet, Nature, Reception};
use std::time::{Duration, Instant};

#[test]
fn the_limit_of_a_cold_backend_grows_with_its_age_to_that_of_a_warm_one() {
    // 2.5 times 0.3 of 50 a second over 2 s is 75.
    assert!((cold_limit(Duration::ZERO, 50.0) - (75.0 + 2.0 * 75_f64.sqrt() + 2.0)).abs() < 1e-9);
    assert!((cold_limit(Duration::from_secs(99), 50.0) - (250.0 + 2.0 * 250_f64.sqrt() + 2.0)).abs() < 1e-9);
}

#[test]
fn backends_count_what_reaches_them_cold_and_late_after_a_drain() {
    let service = Duration::from_millis(10);
    let fleet =
        Fleet::new(2, Nature { service, capacity_per_s: 50.0, drain_slack: Duration::from_secs(2) }, 1);
    let now = Instant::now();
    (0..500).for_each(|_| assert!(matches!(fleet.arrive(0, now), Reception::Serve(_))));
    assert_eq!(fleet.counts().cold, 0.0, "a warm one has no such limit");
    fleet.start(0);
    let limit = cold_limit(Duration::ZERO, 50.0);
    (0..200).for_each(|_| assert!(matches!(fleet.arrive(0, now), Reception::Serve(_))));
    assert!((fleet.counts().cold - 200.0 / limit).abs() < 1e-9, "{:?}", fleet.counts());
    fleet.drain(1);
    assert_eq!(fleet.arrive(1, Instant::now()), Reception::TurnAway);
    assert_eq!((fleet.counts().turned_away, fleet.counts().late), (1, 0));
    assert_eq!(fleet.arrive(1, Instant::now() + Duration::from_secs(4)), Reception::TurnAway);
    assert_eq!((fleet.counts().turned_away, fleet.counts().late), (2, 1));
}

#[test]
fn every_plan_that_stands_here_is_sound() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("plans");
    let mut count = 0;
    for file in std::fs::read_dir(folder).expect("plans") {
        let path = file.expect("a file").path();
        let plan = scale_test::plan_file::load(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        let seconds: f64 =
            plan.points.iter().map(|p| scale_test::machine_limits::longest_duration_s(plan.kind, p)).sum();
        assert!(seconds <= plan.longest_s, "{}: {seconds}", path.display());
        count += 1;
    }
    assert!(count >= 9, "{count} plans");
}
