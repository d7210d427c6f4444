//! Faults of the machine around the proxy: system calls that fail for a moment, and a wall clock that is
//! wrong or stepped.

use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::OnceLock;

/// Numbers the files that proxies share with their tests.
static FAULT_FILES: AtomicUsize = AtomicUsize::new(0);

/// Offsets of the fields of `struct faults` in `faults.c`.
const CLOCK_OFFSET: u64 = 0;
const ACCEPT_PERCENT: u64 = 8;
const CONNECT_PERCENT: u64 = 16;
const RELOAD_PERCENT: u64 = 24;
/// Size of `struct faults` in bytes.
const SIZE: usize = 32;

/// What goes wrong with the system calls of one proxy, which shares this file with its test.
pub struct Faults {
    path: PathBuf,
    file: std::fs::File,
}

impl Faults {
    /// None so far.
    pub fn none() -> Faults {
        let number = FAULT_FILES.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("faults-{}-{number}", std::process::id()));
        std::fs::write(&path, [0; SIZE]).unwrap();
        let file = std::fs::File::options().write(true).open(&path).unwrap();
        Faults { path, file }
    }

    fn set(&self, offset: u64, value: i64) {
        self.file.write_all_at(&value.to_ne_bytes(), offset).unwrap();
    }

    /// The wall clock shows that much more than the right time.
    pub fn step_clock(&self, seconds: i64) {
        self.set(CLOCK_OFFSET, seconds * 1_000_000);
    }

    /// So many in a hundred of the calls of accept fail.
    pub fn fail_accepts(&self, percent: i64) {
        self.set(ACCEPT_PERCENT, percent);
    }

    /// So many in a hundred of the calls of socket and of connect fail, as resources are exhausted.
    pub fn fail_connects(&self, percent: i64) {
        self.set(CONNECT_PERCENT, percent);
    }

    /// So many in a hundred of the starts of threads and of the reads of the configuration fail.
    pub fn fail_reloads(&self, percent: i64) {
        self.set(RELOAD_PERCENT, percent);
    }

    /// The environment variables of a proxy that meets them.
    pub fn environment(&self) -> [(&'static str, &Path); 2] {
        [("FAULTS", &self.path), ("LD_PRELOAD", preloaded())]
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// The library, built once for all tests of this process.
fn preloaded() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/proxy/support/faults.c");
        let library =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("faults-{}.so", std::process::id()));
        let built =
            Command::new("cc").args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(source).status();
        assert!(built.unwrap().success());
        library
    })
}
