//! The built proxy as a child process.

use super::{config, endpoint, refusing_address, wait_until, Backend, Client, Discovery, Faults};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Numbers the configuration files.
static CONFIG_FILES: AtomicUsize = AtomicUsize::new(0);

/// A running proxy; it is killed with its test.
pub struct ProxyProcess {
    child: Child,
    pub address: SocketAddr,
    pub config_file: PathBuf,
    log: Arc<Mutex<String>>,
}

/// On what machine a proxy is started.
#[derive(Default)]
struct Environment<'a> {
    faults: Option<&'a Faults>,
    /// The system's own limit on descriptors, which the configuration does not mention.
    descriptor_limit: Option<u32>,
}

impl ProxyProcess {
    /// Starts a proxy and waits until it says that it is ready.
    pub fn start(config: &Value) -> ProxyProcess {
        let proxy = ProxyProcess::spawn(config);
        wait_until("ready", || proxy.readiness_status() == 200);
        proxy
    }

    /// Starts a proxy and waits until it listens, on a port that the system gave it.
    pub fn spawn(config: &Value) -> ProxyProcess {
        ProxyProcess::launch(config).wait_for_listener()
    }

    /// The same with the system's own limit on descriptors.
    pub fn spawn_with_descriptor_limit(config: &Value, limit: u32) -> ProxyProcess {
        let environment = Environment { descriptor_limit: Some(limit), ..Environment::default() };
        ProxyProcess::launch_in(environment, config).wait_for_listener()
    }

    /// The same on a machine with these faults.
    pub fn spawn_with_faults(faults: &Faults, config: &Value) -> ProxyProcess {
        let environment = Environment { faults: Some(faults), ..Environment::default() };
        ProxyProcess::launch_in(environment, config).wait_for_listener()
    }

    /// Starts a proxy that need not come so far as to listen; its address is not known.
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
        wait_until("the line with its address", || {
            let log = self.log();
            let address = log.lines().find_map(|line| line.split_once("listening on ")?.1.parse().ok());
            address.map(|address| self.address = address).is_some()
        });
        self
    }

    /// The status of its readiness, 0 if it does not answer.
    pub fn readiness_status(&self) -> u16 {
        let Ok(mut client) = Client::try_open(self.address) else { return 0 };
        client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        client.read_response().map_or(0, |response| response.status())
    }

    /// All that it has logged so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// How often this text stands in the log so far.
    pub fn count_in_log(&self, text: &str) -> usize {
        self.log().matches(text).count()
    }

    /// The memory that the process holds, in KiB.
    pub fn memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends a signal, named as an option of `kill`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Ends it at once, if it has not ended.
    pub fn kill(&self) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-KILL", &pid]).stderr(Stdio::null()).status();
    }

    /// Stops the process for so long, as a busy machine might. Returns how long it may have been stopped: on
    /// a loaded machine that is longer.
    pub fn stall(&self, duration: Duration, meanwhile: impl FnOnce()) -> Duration {
        let began = Instant::now();
        self.signal("-STOP");
        meanwhile();
        std::thread::sleep(duration.saturating_sub(began.elapsed()));
        self.signal("-CONT");
        began.elapsed()
    }

    /// Replaces the configuration file, whole at once, and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        let next = self.config_file.with_extension("next");
        std::fs::write(&next, text).unwrap();
        std::fs::rename(&next, &self.config_file).unwrap();
        self.signal("-HUP");
    }

    /// Waits for the end of the process.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the end of the process", || {
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

/// Reads the log of a process as it comes.
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

/// A proxy whose cached list holds these backends, by name, and its discovery.
pub fn proxy_for(backends: &[(&str, &Backend)]) -> (ProxyProcess, Discovery) {
    let discovery = Discovery::start();
    let endpoint_of = |(name, backend): &(&str, &Backend)| endpoint(name, backend.address, "ready", 0);
    let endpoints: Vec<Value> = backends.iter().map(endpoint_of).collect();
    (ProxyProcess::start(&config(discovery.address, &endpoints)), discovery)
}
