//! The proxy binary as a child process.

use super::{
    config, endpoint, ready_endpoints, refusing_address, wait_until, Backend, Client, Discovery, Faults,
};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Number of configuration files created so far, for unique file names.
static CONFIG_FILES: AtomicUsize = AtomicUsize::new(0);

/// A running proxy, killed when dropped.
pub struct ProxyProcess {
    child: Child,
    pub address: SocketAddr,
    pub config_file: PathBuf,
    log: Arc<Mutex<String>>,
}

/// Environment in which a proxy is started.
#[derive(Default)]
struct Environment<'a> {
    faults: Option<&'a Faults>,
    /// Descriptor limit set with `ulimit`, independent of the limit in the configuration.
    descriptor_limit: Option<u32>,
}

impl ProxyProcess {
    /// Starts a proxy and waits until its readiness probe succeeds.
    pub fn start(config: &Value) -> ProxyProcess {
        let proxy = ProxyProcess::spawn(config);
        wait_until("the proxy to be ready", || proxy.readiness_status() == 200);
        proxy
    }

    /// Starts a proxy and waits until it listens, on a port assigned by the operating system.
    pub fn spawn(config: &Value) -> ProxyProcess {
        ProxyProcess::launch(config).wait_for_listener()
    }

    /// Like [`ProxyProcess::spawn`], with a descriptor limit of the operating system.
    pub fn spawn_with_descriptor_limit(config: &Value, limit: u32) -> ProxyProcess {
        let environment = Environment { descriptor_limit: Some(limit), ..Environment::default() };
        ProxyProcess::launch_in(environment, config).wait_for_listener()
    }

    /// Like [`ProxyProcess::spawn`], with injected faults.
    pub fn spawn_with_faults(faults: &Faults, config: &Value) -> ProxyProcess {
        let environment = Environment { faults: Some(faults), ..Environment::default() };
        ProxyProcess::launch_in(environment, config).wait_for_listener()
    }

    /// Starts a proxy without waiting until it listens; its address is unknown.
    pub fn launch(config: &Value) -> ProxyProcess {
        ProxyProcess::launch_in(Environment::default(), config)
    }

    fn launch_in(environment: Environment, config: &Value) -> ProxyProcess {
        let config_file = new_config_file();
        std::fs::write(&config_file, config.to_string()).unwrap();
        let limit = environment.descriptor_limit;
        let limit_command = limit.map_or(String::new(), |limit| format!("ulimit -n {limit}; "));
        let mut child = Command::new("sh")
            .args(["-c", &format!("{limit_command}exec \"$0\""), env!("CARGO_BIN_EXE_load-balancer-proxy")])
            .env("BALANCER_CONFIG", &config_file)
            .env("BALANCER_LOG", "debug")
            .envs(environment.faults.iter().flat_map(|faults| faults.environment()))
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = collect_log(child.stderr.take().unwrap());
        ProxyProcess { child, address: refusing_address(), config_file, log }
    }

    fn wait_for_listener(mut self) -> ProxyProcess {
        wait_until("the log line with the listening address", || {
            let log = self.log();
            let address = log.lines().find_map(|line| line.split_once("listening on ")?.1.parse().ok());
            address.map(|address| self.address = address).is_some()
        });
        self
    }

    /// Returns the status of the readiness probe, or 0 if there is no response.
    pub fn readiness_status(&self) -> u16 {
        let Ok(mut client) = Client::try_open(self.address) else { return 0 };
        client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        client.read_response().map_or(0, |response| response.status())
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Returns how often the text occurs in the log so far.
    pub fn count_in_log(&self, text: &str) -> usize {
        self.log().matches(text).count()
    }

    /// Returns the resident memory of the process, in KiB.
    pub fn memory_kib(&self) -> u64 {
        self.status_kib("VmRSS:")
    }

    /// Returns the largest resident memory that the process has had, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        self.status_kib("VmHWM:")
    }

    fn status_kib(&self, key: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(key)).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Returns the number of file descriptors that the process has open; 0 if it has exited.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends a signal, given as an option of `kill`, for example `-HUP`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Kills the process if it has not exited.
    pub fn kill(&self) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-KILL", &pid]).stderr(Stdio::null()).status();
    }

    /// Stops the process for `duration`, to simulate a stall, and runs `meanwhile` during that time. Returns
    /// an upper bound of the time it was stopped, which exceeds `duration` on a loaded machine.
    pub fn stall(&self, duration: Duration, meanwhile: impl FnOnce()) -> Duration {
        let began = Instant::now();
        self.signal("-STOP");
        meanwhile();
        std::thread::sleep(duration.saturating_sub(began.elapsed()));
        self.signal("-CONT");
        began.elapsed()
    }

    /// Replaces the configuration file atomically and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        let next = self.config_file.with_extension("next");
        std::fs::write(&next, text).unwrap();
        std::fs::rename(&next, &self.config_file).unwrap();
        self.signal("-HUP");
    }

    /// Waits until the process exits.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the proxy to exit", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
    }
}

fn new_config_file() -> PathBuf {
    let number = CONFIG_FILES.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("load-balancer-proxy-{}-{number}.json", std::process::id()))
}

/// Collects the log of a process in a background thread.
fn collect_log(stderr: ChildStderr) -> Arc<Mutex<String>> {
    let log = Arc::<Mutex<String>>::default();
    let collected = log.clone();
    let mut reader = BufReader::new(stderr);
    std::thread::spawn(move || {
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|length| length > 0) {
            collected.lock().unwrap().push_str(&std::mem::take(&mut line));
        }
    });
    log
}

/// Starts a proxy whose cached list contains these backends, by name; returns it with its discovery service.
pub fn start_proxy_for(backends: &[(&str, &Backend)]) -> (ProxyProcess, Discovery) {
    let discovery = Discovery::start();
    let endpoint_of = |(name, backend): &(&str, &Backend)| endpoint(name, backend.address, "ready", 0);
    let endpoints: Vec<Value> = backends.iter().map(endpoint_of).collect();
    (ProxyProcess::start(&config(discovery.address, &endpoints)), discovery)
}

/// Starts a proxy with these limits whose cached list contains the backends; returns it with its discovery
/// service.
pub fn start_proxy_with_limits(
    backends: &[Backend], memory_mb: u64, descriptors: usize,
) -> (ProxyProcess, Discovery) {
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &ready_endpoints(backends.iter()));
    config["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors});
    (ProxyProcess::start(&config), discovery)
}
