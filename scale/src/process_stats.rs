//! CPU time and memory of a process, read from /proc.

use nix::unistd::{sysconf, SysconfVar};
use std::path::PathBuf;

/// Index of the user time among the fields of `stat` after the process name; the system time follows it.
const USER_TIME_FIELD: usize = 11;

/// Reads the statistics of one process.
pub struct ProcessStats {
    directory: PathBuf,
}

impl ProcessStats {
    /// Creates a reader for the calling process.
    pub fn for_current_process() -> ProcessStats {
        ProcessStats { directory: "/proc/self".into() }
    }

    /// Creates a reader for the process with this id.
    pub fn for_process(process_id: u32) -> ProcessStats {
        ProcessStats { directory: format!("/proc/{process_id}").into() }
    }

    /// Returns the user and system CPU time used so far, in seconds. The resolution is one clock tick,
    /// usually 10 ms.
    pub fn cpu_time_s(&self) -> Option<f64> {
        let text = std::fs::read_to_string(self.directory.join("stat")).ok()?;
        // The process name, in parentheses, may contain any character.
        let (_, fields) = text.rsplit_once(')')?;
        let mut times = fields.split_whitespace().skip(USER_TIME_FIELD);
        let user: f64 = times.next()?.parse().ok()?;
        let system: f64 = times.next()?.parse().ok()?;
        let ticks_per_s = sysconf(SysconfVar::CLK_TCK).ok()??;
        Some((user + system) / ticks_per_s as f64)
    }

    /// Returns the resident memory, in bytes.
    pub fn memory_bytes(&self) -> Option<u64> {
        let text = std::fs::read_to_string(self.directory.join("status")).ok()?;
        let size = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib: u64 = size.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kib * 1024)
    }
}
