//! The built proxy as a child process.

use crate::support::{config, line, refusing_address, until, Backend, Client, Discovery, Faults};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A running proxy; it is killed with its test.
pub struct Proxy {
    child: Child,
    pub address: SocketAddr,
    /// Its configuration.
    pub file: PathBuf,
    log: Arc<Mutex<String>>,
}

/// Numbers the configuration files.
static FILES: AtomicUsize = AtomicUsize::new(0);

impl Proxy {
    /// Starts one and waits until it says that it is ready.
    pub fn start(config: &Value) -> Proxy {
        let proxy = Proxy::spawn(config);
        until("ready", || proxy.ready() == 200);
        proxy
    }

    /// Starts one and waits until it listens, on a port that the system gave it.
    pub fn spawn(config: &Value) -> Proxy {
        Proxy::spawn_with(config, "unlimited")
    }

    /// With the system's own limit on descriptors, which the configuration does not tell.
    pub fn spawn_with(config: &Value, descriptors: &str) -> Proxy {
        Proxy::launch(config, descriptors).listening()
    }

    /// On a machine with these faults.
    pub fn spawn_among(faults: &Faults, config: &Value) -> Proxy {
        Proxy::launch_among(Some(faults), config, "unlimited").listening()
    }

    fn listening(self) -> Proxy {
        let mut proxy = self;
        until("the line that tells its address", || {
            let log = proxy.log();
            let told = log.lines().find_map(|l| l.split_once("listening on ")?.1.parse().ok());
            told.map(|address| proxy.address = address).is_some()
        });
        proxy
    }

    /// Starts one that need not come so far as to listen; its address is not known.
    pub fn launch(config: &Value, descriptors: &str) -> Proxy {
        Proxy::launch_among(None, config, descriptors)
    }

    fn launch_among(faults: Option<&Faults>, config: &Value, descriptors: &str) -> Proxy {
        let name = format!(
            "load-balancer-proxy-{}-{}.json",
            std::process::id(),
            FILES.fetch_add(1, Ordering::Relaxed)
        );
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, config.to_string()).unwrap();
        let limit =
            if descriptors == "unlimited" { String::new() } else { format!("ulimit -n {descriptors}; ") };
        let mut child = Command::new("sh")
            .args(["-c", &format!("{limit}exec \"$0\""), env!("CARGO_BIN_EXE_load-balancer-proxy")])
            .env("BALANCER_CONFIG", &file)
            .env("BALANCER_LOG", "debug")
            .envs(faults.iter().flat_map(|f| f.environment()))
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (mut stderr, log) =
            (BufReader::new(child.stderr.take().unwrap()), Arc::<Mutex<String>>::default());
        let kept = log.clone();
        std::thread::spawn(move || {
            let mut line = String::new();
            while stderr.read_line(&mut line).is_ok_and(|n| n > 0) {
                kept.lock().unwrap().push_str(&std::mem::take(&mut line));
            }
        });
        Proxy { child, address: refusing_address(), file, log }
    }

    /// The status of its readiness, 0 if it does not answer.
    pub fn ready(&self) -> u16 {
        let Ok(mut client) = Client::try_open(self.address) else { return 0 };
        client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        client.answer().map_or(0, |a| a.status())
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// The memory that the process holds, in KiB.
    pub fn memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Ends it at once, if it has not ended.
    pub fn kill(&self) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-KILL", &pid]).stderr(Stdio::null()).status();
    }

    /// Replaces the configuration file, whole at once, and tells the proxy.
    pub fn reload(&self, text: &str) {
        let next = self.file.with_extension("next");
        std::fs::write(&next, text).unwrap();
        std::fs::rename(&next, &self.file).unwrap();
        self.signal("-HUP");
    }

    pub fn exit(&mut self) -> ExitStatus {
        let mut status = None;
        until("the end of the process", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

impl Proxy {
    /// Stops the process for so long, as a busy machine might. Returns how long it may have been stopped: on a loaded
    /// machine that is longer.
    pub fn hold_up(&self, during: Duration, meanwhile: impl FnOnce()) -> Duration {
        let began = Instant::now();
        self.signal("-STOP");
        meanwhile();
        std::thread::sleep(during.saturating_sub(began.elapsed()));
        self.signal("-CONT");
        began.elapsed()
    }
}

/// A proxy that knows these backends, by name, and its discovery.
pub fn proxy_for(backends: &[(&str, &Backend)]) -> (Proxy, Discovery) {
    let discovery = Discovery::start();
    let lines: Vec<Value> = backends.iter().map(|(n, b)| line(n, b.address, "ready", 0)).collect();
    (Proxy::start(&config(discovery.address, &lines)), discovery)
}
