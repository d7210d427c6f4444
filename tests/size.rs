//! The operators review the decision module in an hour: its size is bounded, file by file.

/// The file, named from the root, holds so many lines, none of them too wide, and names the interface first.
fn stays_reviewable(file: &str, lines: std::ops::RangeInclusive<usize>) {
    let text = std::fs::read_to_string(format!("{}/{file}", env!("CARGO_MANIFEST_DIR"))).unwrap();
    let count = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines.contains(&count), "{file}: {count} lines");
    for (number, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "{file}: line {} is too wide", number + 1);
    }
    assert!(text.lines().take(3).any(|l| l.contains("src/interface.rs")), "the interface is named first");
}

#[test]
fn the_decision_module_stays_reviewable() {
    stays_reviewable("src/logic.rs", 100..=520);
    stays_reviewable("src/aperture.rs", 20..=120);
    stays_reviewable("src/ejection.rs", 20..=150);
    stays_reviewable("src/ramp.rs", 20..=120);
    let deploy =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/balancer.toml")).unwrap();
    let policy = deploy.lines().find(|l| l.starts_with("policy")).unwrap();
    let named = policy.split('"').filter(|part| part.ends_with(".rs")).collect::<Vec<_>>();
    let bounded = ["src/logic.rs", "src/aperture.rs", "src/ejection.rs", "src/ramp.rs"];
    assert_eq!(named, bounded, "each file of decisions has its bound here");
}
