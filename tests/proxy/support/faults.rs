//! Fault injection: system calls of the proxy that fail at random, and a wall clock that is wrong or stepped.

use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::OnceLock;

/// Number of fault files created so far, for unique file names.
static FAULT_FILES: AtomicUsize = AtomicUsize::new(0);

/// Byte positions of the fields of `struct faults` in `faults.c`.
const CLOCK_OFFSET_FIELD: u64 = 0;
const ACCEPT_PERCENT_FIELD: u64 = 8;
const CONNECT_PERCENT_FIELD: u64 = 16;
const RELOAD_PERCENT_FIELD: u64 = 24;
/// Size of `struct faults` in bytes.
const FAULTS_SIZE: usize = 32;

/// Faults injected into one proxy, which reads them from a file shared with its test.
pub struct Faults {
    path: PathBuf,
    file: std::fs::File,
}

impl Faults {
    /// Creates a fault file that injects no faults yet.
    pub fn none() -> Faults {
        let number = FAULT_FILES.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("faults-{}-{number}", std::process::id()));
        std::fs::write(&path, [0; FAULTS_SIZE]).unwrap();
        let file = std::fs::File::options().write(true).open(&path).unwrap();
        Faults { path, file }
    }

    fn set(&self, field: u64, value: i64) {
        self.file.write_all_at(&value.to_ne_bytes(), field).unwrap();
    }

    /// Sets the offset of the proxy's wall clock from the correct time.
    pub fn set_clock_offset(&self, seconds: i64) {
        self.set(CLOCK_OFFSET_FIELD, seconds * 1_000_000);
    }

    /// Lets this percentage of accept calls fail.
    pub fn fail_accepts(&self, percent: i64) {
        self.set(ACCEPT_PERCENT_FIELD, percent);
    }

    /// Lets this percentage of socket and connect calls fail with resource and network errors.
    pub fn fail_connects(&self, percent: i64) {
        self.set(CONNECT_PERCENT_FIELD, percent);
    }

    /// Lets this percentage of thread starts and of reads of the configuration file fail.
    pub fn fail_reloads(&self, percent: i64) {
        self.set(RELOAD_PERCENT_FIELD, percent);
    }

    /// Returns the environment variables that inject the faults into a proxy.
    pub fn environment(&self) -> [(&'static str, &Path); 2] {
        [("FAULTS", &self.path), ("LD_PRELOAD", fault_library())]
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Returns the path of the fault injection library, which is built once per test process.
fn fault_library() -> &'static Path {
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
