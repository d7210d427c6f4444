//! Parsing, validation and resource checks of plans; each error is one line that names the key.

use scale_test::machine_limits::{self, MachineResources};
use scale_test::plan::Plan;
use scale_test::plan_file::{self, parse};

const HEAD: &str = "name = \"x\"\nkind = \"real\"\nover = \"backends\"\nlongest_s = 600\n";

/// Returns the error line for an invalid plan.
fn parse_error(text: &str) -> String {
    let line = parse(text).expect_err("the plan is accepted").to_string();
    assert!(!line.contains('\n'), "more than one line: {line}");
    line
}

fn with_point(point: &str) -> String {
    format!("{HEAD}[[points]]\nbackends = 20\n{point}\n")
}

fn parse_valid(text: &str) -> Plan {
    parse(text).expect("the plan is rejected")
}

const SMALL_MACHINE: MachineResources =
    MachineResources { memory_bytes: 2_000_000_000, file_descriptors: 4_096 };

#[test]
fn invalid_plan_error_names_the_key_and_the_expected_value() {
    let cases = [
        ("name = ".to_string(), "line 1: expected TOML"),
        ("kind = \"real\"\nover = \"backends\"\nlongest_s = 1\n[[points]]\n".into(), "name: missing"),
        (format!("{HEAD}color = 1\n[[points]]\n"), "color: expected a known key"),
        (HEAD.replace("real", "wooden") + "[[points]]\n", "kind: expected a valid value"),
        (HEAD.replace("backends", "hats") + "[[points]]\nbackends = 2\nkinds = 1\n", "over: expected one of"),
        (HEAD.replace("600", "0") + "[[points]]\nbackends = 8\n", "longest_s: expected seconds above 0"),
        (HEAD.to_string(), "points: missing, expected at least one [[points]]"),
        (format!("{HEAD}points = 3\n"), "points: missing"),
        (format!("base = 1\n{HEAD}[[points]]\n"), "base: expected a table, got integer"),
        (format!("{HEAD}[base]\nclasses = \"many\"\n[[points]]\nbackends = 8\n"), "base.classes: expected"),
        (format!("{HEAD}[[points]]\n"), "points[0].backends: expected a whole number from 1 to 20000"),
        (with_point("proxies = -1"), "points[0].proxies: expected"),
        (with_point("hats = 1"), "points[0].hats: expected a known key"),
        (with_point("rate_per_s = nan"), "points[0].rate_per_s: expected above 0"),
        (with_point("discovery = { queue = 0 }"), "points[0].discovery.queue: expected a whole number"),
        (with_point("discovery = { queues = 1 }"), "points[0].discovery.queues: expected a known key"),
        (with_point("events = [{ what = \"reload\" }]"), "points[0].events[0].at_s: missing"),
        (with_point("events = [{ at_s = 1, what = \"rain\" }]"), "points[0].events[0].what: expected"),
        (with_point("events = [{ at_s = 99, what = \"reload\" }]"), "points[0].events[0]: expected at_s"),
        (
            with_point("events = [{ at_s = 1, what = \"return\" }]"),
            "points[0].events[0].what: expected return",
        ),
    ];
    for (text, expected) in cases {
        let line = parse_error(&text);
        assert!(line.starts_with(expected), "{line:?} does not start with {expected:?}");
    }
}

#[test]
fn base_values_apply_unless_a_point_overrides_them() {
    let text = format!(
        "{HEAD}[base]\nclasses = 7\n[[points]]\nbackends = 8\n[[points]]\nbackends = 9\nclasses = 8\n"
    );
    let plan = parse_valid(&text);
    let sizes: Vec<(u32, u32)> = plan.points.iter().map(|point| (point.backends, point.classes)).collect();
    assert_eq!(sizes, [(8, 7), (9, 8)]);
}

#[test]
fn plan_exceeding_machine_limits_is_rejected_before_it_starts() {
    let machine_error = |text: &str| {
        machine_limits::check(&parse_valid(text), SMALL_MACHINE)
            .expect_err("the plan is accepted")
            .to_string()
    };
    assert!(machine_limits::check(&parse_valid(&with_point("")), SMALL_MACHINE).is_ok());
    let line = machine_error(&with_point("proxies = 200\nconnections = 1"));
    assert!(
        line.starts_with("points[0].proxies: expected fewer than 200 processes"),
        "unexpected error: {line}"
    );
    let line = machine_error(&with_point("proxies = 100"));
    assert!(
        line.starts_with("points[0].proxies: expected at most 1000 MB of memory"),
        "unexpected error: {line}"
    );
    let line = machine_error(&with_point("").replace("= 20", "= 5000"));
    assert!(
        line.starts_with("points[0].backends: expected at most 4096 file descriptors"),
        "unexpected error: {line}"
    );
    let line = machine_error(&with_point("load_s = 900"));
    assert!(line.starts_with("longest_s: expected at least 9"), "unexpected error: {line}");
}

#[test]
fn every_plan_in_the_package_is_valid() {
    let directory = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("plans");
    let mut count = 0;
    for file in std::fs::read_dir(directory).expect("cannot list the plans") {
        let path = file.expect("cannot read a directory entry").path();
        let plan = plan_file::load(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        let max_duration_s = |point| machine_limits::max_duration_s(plan.kind, point);
        let seconds: f64 = plan.points.iter().map(max_duration_s).sum();
        assert!(seconds <= plan.longest_s, "{}: the points may take {seconds} s", path.display());
        count += 1;
    }
    assert!(count >= 9, "only {count} plans found");
}
