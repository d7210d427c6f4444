//! Starts, signals and ends processes of the real proxy. Only processes started here are ever signalled.

use crate::process_stats::ProcessStats;
use nix::errno::Errno;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Time within which a proxy must log its listen address.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Text before the listen address in a proxy's log.
const LISTEN_LOG_PREFIX: &str = "listening on ";

/// Error while starting or signalling a process.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// A configuration file could not be written, or the program could not be run.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// There is no pipe to the child's standard error.
    #[error("no pipe to the standard error of the proxy")]
    NoStandardError,
    /// The proxy exited, or did not log its listen address within the timeout.
    #[error("proxy {number}: exited, or did not log its listen address within {START_TIMEOUT:?}")]
    ListenTimeout {
        /// Index of the proxy.
        number: u32,
    },
    /// The process id is out of the range of ids that can be signalled.
    #[error("invalid process id: {0}")]
    ProcessId(std::num::TryFromIntError),
    /// A signal could not be sent.
    #[error("cannot send {signal}: {source}")]
    Signal {
        /// Signal that was not sent.
        signal: Signal,
        /// Error of the operating system.
        source: Errno,
    },
}

impl ProcessError {
    fn file(path: &Path) -> impl FnOnce(io::Error) -> ProcessError + '_ {
        |source| ProcessError::File { path: path.to_path_buf(), source }
    }
}

/// A running proxy; dropping it kills the process and removes its configuration file.
pub struct ProxyProcess {
    child: Child,
    config_file: PathBuf,
    /// Address on which the proxy accepts clients.
    pub address: SocketAddr,
    /// When the process was started.
    pub started_at: Instant,
}

impl ProxyProcess {
    /// Starts the program with this configuration and waits until it logs its listen address.
    pub fn start(
        program: &Path, directory: &Path, number: u32, config: &Value,
    ) -> Result<ProxyProcess, ProcessError> {
        let config_file = directory.join(format!("proxy-{number}.json"));
        std::fs::write(&config_file, config.to_string()).map_err(ProcessError::file(&config_file))?;
        let started_at = Instant::now();
        let mut child = Command::new(program)
            .env("BALANCER_CONFIG", &config_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(ProcessError::file(program))?;
        let stderr = child.stderr.take();
        let placeholder_address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut process = ProxyProcess { child, config_file, address: placeholder_address, started_at };
        let addresses = read_log(number, stderr.ok_or(ProcessError::NoStandardError)?);
        process.address =
            addresses.recv_timeout(START_TIMEOUT).map_err(|_| ProcessError::ListenTimeout { number })?;
        Ok(process)
    }

    fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let process_id = i32::try_from(self.child.id()).map_err(ProcessError::ProcessId)?;
        kill(Pid::from_raw(process_id), signal).map_err(|source| ProcessError::Signal { signal, source })
    }

    /// Atomically replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &Value) -> Result<(), ProcessError> {
        let next = self.config_file.with_extension("next");
        std::fs::write(&next, config.to_string()).map_err(ProcessError::file(&next))?;
        std::fs::rename(&next, &self.config_file).map_err(ProcessError::file(&self.config_file))?;
        self.signal(Signal::SIGHUP)
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        self.signal(Signal::SIGTERM)
    }

    /// Returns the exit status; `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns a reader for the CPU time and memory of the process.
    pub fn stats(&self) -> ProcessStats {
        ProcessStats::for_process(self.child.id())
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
    }
}

/// Reads the log of a proxy until it closes, on a background thread. The returned channel receives the listen
/// addresses found in it.
fn read_log(number: u32, stderr: ChildStderr) -> mpsc::Receiver<SocketAddr> {
    let (address_sender, addresses) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            if let Some(address) = listen_address(&line) {
                let _ = address_sender.send(address);
            }
            tracing::debug!("proxy {number}: {line}");
        }
    });
    addresses
}

fn listen_address(line: &str) -> Option<SocketAddr> {
    let (_, address) = line.split_once(LISTEN_LOG_PREFIX)?;
    address.trim().parse().ok()
}
