//! The proxies of a point: processes of the real program.

use crate::plan::Point;
use crate::proxy_process::{ProcessError, ProxyProcess};
use crate::random::proxy_seed;
use crate::site_settings::proxy_settings;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long a proxy may take to exit, beside the longest deadline.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(4);
/// How often it is looked whether the proxies have exited.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The proxies of a point; they are killed when this is dropped.
pub(super) struct ProxyProcesses {
    processes: RefCell<Vec<ProxyProcess>>,
}

/// When a proxy was started, and where it listens.
#[derive(Clone, Copy)]
pub(super) struct StartedProxy {
    pub address: SocketAddr,
    pub started_at: Instant,
}

impl ProxyProcesses {
    /// Starts all of them, one after the other.
    pub fn start(
        point: &Point, program: &Path, directory: &Path, discovery: SocketAddr, cached_list: Option<&Value>,
    ) -> Result<ProxyProcesses, ProcessError> {
        let mut processes = Vec::new();
        for proxy_index in 0..point.proxies {
            let mut config = proxy_config(point, proxy_index, discovery);
            if let Some(list) = cached_list {
                config["known"] = list.clone();
            }
            processes.push(ProxyProcess::start(program, directory, proxy_index, &config)?);
        }
        Ok(ProxyProcesses { processes: RefCell::new(processes) })
    }

    pub fn started_proxies(&self) -> Vec<StartedProxy> {
        let started = |process: &ProxyProcess| StartedProxy {
            address: process.address,
            started_at: process.started_at,
        };
        self.processes.borrow().iter().map(started).collect()
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.processes.borrow().iter().map(|process| process.address).collect()
    }

    /// Processor time of all proxies, in seconds.
    pub fn cpu_time_s(&self) -> Option<f64> {
        self.processes.borrow().iter().map(|process| process.stats().cpu_time_s()).sum()
    }

    /// Mean memory of the proxies, in bytes.
    pub fn mean_memory_bytes(&self) -> Option<f64> {
        let processes = self.processes.borrow();
        let total: Option<u64> = processes.iter().map(|process| process.stats().memory_bytes()).sum();
        total.map(|total| total as f64 / processes.len() as f64)
    }

    /// Gives all proxies the new address of discovery.
    pub fn reload(&self, point: &Point, discovery: SocketAddr) -> Result<(), ProcessError> {
        for (process, proxy_index) in self.processes.borrow().iter().zip(0_u32..) {
            process.reload(&proxy_config(point, proxy_index, discovery))?;
        }
        Ok(())
    }

    /// Sends SIGTERM to all; yields the exit code of each, none where a signal ended it or nothing did in
    /// time.
    pub async fn shut_down(&self, longest_deadline: Duration) -> Vec<Option<i32>> {
        for process in self.processes.borrow().iter() {
            if let Err(error) = process.terminate() {
                tracing::error!("SIGTERM: {error}");
            }
        }
        let limit = Instant::now() + longest_deadline + SHUTDOWN_GRACE;
        let mut exit_codes = vec![None; self.processes.borrow().len()];
        while exit_codes.iter().any(Option::is_none) && Instant::now() < limit {
            self.update_exit_codes(&mut exit_codes);
            sleep(POLL_INTERVAL).await;
        }
        exit_codes
    }

    fn update_exit_codes(&self, exit_codes: &mut [Option<i32>]) {
        for (process, code) in self.processes.borrow_mut().iter_mut().zip(exit_codes) {
            if code.is_none() {
                *code = process.exit_status().and_then(|status| status.code());
            }
        }
    }
}

/// The configuration of one proxy.
fn proxy_config(point: &Point, proxy_index: u32, discovery: SocketAddr) -> Value {
    json!({
        "name": format!("n{proxy_index}"),
        "listen": "127.0.0.1:0",
        "discovery": discovery.to_string(),
        "seed": format!("{:x}", proxy_seed(point.seed, proxy_index)),
        "limits": {"sockets": point.sockets},
        "settings": proxy_settings(point, proxy_index),
    })
}
