//! Processes of the real proxy: started, signalled, ended; never any but those that this program started.

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

/// A proxy must say where it listens within this time.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// What a proxy writes before its address.
const LISTEN_LOG_PREFIX: &str = "listening on ";

/// Why a process could not be started or signalled.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// A file could not be written or run.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The system gave no pipe from the child.
    #[error("a child without standard error")]
    NoStandardError,
    /// It did not say in time where it listens.
    #[error("proxy {number}: never listened")]
    ListenTimeout {
        /// Its number.
        number: u32,
    },
    /// Its id is none that can be signalled.
    #[error("a process id: {0}")]
    ProcessId(std::num::TryFromIntError),
    /// A signal could not be sent.
    #[error("{signal}: {source}")]
    Signal {
        /// The signal.
        signal: Signal,
        /// What the system said.
        source: Errno,
    },
}

impl ProcessError {
    fn file(path: &Path) -> impl FnOnce(io::Error) -> ProcessError + '_ {
        |source| ProcessError::File { path: path.to_path_buf(), source }
    }
}

/// A proxy that is killed when this is dropped.
pub struct ProxyProcess {
    child: Child,
    config_file: PathBuf,
    /// Where it listens for clients.
    pub address: SocketAddr,
    /// When it was started.
    pub started_at: Instant,
}

impl ProxyProcess {
    /// Starts the program with this configuration and waits until it says where it listens.
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

    /// Replaces its configuration, whole at once, and sends SIGHUP.
    pub fn reload(&self, config: &Value) -> Result<(), ProcessError> {
        let next = self.config_file.with_extension("next");
        std::fs::write(&next, config.to_string()).map_err(ProcessError::file(&next))?;
        std::fs::rename(&next, &self.config_file).map_err(ProcessError::file(&self.config_file))?;
        self.signal(Signal::SIGHUP)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        self.signal(Signal::SIGTERM)
    }

    /// How it ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Reads what it takes of the machine.
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

/// Reads the log of a proxy to its end; yields the addresses on which it says that it listens.
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
