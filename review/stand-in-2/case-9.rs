//! Case 9: bad clients send a part of a long head and stop, and the proxy goes over its memory.

mod common;

use common::*;
use std::net::SocketAddr;
use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Limits of the proxy: the smallest of the terms.
const MEMORY_MB: u64 = 32;
const SOCKETS: u32 = 256;
/// Clients that send a part of a request and stay, about a third of the descriptors.
const BAD_CLIENTS: u32 = 85;
/// Bytes of the head that each of them sends.
const HEAD_BYTES: usize = 400_000;
/// Time over which they connect.
const CONNECT_TIME: Duration = Duration::from_secs(1);
const SOUND_RATE: f64 = 40.0;
const DURATION: Duration = Duration::from_secs(10);
const TROUBLE_AT: Duration = Duration::from_secs(3);
const WORK: Duration = Duration::from_millis(40);

fn main() {
    let record = Record::open();
    let failed = run(&record);
    std::process::exit(i32::from(failed));
}

fn run(record: &Record) -> bool {
    let folder = Folder::new();
    let backends: Vec<SocketAddr> = (0..9).map(|_| backend(record)).collect();
    let entries = backends.iter().enumerate().map(|(n, address)| entry(&format!("s-{n}"), *address, "ready"));
    let discovery = Discovery::start(entries.collect());
    let mut proxy = Proxy::start(&folder, discovery.address, MEMORY_MB, SOCKETS, &settings("subscribe", 1));
    record.line(&format!("proxy ready, limits: {MEMORY_MB} MB, {SOCKETS} descriptors"));
    let ended = Arc::new(AtomicBool::new(false));
    let platform = platform(record, proxy.id(), MEMORY_MB, &ended);
    let (address, began) = (proxy.address, Instant::now());
    let sound = sound_clients(record, address);
    thread::sleep(TROUBLE_AT);
    if trouble() {
        bad_clients(record, address);
    }
    thread::sleep(DURATION.saturating_sub(began.elapsed()));
    let results = sound.join().unwrap();
    ended.store(true, Ordering::SeqCst);
    let Platform { peak_kib, killed } = platform.join().unwrap();
    let crashed = killed || proxy.child.try_wait().ok().flatten().is_some();
    record.say(&format!("sound requests: {results}"));
    record.say(&format!("most memory of the proxy: {:.1} MB of {MEMORY_MB}", peak_kib as f64 / 1024.0));
    record.say(if crashed {
        "RULE BROKEN: the proxy went over its memory and was killed"
    } else {
        "rule held: the proxy stayed under its memory"
    });
    crashed
}

/// A sound backend: answers each request after its work, with the id of the request.
fn backend(record: &Record) -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let record = record.clone();
    serve(listener, move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            let id = request.header("x-correlation-id").to_string();
            record.line(&format!("run {id} {} body {}", request.start, request.body.len()));
            thread::sleep(WORK);
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len())?;
        }
        Ok(())
    });
    address
}

/// Clients that follow the pages, each request on a connection of its own. Returns how their requests ended.
fn sound_clients(record: &Record, address: SocketAddr) -> thread::JoinHandle<String> {
    let record = record.clone();
    thread::spawn(move || {
        let mut random = Random(0x8c1f_30d2_7a5b_e964);
        let (began, mut clients) = (Instant::now(), Vec::new());
        let served = Arc::new(AtomicU32::new(0));
        let other = Arc::new(AtomicU32::new(0));
        let unanswered = Arc::new(AtomicU32::new(0));
        let number = AtomicU64::new(1);
        while began.elapsed() < DURATION - Duration::from_secs(2) {
            let id = format!("{:016x}", number.fetch_add(1, Ordering::SeqCst));
            let (record, served, other, unanswered) =
                (record.clone(), served.clone(), other.clone(), unanswered.clone());
            clients.push(thread::spawn(move || {
                let request = head("quote-read", &id, 1200) + "\r\n";
                record.line(&format!("sent {id}"));
                let answer = Client::connect(address, Duration::from_millis(1700))
                    .and_then(|mut client| client.ask(request.as_bytes()));
                match answer {
                    Ok(Some(answer)) => {
                        record.line(&format!("answered {id} {}", answer.start));
                        if answer.status() == 200 { &served } else { &other }.fetch_add(1, Ordering::SeqCst);
                    }
                    Ok(None) => {
                        record.line(&format!("closed {id} without an answer"));
                        unanswered.fetch_add(1, Ordering::SeqCst);
                    }
                    Err(error) => {
                        record.line(&format!("no answer {id}: {error}"));
                        unanswered.fetch_add(1, Ordering::SeqCst);
                    }
                }
            }));
            thread::sleep(random.pause(SOUND_RATE));
        }
        clients.into_iter().for_each(|client| drop(client.join()));
        let count = |counter: &AtomicU32| counter.load(Ordering::SeqCst);
        format!("{} served, {} answered otherwise, {} unanswered", count(&served), count(&other), count(&unanswered))
    })
}

/// Clients that send a part of a head and stay until the proxy answers or closes.
fn bad_clients(record: &Record, address: SocketAddr) {
    for number in 0..BAD_CLIENTS {
        let record = record.clone();
        thread::spawn(move || {
            let mut part = head("quote-read", &format!("b{number:015x}"), 1200) + "X-Facts: ";
            part.push_str(&"x".repeat(HEAD_BYTES - part.len()));
            let Ok(mut client) = Client::connect(address, Duration::from_secs(6)) else { return };
            record.line(&format!("bad client {number}: sends {} bytes of a head and stops", part.len()));
            let answer = client.ask(part.as_bytes()).map(|answer| answer.map(|answer| answer.start));
            record.line(&format!("bad client {number}: got {answer:?}"));
        });
        thread::sleep(CONNECT_TIME / BAD_CLIENTS);
    }
}
