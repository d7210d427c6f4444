//! Discovery that is away and comes back: how soon the built proxy holds what it has to tell.

use crate::support::{
    changed, config, line, ok, read_message, refusing_address, until, HeldPort, Proxy, Reply, LONG,
};
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Whatever became of a call, a change counts as told so long after discovery had it and could be reached.
const TOLD_WITHIN: Duration = Duration::from_secs(6);

/// What a service that is away does with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Ends it with 503.
    Busy,
    /// Resets it.
    Reset,
    /// Takes it and never answers.
    Silent,
    /// Refuses the connection.
    Down,
    /// Lets no connection come up.
    Cut,
}

/// A service that is away at first and then back for good, with a list that names one backend.
struct Service {
    address: SocketAddr,
    back: Arc<AtomicBool>,
    /// What keeps the queue of connections full.
    _queued: Vec<TcpStream>,
}

/// Answers or spoils every call on a connection.
fn converse(mut stream: TcpStream, fault: Fault, back: &AtomicBool) {
    let Ok(read) = stream.try_clone() else { return };
    let mut reader = BufReader::new(read);
    while read_message(&mut reader).is_some() {
        let list =
            json!({"index": 7, "snapshot": true, "endpoints": [line("a", refusing_address(), "ready", 0)]});
        let Reply::Say(answer) = ok(&list.to_string()) else { return };
        let _ = match fault {
            _ if back.load(Ordering::SeqCst) => stream.write_all(answer.as_bytes()),
            Fault::Busy => stream.write_all(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"),
            Fault::Silent => Ok(()),
            _ => return,
        };
    }
}

impl Service {
    fn away(fault: Fault) -> Service {
        let port = HeldPort::bind();
        let address = port.address;
        // Down, it refuses connections, and nobody else is given its port meanwhile.
        let listen = |port: HeldPort| if fault == Fault::Down { Err(port) } else { Ok(port.listen()) };
        let held = listen(port);
        let back = Arc::new(AtomicBool::new(false));
        let full = Duration::from_millis(300);
        let connect = || TcpStream::connect_timeout(&address, full).ok();
        let queued = if fault == Fault::Cut { std::iter::from_fn(connect).collect() } else { Vec::new() };
        let returned = back.clone();
        std::thread::spawn(move || {
            if matches!(fault, Fault::Down | Fault::Cut) {
                until("its return", || returned.load(Ordering::SeqCst));
            }
            let listener = held.unwrap_or_else(HeldPort::listen);
            for stream in listener.incoming().map_while(Result::ok) {
                let back = returned.clone();
                std::thread::spawn(move || converse(stream, fault, &back));
            }
        });
        Service { address, back, _queued: queued }
    }
}

/// How long after the return of its service a proxy holds the list that it had not.
fn told_after(fault: Fault, mode: &str, position: u32, known: bool) -> Duration {
    let service = Service::away(fault);
    let mut config = config(service.address, &[line("a", refusing_address(), "draining", 0)]);
    config["settings"]["discovery"] = json!(mode);
    config["settings"]["group_size"] = json!(470);
    config["settings"]["position"] = json!(position);
    config["settings"]["limits"]["dial_timeout_us"] = json!(100_000);
    let config = if known { config } else { changed(&config, "/known", Value::Null) };
    let proxy = Proxy::spawn(&config);
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(proxy.ready(), 503);
    service.back.store(true, Ordering::SeqCst);
    let began = Instant::now();
    until("the list", || proxy.log().contains("endpoint list received version=7 entries=1"));
    began.elapsed()
}

/// A proxy without a list from before never asked for one; a swallowed watch was missed after 21.5 s.
#[test]
fn whatever_became_of_its_calls_a_proxy_holds_the_list_within_6_s_of_the_return() {
    let faults = [Fault::Busy, Fault::Reset, Fault::Silent, Fault::Down, Fault::Cut];
    let places = [("subscribe", 0), ("subscribe", 469), ("automatic", 0)];
    let cases = faults.iter().flat_map(|fault| places.iter().map(move |place| (*fault, *place)));
    let cases =
        cases.flat_map(|(fault, (mode, position))| [true, false].map(|known| (fault, mode, position, known)));
    let plays: Vec<_> = cases
        .map(|(fault, mode, position, known)| {
            let play = std::thread::spawn(move || told_after(fault, mode, position, known));
            (play, format!("{fault:?}, {mode}, position {position}, known: {known}"))
        })
        .collect();
    // All plays end, and with them their proxies, before any is judged.
    let told: Vec<_> = plays.into_iter().map(|(play, name)| (play.join(), name)).collect();
    let late: Vec<_> =
        told.iter().filter(|(after, _)| !matches!(after, Ok(t) if *t <= TOLD_WITHIN)).collect();
    assert!(late.is_empty(), "{late:?}");
}

/// A service with too many callers: it handles calls one after another, each for this long, and turns away those that
/// find so many in its queue.
const HANDLING: Duration = Duration::from_millis(60);

const QUEUE: usize = 8;

struct Overbooked {
    address: SocketAddr,
    refused: Arc<AtomicUsize>,
}

impl Overbooked {
    fn start(list: String) -> Overbooked {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (queue, refused) =
            (Arc::new((Mutex::new(()), AtomicUsize::new(0))), Arc::<AtomicUsize>::default());
        let counted = refused.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (queue, refused, list) = (queue.clone(), counted.clone(), list.clone());
                std::thread::spawn(move || Overbooked::converse(stream, &queue, &refused, &list));
            }
        });
        Overbooked { address, refused }
    }

    fn converse(mut stream: TcpStream, queue: &(Mutex<()>, AtomicUsize), refused: &AtomicUsize, list: &str) {
        let Ok(read) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read);
        while let Some(call) = read_message(&mut reader) {
            if call.start.contains("after=7&") {
                std::thread::park_timeout(LONG); // a watch on the list that never changes again
                return;
            }
            let answer = if queue.1.fetch_add(1, Ordering::SeqCst) < QUEUE {
                let turn = queue.0.lock();
                std::thread::sleep(HANDLING);
                drop(turn);
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
            } else {
                refused.fetch_add(1, Ordering::SeqCst);
                "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n".into()
            };
            queue.1.fetch_sub(1, Ordering::SeqCst);
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Seven in ten of a fleet come up at one moment, with a stale list or with none, before a service that turns most of
/// their calls away: nine in ten of them are ready within 10 s.
#[test]
fn nine_in_ten_of_those_that_start_together_are_ready_within_10_s() {
    const STARTED: u32 = 40;
    let ready = line("b", refusing_address(), "ready", 0);
    let service = Overbooked::start(json!({"index": 7, "snapshot": true, "endpoints": [ready]}).to_string());
    let start = |n: u32| {
        let stale = [line("a", refusing_address(), "draining", 0)];
        let mut config = config(service.address, &stale);
        config["settings"]["discovery"] = json!("subscribe");
        config["settings"]["group_size"] = json!(57);
        config["settings"]["position"] = json!(n);
        Proxy::launch(&if n % 2 == 0 { config } else { changed(&config, "/known", Value::Null) }, "unlimited")
    };
    let began = Instant::now();
    let proxies: Vec<Proxy> = (0..STARTED).map(start).collect();
    let told = |p: &&Proxy| p.log().contains("endpoint list received version=7 entries=1");
    until("nine in ten", || proxies.iter().filter(told).count() as u32 * 10 >= STARTED * 9);
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
    assert!(service.refused.load(Ordering::SeqCst) > 0, "the service had too many callers");
}
