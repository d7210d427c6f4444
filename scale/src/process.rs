//! Processes of the real program: started, looked at through /proc, ended; never any but one's own.

use nix::sys::signal::{kill, Signal};
use nix::unistd::{sysconf, Pid, SysconfVar};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// A process must say where it listens within this time.
const STARTED: Duration = Duration::from_secs(10);

/// A child that is killed with its handle.
pub struct Process {
    child: Child,
    file: PathBuf,
    /// Where it listens for clients.
    pub address: SocketAddr,
    /// When it was started.
    pub since: Instant,
}

impl Process {
    /// Starts the program with these settings and waits until it says where it listens.
    pub fn start(program: &Path, folder: &Path, number: u32, config: &Value) -> Result<Process, String> {
        let file = folder.join(format!("proxy-{number}.json"));
        std::fs::write(&file, config.to_string()).map_err(|e| format!("{}: {e}", file.display()))?;
        let since = Instant::now();
        let mut child = Command::new(program)
            .env("BALANCER_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        let (told, address) = mpsc::channel();
        let stderr = child.stderr.take();
        let mut process = Process { child, file, address: SocketAddr::from(([127, 0, 0, 1], 0)), since };
        let stderr = stderr.ok_or("a child without standard error")?;
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if let Some(address) = line.split_once("listening on ").and_then(|l| l.1.trim().parse().ok())
                {
                    let _ = told.send(address);
                }
                tracing::debug!("proxy {number}: {line}");
            }
        });
        process.address =
            address.recv_timeout(STARTED).map_err(|_| format!("proxy {number}: never listened"))?;
        Ok(process)
    }

    fn signal(&self, signal: Signal) -> Result<(), String> {
        let pid = i32::try_from(self.child.id()).map_err(|e| format!("a process id: {e}"))?;
        kill(Pid::from_raw(pid), signal).map_err(|e| format!("{signal}: {e}"))
    }

    /// Replaces its settings, whole at once, and sends SIGHUP.
    pub fn reload(&self, config: &Value) -> Result<(), String> {
        let next = self.file.with_extension("next");
        std::fs::write(&next, config.to_string()).map_err(|e| format!("{}: {e}", next.display()))?;
        std::fs::rename(&next, &self.file).map_err(|e| format!("{}: {e}", self.file.display()))?;
        self.signal(Signal::SIGHUP)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) -> Result<(), String> {
        self.signal(Signal::SIGTERM)
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Processor time that it has taken, in seconds.
    pub fn processor_s(&self) -> Option<f64> {
        processor_s(&self.child.id().to_string())
    }

    /// Memory that it holds, in bytes.
    pub fn memory(&self) -> Option<u64> {
        memory(&self.child.id().to_string())
    }
}

/// Processor time of a process by its id or `self`, in seconds; the system counts in hundredths of one.
pub fn processor_s(process: &str) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The name before may hold anything; the state follows it.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let (user, system): (f64, f64) = (fields.get(11)?.parse().ok()?, fields.get(12)?.parse().ok()?);
    let per_s = sysconf(SysconfVar::CLK_TCK).ok()??;
    Some((user + system) / per_s as f64)
}

/// Memory of a process by its id or `self`, in bytes.
pub fn memory(process: &str) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches(" kB").parse::<u64>().ok().map(|kib| kib * 1024)
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}
