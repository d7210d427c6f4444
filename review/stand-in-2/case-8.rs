//! Case 8: while idle clients fill the descriptors, requests that were sent at once and read are never answered.

mod common;

use common::*;
use std::fs;
use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The smallest limits of the terms.
const MEMORY_MB: u64 = 32;
const SOCKETS: u32 = 256;
/// Idle clients, fewer than the descriptors. One that is closed comes again.
const IDLE_CLIENTS: u32 = 250;
const IDLE_PAUSE: Duration = Duration::from_millis(10);
/// Requests that a client sends at once ("many"), and how many clients do, one after another.
const REQUESTS: u32 = 8;
const CLIENTS: u32 = 12;
const TIME_LEFT_MS: u32 = 4000;
/// Until then every request has to be answered: its time, half a second, and 50 ms.
const PATIENCE: Duration = Duration::from_millis(TIME_LEFT_MS as u64 + 550);
const BACKENDS: usize = 9;
const WORK: Duration = Duration::from_millis(50);

fn main() {
    let record = Record::open();
    let failed = run(&record);
    std::process::exit(i32::from(failed));
}

#[derive(Default)]
struct Answers {
    answered: u32,
    lost: u32,
    /// Nothing came back on the connection, or the proxy had not read all of the requests: the client may send them
    /// once more.
    excused: u32,
}

fn run(record: &Record) -> bool {
    let folder = Folder::new();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let backends: Vec<SocketAddr> = (0..BACKENDS).map(|number| backend(record, &runs, number)).collect();
    let entries = backends.iter().enumerate().map(|(n, address)| entry(&format!("s-{n}"), *address, "ready"));
    let discovery = Discovery::start(entries.collect());
    let proxy = Proxy::start(&folder, discovery.address, MEMORY_MB, SOCKETS, &settings("subscribe", 1));
    let (ended, connects) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    if trouble() {
        for _ in 0..IDLE_CLIENTS {
            idle_client(proxy.address, &ended, &connects);
        }
        record.line(&format!("{IDLE_CLIENTS} idle clients connect"));
        thread::sleep(Duration::from_millis(500));
    }
    let mut total = Answers::default();
    for number in 0..CLIENTS {
        let answers = client(record, proxy.address, number);
        total.answered += answers.answered;
        total.lost += answers.lost;
        total.excused += answers.excused;
    }
    ended.store(true, Ordering::SeqCst);
    drop(proxy);
    record.say(&format!(
        "{} requests, {REQUESTS} at once: {} answered, {} read and never answered, {} excused; {} run; {} connections \
         of idle clients",
        CLIENTS * REQUESTS,
        total.answered,
        total.lost,
        total.excused,
        runs.lock().unwrap().len(),
        connects.load(Ordering::SeqCst)
    ));
    let broken = total.lost > 0;
    record.say(if broken {
        "RULE BROKEN: requests were read and their connection closed with no answer to them"
    } else {
        "rule held: every request that was read got its answer"
    });
    broken
}

/// A sound backend.
fn backend(record: &Record, runs: &Arc<Mutex<Vec<String>>>, number: usize) -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let (record, runs) = (record.clone(), runs.clone());
    serve(listener, move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            let id = request.header("x-correlation-id").to_string();
            record.line(&format!("backend {number} runs {id}"));
            runs.lock().unwrap().push(id.clone());
            thread::sleep(WORK);
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len())?;
        }
        Ok(())
    });
    address
}

/// A client that sends nothing and waits until the proxy closes its connection, then comes again.
fn idle_client(address: SocketAddr, ended: &Arc<AtomicBool>, connects: &Arc<AtomicU32>) {
    let (ended, connects) = (ended.clone(), connects.clone());
    thread::spawn(move || {
        while !ended.load(Ordering::SeqCst) {
            if let Ok(mut client) = Client::connect(address, Duration::from_secs(5)) {
                connects.fetch_add(1, Ordering::SeqCst);
                let _ = client.stream.read(&mut [0; 64]);
            }
            thread::sleep(IDLE_PAUSE);
        }
    });
}

/// Bytes that the proxy's system holds for the connection with this client and the proxy has not read yet; `None` if
/// there is no such connection.
fn unread_bytes(proxy: SocketAddr, client: SocketAddr) -> Option<u64> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let (local, remote) = (format!(":{:04X}", proxy.port()), format!(":{:04X}", client.port()));
    table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_it = fields.get(1)?.ends_with(&local) && fields.get(2)?.ends_with(&remote);
        is_it.then(|| u64::from_str_radix(fields.get(4)?.split(':').nth(1)?, 16).ok()).flatten()
    })
}

/// Sends requests at once on a new connection and reads the answers.
fn client(record: &Record, address: SocketAddr, number: u32) -> Answers {
    let mut answers = Answers { excused: REQUESTS, ..Answers::default() };
    let Ok(mut client) = Client::connect(address, PATIENCE) else { return answers };
    let ids: Vec<String> = (0..REQUESTS).map(|request| format!("{:016x}", number * 100 + request + 1)).collect();
    let request = |id: &String| head("alert-set", id, TIME_LEFT_MS) + "Content-Length: 4\r\n\r\nbody";
    let text: String = ids.iter().map(request).collect();
    let (began, own) = (Instant::now(), client.stream.local_addr().unwrap());
    if client.stream.write_all(text.as_bytes()).is_err() {
        return answers;
    }
    // The first answer cannot be there yet: the backends need longer.
    thread::sleep(Duration::from_millis(25));
    let unread = unread_bytes(address, own);
    record.line(&format!("client {number} sent {} to {} at once; unread by the proxy: {unread:?}", ids[0], ids[7]));
    let mut answered = 0;
    for id in &ids {
        match read_message(&mut client.reader) {
            Ok(Some(answer)) => {
                answered += 1;
                let close = answer.header("connection");
                record.line(&format!("client {number} gets {} for {id}, connection: {close:?}", answer.status()));
            }
            other => {
                let other = other.map(|_| "end of the stream");
                record.line(&format!("client {number} gets none for {id}: {other:?} after {:?}", began.elapsed()));
                break;
            }
        }
    }
    answers.answered = answered;
    let missing = REQUESTS - answered;
    if answered > 0 && unread == Some(0) {
        answers.lost = missing;
        answers.excused = 0;
    } else {
        answers.excused = missing;
    }
    answers
}
