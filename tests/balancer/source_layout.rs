//! The modules of the balancer stay small enough for review, and the deploy file names all of them.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Lines of a file, blank ones included.
const MAX_LINES: usize = 300;
/// Lines of a file that are not blank: a smaller module belongs to another.
const MIN_LINES: usize = 20;
/// Characters of a line.
const MAX_WIDTH: usize = 110;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The files of the balancer, named from the root.
fn balancer_files() -> BTreeSet<PathBuf> {
    let folder = Path::new("src/balancer");
    let entries = std::fs::read_dir(root().join(folder)).unwrap();
    entries.map(|entry| folder.join(entry.unwrap().file_name())).collect()
}

fn assert_reviewable(file: &Path) {
    let text = std::fs::read_to_string(root().join(file)).unwrap();
    let count = text.lines().count();
    let filled = text.lines().filter(|line| !line.trim().is_empty()).count();
    let file = file.display();
    assert!(count <= MAX_LINES, "{file}: {count} lines");
    assert!(filled >= MIN_LINES, "{file}: {filled} lines");
    for (number, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= MAX_WIDTH, "{file}: line {} is too wide", number + 1);
    }
    assert!(text.starts_with("//! "), "{file}: a module doc comes first");
}

/// Guards against modules that outgrow a review, and files that the deploy file lacks.
#[test]
fn the_balancer_stays_reviewable() {
    let files = balancer_files();
    assert!(files.len() > 1, "{files:?}");
    for file in &files {
        assert_reviewable(file);
    }
    let deploy = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap();
    let policy = deploy.lines().find(|line| line.starts_with("policy")).unwrap();
    let named: Vec<PathBuf> =
        policy.split('"').filter(|part| part.ends_with(".rs")).map(PathBuf::from).collect();
    let unique: BTreeSet<PathBuf> = named.iter().cloned().collect();
    assert_eq!(unique.len(), named.len(), "a file is named twice");
    assert_eq!(unique, files, "the deploy file names each file of the balancer");
}
