//! The platform of a case: a temporary folder, discovery, the proxies and the record.

use crate::http::{ok_response, read_message};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub const SIGTERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Why a case could not run; the exit code is then 2.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

/// What was sent, answered and run, with times in milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> Result<Record, Failure> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), began: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Result<Folder, Failure> {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?;
        let name = format!("review-{}-{}", std::process::id(), now.as_nanos());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct List {
    index: u64,
    entries: Vec<(String, String)>,
}

/// Discovery: the whole list, or a watch that waits for a newer version.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
}

impl Discovery {
    /// Starts discovery with these backends, all ready since long ago.
    pub fn start(backends: &[SocketAddr]) -> Result<Discovery, Failure> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let entries = backends.iter().enumerate().map(|(number, address)| {
            let zone = ["houston", "atlanta", "miami"][number % 3];
            let kind = ["current", "legacy"][number % 2];
            let name = format!("box-{number}");
            let entry = format!(
                "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"type\":\"{kind}\",\
                 \"group\":{},\"status\":\"ready\",\"weight\":1.0,\"since_ms\":0}}",
                number % 3
            );
            (name, entry)
        });
        let list = List { index: 1, entries: entries.collect() };
        let discovery =
            Discovery { address: listener.local_addr()?, list: Arc::new((Mutex::new(list), Condvar::new())) };
        let shared = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let discovery = shared.clone();
                std::thread::spawn(move || discovery.serve(stream));
            }
        });
        Ok(discovery)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(call)) = read_message(&mut reader) {
            let after = number_after(&call.start_line, "after=");
            let wait = Duration::from_millis(number_after(&call.start_line, "wait_ms=").unwrap_or(0));
            let body = self.answer(after, wait);
            if stream.write_all(ok_response(&body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, after: Option<u64>, wait: Duration) -> String {
        let list = self.list.0.lock().unwrap();
        let is_current = |list: &mut List| after == Some(list.index);
        let (list, _) = self.list.1.wait_timeout_while(list, wait, is_current).unwrap();
        let has_news = after != Some(list.index);
        let entries: Vec<&str> =
            list.entries.iter().filter(|_| has_news).map(|(_, entry)| entry.as_str()).collect();
        format!(
            "{{\"index\":{},\"snapshot\":{has_news},\"endpoints\":[{}]}}",
            list.index,
            entries.join(",")
        )
    }
}

fn number_after(line: &str, key: &str) -> Option<u64> {
    let rest = line.split_once(key)?.1;
    rest.split(|character: char| !character.is_ascii_digit()).next()?.parse().ok()
}

/// A proxy process, killed when dropped.
pub struct Proxy {
    child: Child,
    pub address: SocketAddr,
}

impl Proxy {
    /// Starts proxy `position` of `count` with the command of the deploy file, and waits until it is ready.
    pub fn start(
        folder: &Folder, discovery: &Discovery, position: usize, count: usize, sockets: usize,
    ) -> Result<Proxy, Failure> {
        let config = folder.0.join(format!("proxy-{position}.json"));
        std::fs::write(&config, config_text(discovery, position, count, sockets))?;
        let mut child = Command::new("/bin/sh")
            .args(["-c", &run_command()?])
            .env("BALANCER_CONFIG", &config)
            .env("BALANCER_NAME", format!("n{position}"))
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let stderr = child.stderr.take().ok_or("no standard error")?;
        let mut proxy = Proxy { child, address: SocketAddr::from(([127, 0, 0, 1], 1)) };
        let mut lines = BufReader::new(stderr).lines();
        let address = lines.by_ref().map_while(Result::ok).find_map(|line| {
            line.split_once("listening on ").and_then(|(_, address)| address.trim().parse().ok())
        });
        proxy.address = address.ok_or("the proxy did not start")?;
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        let end = Instant::now() + Duration::from_secs(30);
        while !is_ready(proxy.address) {
            if Instant::now() > end {
                return Err("the proxy was not ready in 30 s".into());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(proxy)
    }

    pub fn signal(&self, signal: i32) {
        // The process is a child that has not been waited for, so its id cannot belong to another one.
        unsafe { kill(self.child.id() as i32, signal) };
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let response = read_message(&mut BufReader::new(stream))?;
        Ok(response.is_some_and(|response| response.status() == 200))
    };
    ask().unwrap_or(false)
}

/// The value of `run` in the deploy file.
fn run_command() -> Result<String, Failure> {
    let deploy = std::fs::read_to_string("deploy/balancer.toml")?;
    let value = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next());
    Ok(value.ok_or("deploy/balancer.toml has no run")?.to_string())
}

/// The configuration of a small deployment: the settings that WIRE shows for quote-web-south.
fn config_text(discovery: &Discovery, position: usize, count: usize, sockets: usize) -> String {
    let class = |name: &str, effect: &str, aim_ms: u32, deadline_ms: u32, gain: f64| {
        format!(
            "{{\"aim_us\":{aim_ms}000,\"deadline_us\":{deadline_ms}000,\"effect\":\"{effect}\",\"gain\":{gain:.1},\
             \"key_scope\":\"all\",\"late_worth\":0.0,\"name\":\"{name}\",\"stream\":false,\"window_us\":5000000}}"
        )
    };
    let classes = [
        class("quote-read", "free", 300, 1200, 2.0),
        class("alert-set", "single_shot", 800, 4000, 5.0),
        class("metered-quote", "single_shot", 400, 2000, 5.0),
    ];
    let zone = ["houston", "atlanta", "miami"][position % 3];
    format!(
        "{{\"name\":\"n{position}\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be96{position}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{sockets}}},\"settings\":{{\
         \"blend\":{{\"whole\":0.5,\"worst_class\":0.3,\"worst_tenant\":0.1,\"worst_window\":0.1}},\
         \"callers\":{{\"marks_retry\":true}},\
         \"costs\":{{\"connection\":0.08,\"cross_zone\":0.015,\"handshake\":0.08,\"late_fail\":0.071,\"waste\":0.3}},\
         \"customers\":[{{\"name\":\"magnolia\",\"quota_rps\":218.0,\"share\":1.0}}],\
         \"discovery\":\"subscribe\",\"family\":\"proxy\",\"granularity_us\":2000,\"group_size\":{count},\
         \"kinds\":[\"current\",\"legacy\"],\"layer\":0,\
         \"limits\":{{\"cancel\":true,\"conn_idle_us\":60000000,\"dial_timeout_us\":100000,\"max_attempts\":6,\
         \"max_retry_after_us\":2000000,\"max_streams\":100,\"open_cap\":20000,\"parallel_tries\":true,\
         \"peers\":false,\"probes\":false,\"retry_after\":false}},\
         \"my_zone\":\"{zone}\",\"over_share_worth\":0.05,\"position\":{position},\"profiles\":[{}],\
         \"report\":{{\"fields\":[],\"how\":\"off\"}},\
         \"rules\":{{\"answer_slack_us\":8000,\"cold_from\":0.13,\"fall_multiple\":3.0,\"must_ask_in_us\":10000000,\
         \"ramp_time_us\":24000000,\"stop_sending_within_us\":1000000,\"tip_after_us\":2000000}},\
         \"tiers\":[\"quote-web\"],\"value_by\":\"work\",\"weight_source\":\"off\",\
         \"zones\":[\"houston\",\"atlanta\",\"miami\"]}}}}",
        discovery.address,
        classes.join(",")
    )
}
