//! Parts that the cases share: a record file, stand-ins for discovery, backends and clients, and the proxy as a
//! process of its own. Only the standard library is used. Every address is a loopback address, every port is free.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Ends the case with "could not run".
pub fn cannot_run(why: &str) -> ! {
    println!("the case could not run: {why}");
    std::process::exit(2);
}

/// Whether the disruption is on; `TROUBLE=0` turns it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The file `record.txt` of the case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn open() -> Record {
        let folder = std::env::args().nth(1).unwrap_or_else(|| cannot_run("expected the folder of the case"));
        let file = File::create(Path::new(&folder).join("record.txt"));
        let file = file.unwrap_or_else(|error| cannot_run(&format!("record.txt: {error}")));
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.0 .1.lock().unwrap(), "{:8.3} {text}", self.now());
    }

    /// A line for the record and for standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|error| cannot_run(&format!("temporary folder: {error}")));
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Settings of a small deployment: the figures of the wire page's example, without tenants.
pub fn settings(discovery: &str, group_size: u32) -> String {
    let class = |name: &str, effect: &str, aim: u32, deadline: u32, gain: u32| {
        format!(
            r#"{{"aim_us":{aim},"deadline_us":{deadline},"effect":"{effect}","gain":{gain}.0,"key_scope":"all","late_worth":0.0,"name":"{name}","stream":false,"window_us":5000000}}"#
        )
    };
    let classes = [
        class("quote-read", "free", 300_000, 1_200_000, 2),
        class("alert-set", "single_shot", 800_000, 4_000_000, 5),
        class("metered-quote", "single_shot", 400_000, 2_000_000, 5),
    ];
    format!(
        r#"{{"blend":{{"whole":0.5,"worst_class":0.3,"worst_tenant":0.1,"worst_window":0.1}},"callers":{{"marks_retry":true}},
"costs":{{"connection":0.08,"cross_zone":0.015,"handshake":0.08,"late_fail":0.071,"waste":0.3}},"customers":[],
"discovery":"{discovery}","family":"proxy","granularity_us":2000,"group_size":{group_size},"kinds":["current"],"layer":0,
"limits":{{"cancel":true,"conn_idle_us":60000000,"dial_timeout_us":100000,"max_attempts":6,"max_retry_after_us":2000000,"open_cap":20000,"parallel_tries":true,"peers":false,"probes":false,"retry_after":false}},
"my_zone":"houston","over_share_worth":0.05,"position":0,"profiles":[{}],
"rules":{{"answer_slack_us":8000,"cold_from":0.13,"fall_multiple":3.0,"must_ask_in_us":10000000,"ramp_time_us":24000000,"stop_sending_within_us":1000000,"tip_after_us":2000000}},
"weight_source":"off","zones":["houston"]}}"#,
        classes.join(",")
    )
}

/// An entry of the endpoint list.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"houston","type":"current","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// Discovery: answers calls for the whole list at once, and watches when something newer exists or their wait is
/// over.
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<(u64, Vec<String>)>, Condvar)>,
}

impl Discovery {
    pub fn start(entries: Vec<String>) -> Discovery {
        Discovery::start_slow(entries, Duration::ZERO, |_| {})
    }

    /// Starts a discovery that handles one call at a time and needs `call_time` for each; a watch waits for news
    /// after that without keeping others waiting. `on_call` gets the path of each call.
    pub fn start_slow(
        entries: Vec<String>, call_time: Duration, on_call: impl Fn(&str) + Send + Sync + 'static,
    ) -> Discovery {
        let turn = Mutex::new(());
        let listener = listen();
        let address = listener.local_addr().unwrap();
        let list = Arc::new((Mutex::new((1, entries)), Condvar::new()));
        let shared = list.clone();
        serve(listener, move |stream| {
            let shared = shared.clone();
            let mut reader = BufReader::new(stream.try_clone()?);
            let mut stream = stream;
            while let Some(message) = read_message(&mut reader)? {
                let path = message.start.split(' ').nth(1).unwrap_or("").to_string();
                let number = |key: &str| {
                    let at = path.find(key)? + key.len();
                    path[at..].split('&').next()?.parse::<u64>().ok()
                };
                on_call(&path);
                {
                    let _turn = turn.lock().unwrap();
                    thread::sleep(call_time);
                }
                let (lock, changed) = &*shared;
                let mut list = lock.lock().unwrap();
                let after = number("after=");
                if let Some(after) = after {
                    let wait = Duration::from_millis(number("wait_ms=").unwrap_or(0).min(60_000));
                    list = changed.wait_timeout_while(list, wait, |list| list.0 <= after).unwrap().0;
                }
                let whole = after.is_none_or(|after| list.0 > after);
                let entries = if whole { list.1.join(",") } else { String::new() };
                let body = format!(r#"{{"index":{},"snapshot":{whole},"endpoints":[{entries}]}}"#, list.0);
                drop(list);
                write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
            }
            Ok(())
        });
        Discovery { address, list }
    }
}

/// A message of HTTP/1.1: its first line, its headers with names in lower case, and its body.
pub struct Message {
    pub start: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message with a length or none; `None` at the end of the stream.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = headers.get("content-length").and_then(|value: &String| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Message { start: start.trim_end().to_string(), headers, body }))
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&format!("listen: {error}")))
}

