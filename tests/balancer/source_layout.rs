//! Limits on the size of the balancer's modules, and their list in the deploy file.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Maximum number of lines in a file, blank ones included.
const MAX_LINES: usize = 300;
/// Minimum number of non-blank lines in a file: a smaller module is better merged into another.
const MIN_LINES: usize = 20;
/// Maximum number of characters in a line.
const MAX_WIDTH: usize = 110;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The files of the balancer, as paths relative to the repository's root.
fn balancer_files() -> BTreeSet<PathBuf> {
    let folder = Path::new("src/balancer");
    let entries = std::fs::read_dir(root().join(folder)).unwrap();
    entries.map(|entry| folder.join(entry.unwrap().file_name())).collect()
}

fn assert_within_limits(file: &Path) {
    let text = std::fs::read_to_string(root().join(file)).unwrap();
    let count = text.lines().count();
    let filled = text.lines().filter(|line| !line.trim().is_empty()).count();
    let file = file.display();
    assert!(count <= MAX_LINES, "{file}: {count} lines, more than {MAX_LINES}");
    assert!(filled >= MIN_LINES, "{file}: {filled} non-blank lines, fewer than {MIN_LINES}");
    for (number, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= MAX_WIDTH, "{file}: line {} is wider than {MAX_WIDTH}", number + 1);
    }
    assert!(text.starts_with("//! "), "{file}: does not start with a module doc comment");
}

/// Guards against modules that are too large to review, and files missing from the deploy file.
#[test]
fn balancer_modules_are_small_and_listed_in_the_deploy_file() {
    let files = balancer_files();
    assert!(files.len() > 1, "src/balancer has too few files: {files:?}");
    for file in &files {
        assert_within_limits(file);
    }
    let deploy = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap();
    let policy = deploy.lines().find(|line| line.starts_with("policy")).unwrap();
    let named: Vec<PathBuf> =
        policy.split('"').filter(|part| part.ends_with(".rs")).map(PathBuf::from).collect();
    let unique: BTreeSet<PathBuf> = named.iter().cloned().collect();
    assert_eq!(unique.len(), named.len(), "the deploy file names a file twice");
    assert_eq!(unique, files, "the deploy file does not name exactly the files of the balancer");
}
