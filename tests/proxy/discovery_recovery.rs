//! Discovery that fails and recovers: how soon the proxy then receives the current list.

use crate::support::{
    config, endpoint, ok_response, read_message, refusing_address, wait_until, with_value, ProxyProcess,
    Reply, ReservedPort, FAILURE_TIMEOUT,
};
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time after the recovery of discovery within which a proxy must have received the list, whatever happened
/// to earlier calls.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);

/// How a failed discovery service responds to calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Answers 503.
    Unavailable,
    /// Closes the connection without a response.
    ConnectionClosed,
    /// Accepts the call and never answers.
    Unresponsive,
    /// Refuses the connection.
    ConnectionRefused,
    /// Lets no connection be established.
    ConnectTimeout,
}

/// A discovery service that fails until it recovers, and then answers with a list of one backend.
struct FailingService {
    address: SocketAddr,
    has_recovered: Arc<AtomicBool>,
    /// Connections that fill the listen queue.
    _queued: Vec<TcpStream>,
}

/// Answers the calls on a connection; they fail as long as the service has not recovered.
fn serve_connection(mut stream: TcpStream, fault: Fault, has_recovered: &AtomicBool) {
    let Ok(read) = stream.try_clone() else { return };
    let mut reader = BufReader::new(read);
    while read_message(&mut reader).is_some() {
        let ready = endpoint("a", refusing_address(), "ready", 0);
        let list = json!({"index": 7, "snapshot": true, "endpoints": [ready]});
        let Reply::Send(response) = ok_response(&list.to_string()) else { return };
        let _ = match fault {
            _ if has_recovered.load(Ordering::SeqCst) => stream.write_all(response.as_bytes()),
            Fault::Unavailable => stream.write_all(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"),
            Fault::Unresponsive => Ok(()),
            _ => return,
        };
    }
}

impl FailingService {
    fn start(fault: Fault) -> FailingService {
        let port = ReservedPort::bind();
        let address = port.address;
        // The port stays bound while it refuses connections, so that no other process can get it.
        let listener = if fault == Fault::ConnectionRefused { Err(port) } else { Ok(port.listen()) };
        let has_recovered = Arc::new(AtomicBool::new(false));
        let connect_timeout = Duration::from_millis(300);
        let connect = || TcpStream::connect_timeout(&address, connect_timeout).ok();
        let queued =
            if fault == Fault::ConnectTimeout { std::iter::from_fn(connect).collect() } else { Vec::new() };
        let recovered = has_recovered.clone();
        std::thread::spawn(move || {
            if matches!(fault, Fault::ConnectionRefused | Fault::ConnectTimeout) {
                wait_until("the recovery", || recovered.load(Ordering::SeqCst));
            }
            let listener = listener.unwrap_or_else(ReservedPort::listen);
            for stream in listener.incoming().map_while(Result::ok) {
                let recovered = recovered.clone();
                std::thread::spawn(move || serve_connection(stream, fault, &recovered));
            }
        });
        FailingService { address, has_recovered, _queued: queued }
    }
}

/// How a proxy obtains the endpoint list, and whether it starts with a cached one.
#[derive(Clone, Copy, Debug)]
struct ProxyCase {
    mode: &'static str,
    proxy_index: u32,
    has_cached_list: bool,
}

/// Returns how long after the recovery of discovery a proxy has received the list.
fn time_to_notification(fault: Fault, case: ProxyCase) -> Duration {
    let service = FailingService::start(fault);
    let mut config = config(service.address, &[endpoint("a", refusing_address(), "draining", 0)]);
    config["settings"]["discovery"] = json!(case.mode);
    config["settings"]["group_size"] = json!(470);
    config["settings"]["position"] = json!(case.proxy_index);
    config["settings"]["limits"]["dial_timeout_us"] = json!(100_000);
    let config = if case.has_cached_list { config } else { with_value(&config, "/known", Value::Null) };
    let proxy = ProxyProcess::spawn(&config);
    std::thread::sleep(Duration::from_secs(4)); // the calls made in this time fail
    assert_eq!(proxy.readiness_status(), 503);
    service.has_recovered.store(true, Ordering::SeqCst);
    let began = Instant::now();
    wait_until("the list of the recovered service", || {
        proxy.log().contains("endpoint list received version=7 entries=1")
    });
    began.elapsed()
}

/// Guards against a proxy that never calls discovery without a cached list, or repeats a lost call too late.
#[test]
fn a_proxy_has_the_list_within_6_s_of_the_recovery() {
    let faults = [
        Fault::Unavailable,
        Fault::ConnectionClosed,
        Fault::Unresponsive,
        Fault::ConnectionRefused,
        Fault::ConnectTimeout,
    ];
    let modes = [("subscribe", 0), ("subscribe", 469), ("automatic", 0)];
    let case_of = |(mode, proxy_index), has_cached_list| ProxyCase { mode, proxy_index, has_cached_list };
    let cases: Vec<ProxyCase> =
        modes.into_iter().flat_map(|mode| [true, false].map(|cached| case_of(mode, cached))).collect();
    let combinations = faults.iter().flat_map(|fault| cases.iter().map(move |case| (*fault, *case)));
    let runs: Vec<_> = combinations
        .map(|(fault, case)| (std::thread::spawn(move || time_to_notification(fault, case)), (fault, case)))
        .collect();
    // All runs, and their proxies, end before any result is checked.
    let results: Vec<_> = runs.into_iter().map(|(run, name)| (run.join(), name)).collect();
    let is_late = |after: &std::thread::Result<Duration>| !matches!(after, Ok(t) if *t <= NOTIFICATION_LIMIT);
    let late: Vec<_> = results.iter().filter(|(after, _)| is_late(after)).collect();
    assert!(late.is_empty(), "received too late or never: {late:?}");
}

/// Time that an overloaded service takes for one call.
const CALL_DURATION: Duration = Duration::from_millis(60);
/// Number of calls, in progress or queued, at which an overloaded service rejects further ones.
const QUEUE_CAPACITY: usize = 8;

/// A discovery service with too many callers that handles calls one at a time.
struct OverloadedService {
    address: SocketAddr,
    load: Arc<Load>,
}

/// The calls of an overloaded service.
#[derive(Default)]
struct Load {
    /// Locked while a call is handled.
    in_progress: Mutex<()>,
    queued: AtomicUsize,
    rejected: AtomicUsize,
}

impl OverloadedService {
    fn start(list: String) -> OverloadedService {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let load = Arc::<Load>::default();
        let shared = load.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (load, list) = (shared.clone(), list.clone());
                std::thread::spawn(move || OverloadedService::serve_connection(stream, &load, &list));
            }
        });
        OverloadedService { address, load }
    }

    fn serve_connection(mut stream: TcpStream, load: &Load, list: &str) {
        let Ok(read) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read);
        while let Some(call) = read_message(&mut reader) {
            if call.start_line.contains("after=7&") {
                std::thread::park_timeout(FAILURE_TIMEOUT); // a long poll; the list does not change any more
                return;
            }
            let response = if load.queued.fetch_add(1, Ordering::SeqCst) < QUEUE_CAPACITY {
                let guard = load.in_progress.lock();
                std::thread::sleep(CALL_DURATION);
                drop(guard);
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
            } else {
                load.rejected.fetch_add(1, Ordering::SeqCst);
                "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n".into()
            };
            load.queued.fetch_sub(1, Ordering::SeqCst);
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Guards against a thundering herd of starting proxies whose rejected calls are repeated too late.
#[test]
fn nine_in_ten_starting_proxies_get_the_list_within_10_s() {
    const PROXIES: u32 = 40;
    let ready = endpoint("b", refusing_address(), "ready", 0);
    let service =
        OverloadedService::start(json!({"index": 7, "snapshot": true, "endpoints": [ready]}).to_string());
    let start = |proxy_index: u32| {
        let stale = [endpoint("a", refusing_address(), "draining", 0)];
        let mut config = config(service.address, &stale);
        config["settings"]["discovery"] = json!("subscribe");
        config["settings"]["group_size"] = json!(57);
        config["settings"]["position"] = json!(proxy_index);
        ProxyProcess::launch(&if proxy_index % 2 == 0 {
            config
        } else {
            with_value(&config, "/known", Value::Null)
        })
    };
    let began = Instant::now();
    let proxies: Vec<ProxyProcess> = (0..PROXIES).map(start).collect();
    let is_notified =
        |proxy: &&ProxyProcess| proxy.log().contains("endpoint list received version=7 entries=1");
    wait_until("nine in ten proxies to have the list", || {
        proxies.iter().filter(is_notified).count() as u32 * 10 >= PROXIES * 9
    });
    assert!(began.elapsed() < Duration::from_secs(10), "the list was received after {:?}", began.elapsed());
    assert!(service.load.rejected.load(Ordering::SeqCst) > 0, "the service was not overloaded");
}