/// Serves each connection on a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// The proxy, started with the command `run` of the deploy file.
pub struct Proxy {
    pub address: SocketAddr,
    pub child: Child,
    log: PathBuf,
}

impl Proxy {
    /// Starts a proxy and waits until `GET /-/ready` answers 200.
    pub fn start(
        folder: &Folder, discovery: SocketAddr, memory_mb: u64, sockets: u32, settings: &str,
    ) -> Proxy {
        let proxy = Proxy::spawn(folder, discovery, memory_mb, sockets, settings);
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(30) {
            if proxy.is_ready() {
                return proxy;
            }
            thread::sleep(Duration::from_millis(20));
        }
        drop(proxy);
        cannot_run("the proxy was not ready within 30 s");
    }

    /// Whether `GET /-/ready` answers 200.
    pub fn is_ready(&self) -> bool {
        get(self.address, "/-/ready").is_some_and(|answer| answer.status() == 200)
    }

    /// Starts a proxy and waits until it listens.
    pub fn spawn(
        folder: &Folder, discovery: SocketAddr, memory_mb: u64, sockets: u32, settings: &str,
    ) -> Proxy {
        let deploy = fs::read_to_string("deploy/balancer.toml")
            .unwrap_or_else(|error| cannot_run(&format!("deploy/balancer.toml: {error}")));
        let command = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next());
        let command = command.unwrap_or_else(|| cannot_run("no command `run` in the deploy file"));
        let mut config = String::new();
        let _ = write!(
            config,
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"settings":{settings}}}"#
        );
        let config_path = folder.0.join("config.json");
        let log = folder.0.join("proxy.log");
        fs::write(&config_path, config).unwrap_or_else(|error| cannot_run(&format!("config: {error}")));
        let log_file = File::create(&log).unwrap_or_else(|error| cannot_run(&format!("log: {error}")));
        let child = Command::new("/bin/sh")
            .args(["-c", command])
            .env("BALANCER_CONFIG", &config_path)
            .env("BALANCER_NAME", "n0")
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("start of the proxy: {error}")));
        let mut proxy = Proxy { address: ([127, 0, 0, 1], 0).into(), child, log };
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(10) {
            thread::sleep(Duration::from_millis(20));
            let log = proxy.log();
            let address = log.split("listening on ").nth(1).and_then(|rest| rest.split_whitespace().next());
            if let Some(address) = address.and_then(|text| text.parse().ok()) {
                proxy.address = address;
                return proxy;
            }
        }
        drop(proxy);
        cannot_run("the proxy did not listen within 10 s");
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Resident memory in KiB; `None` once the process has ended.
    pub fn memory_kib(id: u32) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What the platform saw of the proxy's memory.
pub struct Platform {
    pub peak_kib: u64,
    pub killed: bool,
}

/// The platform: "Over `memory_mb` the proxy is killed."
pub fn platform(
    record: &Record, id: u32, memory_mb: u64, ended: &Arc<AtomicBool>,
) -> thread::JoinHandle<Platform> {
    let (record, ended) = (record.clone(), ended.clone());
    thread::spawn(move || {
        let (mut peak_kib, mut reported) = (0, 0);
        while !ended.load(Ordering::SeqCst) {
            let Some(memory) = Proxy::memory_kib(id) else { break };
            peak_kib = peak_kib.max(memory);
            if peak_kib > reported + 4096 {
                reported = peak_kib;
                record.line(&format!("memory of the proxy: {:.1} MB", memory as f64 / 1024.0));
            }
            if memory > memory_mb * 1024 {
                record.line("the platform kills the proxy (SIGKILL)");
                let _ = Command::new("/bin/sh").args(["-c", &format!("kill -9 {id}")]).status();
                return Platform { peak_kib, killed: true };
            }
            thread::sleep(Duration::from_millis(5));
        }
        Platform { peak_kib, killed: false }
    })
}

/// Sends a GET on a connection of its own.
fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
    let mut client = Client::connect(address, Duration::from_secs(1)).ok()?;
    client.stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut client.reader).ok()?
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects; reads give up after `patience`.
    pub fn connect(address: SocketAddr, patience: Duration) -> io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    /// Sends a request and reads its answer; `None` if the proxy closed the connection without one.
    pub fn ask(&mut self, request: &[u8]) -> io::Result<Option<Message>> {
        self.stream.write_all(request)?;
        read_message(&mut self.reader)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// The head of a request, without the empty line that ends it.
pub fn head(class: &str, id: &str, time_left_ms: u32) -> String {
    let method = if class == "quote-read" { "GET" } else { "POST" };
    format!(
        "{method} /{class}/x HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: {time_left_ms}\r\n"
    )
}

/// Random numbers, the same for the same seed.
pub struct Random(pub u64);

impl Random {
    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A pause between two arrivals at this rate per second.
    pub fn pause(&mut self, rate: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.unit()).ln() / rate)
    }
}
