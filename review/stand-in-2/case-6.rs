//! Case 6: a few clients write long requests slowly, in pieces, and the proxy goes over its memory.

mod common;

use common::*;
use std::net::SocketAddr;
use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Limits of the proxy, as in two of the operators' reports: "memory MB ... of 48, descriptors ... of 384".
const MEMORY_MB: u64 = 48;
const SOCKETS: u32 = 384;
/// Clients that write slowly, one in 24 of the descriptors.
const SLOW_CLIENTS: u32 = 16;
/// Length of the body that each of them sends, the longest that the protocol allows.
const BODY_BYTES: usize = 65_536;
/// Bytes that they write at a time.
const PIECE_BYTES: usize = 16;
/// Time over which each of them writes its body.
const WRITE_TIME: Duration = Duration::from_millis(2200);
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
    let slow: Vec<_> = (0..SLOW_CLIENTS).map(|number| slow_client(record, address, number)).collect();
    thread::sleep(DURATION.saturating_sub(began.elapsed()));
    let results = sound.join().unwrap();
    let served = slow.into_iter().filter_map(|client| client.join().ok()).filter(|is_served| *is_served).count();
    record.say(&format!("long requests: {served} of {SLOW_CLIENTS} served"));
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

/// A sound client with a long request, whose body it writes slowly, or without the disruption at once. Returns whether
/// it was served.
fn slow_client(record: &Record, address: SocketAddr, number: u32) -> thread::JoinHandle<bool> {
    let record = record.clone();
    thread::spawn(move || {
        let id = format!("a{number:015x}");
        let request = head("alert-set", &id, 4000) + &format!("Content-Length: {BODY_BYTES}\r\n\r\n");
        let body = vec![b'x'; BODY_BYTES];
        let Ok(mut client) = Client::connect(address, Duration::from_secs(5)) else { return false };
        record.line(&format!("client with a long request {id}: begins"));
        let mut written = client.stream.write_all(request.as_bytes());
        let began = Instant::now();
        let piece = if trouble() { PIECE_BYTES } else { BODY_BYTES };
        for (index, bytes) in body.chunks(piece).enumerate() {
            if written.is_err() {
                break;
            }
            if trouble() {
                let due = WRITE_TIME * index as u32 / (BODY_BYTES / PIECE_BYTES) as u32;
                thread::sleep(due.saturating_sub(began.elapsed()));
            }
            written = client.stream.write_all(bytes);
        }
        record.line(&format!("client with a long request {id}: wrote it in {:?}, {written:?}", began.elapsed()));
        let answer = read_message(&mut client.reader).map(|answer| answer.map(|answer| answer.status()));
        record.line(&format!("client with a long request {id}: got {answer:?}"));
        matches!(answer, Ok(Some(200)))
    })
}
