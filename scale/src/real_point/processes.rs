//! The proxies of a point, as processes of the real proxy.

use crate::plan::Point;
use crate::proxy_process::{ProcessError, ProxyProcess};
use crate::random::proxy_seed;
use crate::settings::proxy_settings;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time that a proxy may take to exit after SIGTERM, in addition to the request deadline.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(4);
/// Interval at which the processes are polled for their exit.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The proxy processes of a point; dropping it kills those that still run.
pub(super) struct ProxyProcesses {
    processes: RefCell<Vec<ProxyProcess>>,
}

/// Start time and listen address of a proxy.
#[derive(Clone, Copy)]
pub(super) struct StartedProxy {
    pub address: SocketAddr,
    pub started_at: Instant,
}

impl ProxyProcesses {
    /// Starts all proxies of the point, one after the other. `cached_list` is the endpoint list that they
    /// start with, if any.
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

    /// Returns the CPU time of all proxies together, in seconds.
    pub fn cpu_time_s(&self) -> Option<f64> {
        self.processes.borrow().iter().map(|process| process.stats().cpu_time_s()).sum()
    }

    /// Returns the mean resident memory of the proxies, in bytes.
    pub fn mean_memory_bytes(&self) -> Option<f64> {
        let processes = self.processes.borrow();
        let total: Option<u64> = processes.iter().map(|process| process.stats().memory_bytes()).sum();
        total.map(|total| total as f64 / processes.len() as f64)
    }

    /// Reconfigures all proxies with the new address of discovery.
    pub fn reload(&self, point: &Point, discovery: SocketAddr) -> Result<(), ProcessError> {
        for (process, proxy_index) in self.processes.borrow().iter().zip(0_u32..) {
            process.reload(&proxy_config(point, proxy_index, discovery))?;
        }
        Ok(())
    }

    /// Sends SIGTERM to all proxies and waits for them to exit. Returns each exit code, or `None` if a signal
    /// ended the proxy or it did not exit in time.
    pub async fn shut_down(&self, longest_deadline: Duration) -> Vec<Option<i32>> {
        for process in self.processes.borrow().iter() {
            if let Err(error) = process.terminate() {
                tracing::error!("cannot shut down a proxy: {error}");
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

/// Returns the configuration file's content for one proxy.
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
