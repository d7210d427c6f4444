//! Points with a few simulated proxies.

use scale_test::plan_file::parse;
use scale_test::point_result::PointResult;
use scale_test::simulated_point;

fn run_point(point: &str) -> PointResult {
    let head = "name = \"x\"\nkind = \"hollow\"\nover = \"proxies\"\nlongest_s = 60\n";
    let base = "[[points]]\nbackends = 40\nproxies = 12\nrate_per_s = 300\nrest_s = 0.2\nchange_s = 0.5\n";
    let plan = parse(&format!("{head}{base}{point}\n")).expect("invalid plan");
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("cannot create a runtime");
    let result = tokio::task::LocalSet::new().block_on(&runtime, simulated_point::run(&plan.points[0]));
    result.expect("the point failed")
}

fn assert_checks_hold(result: &PointResult) {
    for check in &result.checks {
        assert!(check.passed, "{}: {}", check.name, check.observed);
    }
}

#[test]
fn proxies_receive_their_list_and_respond_to_every_request() {
    let result = run_point("load_s = 2");
    assert_checks_hold(&result);
    assert!(
        result.figure("served").is_some_and(|value| value > 100.0),
        "too few requests served: {result:?}"
    );
    // One list call per proxy, plus the watch calls that start before the last proxy is ready.
    assert!(
        result.figure("start_calls").is_some_and(|value| (12.0..=24.0).contains(&value)),
        "wrong number of calls at the start: {result:?}"
    );
    assert!(
        result.figure("change_bytes_per_s").is_some_and(|value| value > 0.0),
        "no bytes for changed entries: {result:?}"
    );
}

#[test]
fn all_proxies_restart_without_a_list_during_a_backend_release() {
    let events = "events = [{ at_s = 0.5, what = \"return\" }, { at_s = 2, what = \"release\", for_s = 5 }]";
    let result = run_point(&format!("load_s = 9\ndrain_slack_s = 6\n{events}"));
    assert_checks_hold(&result);
    assert!(
        result.figure("load_lists").is_some_and(|value| value >= 12.0),
        "not every proxy requested the list again: {result:?}"
    );
    assert!(
        result.figure("cold_sum_of_limit").is_some_and(|value| value > 0.0),
        "no request to a backend in slow start: {result:?}"
    );
}
