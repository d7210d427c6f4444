//! Discovery that is away and comes back: how soon the built proxy holds what it has to tell.

use crate::sockets::{self, changed, config, line, until, Proxy};
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
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
    while sockets::read_message(&mut reader).is_some() {
        let list = json!({"index": 7, "snapshot": true, "endpoints": [line("a", sockets::refusing_address(), "ready", 0)]});
        let sockets::Reply::Say(answer) = sockets::ok(&list.to_string()) else { return };
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
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let back = Arc::new(AtomicBool::new(false));
        let full = Duration::from_millis(300);
        let connect = || TcpStream::connect_timeout(&address, full).ok();
        let queued = if fault == Fault::Cut { std::iter::from_fn(connect).collect() } else { Vec::new() };
        let mut held = (fault != Fault::Down).then_some(listener);
        let returned = back.clone();
        std::thread::spawn(move || {
            if matches!(fault, Fault::Down | Fault::Cut) {
                until("its return", || returned.load(Ordering::SeqCst));
            }
            let listener = held.take().unwrap_or_else(|| TcpListener::bind(address).expect("the same port"));
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
    let mut config = config(service.address, &[line("a", sockets::refusing_address(), "draining", 0)]);
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
    until("the list", || proxy.log().contains("discovery: version 7, 1 lines"));
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
