//! What a process takes of the machine, read from /proc.

use nix::unistd::{sysconf, SysconfVar};
use std::path::PathBuf;

/// Where the user time stands among the fields of `stat` after the name; the system time follows.
const USER_TIME_FIELD: usize = 11;

/// Reads what one process takes.
pub struct ProcessStats {
    directory: PathBuf,
}

impl ProcessStats {
    /// Of this process.
    pub fn for_current_process() -> ProcessStats {
        ProcessStats { directory: "/proc/self".into() }
    }

    /// Of the process with this id.
    pub fn for_process(process_id: u32) -> ProcessStats {
        ProcessStats { directory: format!("/proc/{process_id}").into() }
    }

    /// Processor time taken, in seconds; the system counts in hundredths of one.
    pub fn cpu_time_s(&self) -> Option<f64> {
        let text = std::fs::read_to_string(self.directory.join("stat")).ok()?;
        // The name, in parentheses, may hold anything.
        let (_, fields) = text.rsplit_once(')')?;
        let mut times = fields.split_whitespace().skip(USER_TIME_FIELD);
        let user: f64 = times.next()?.parse().ok()?;
        let system: f64 = times.next()?.parse().ok()?;
        let ticks_per_s = sysconf(SysconfVar::CLK_TCK).ok()??;
        Some((user + system) / ticks_per_s as f64)
    }

    /// Memory held, in bytes.
    pub fn memory_bytes(&self) -> Option<u64> {
        let text = std::fs::read_to_string(self.directory.join("status")).ok()?;
        let size = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib: u64 = size.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kib * 1024)
    }
}
