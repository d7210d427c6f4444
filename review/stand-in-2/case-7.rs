//! Case 7: some answers never end and come in small pieces, and the proxy goes over its memory.

mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Limits of the proxy: the smallest of the terms.
const MEMORY_MB: u64 = 32;
const SOCKETS: u32 = 256;
const BACKENDS: usize = 10;
/// One answer in this many never ends.
const ANSWERS_PER_SPOILT: f64 = 8.0;
/// Length that such an answer states; a body may have 65,536 bytes.
const BODY_BYTES: usize = 60_000;
/// Length of the pieces in which it comes, and the pause between two of them. The last piece never comes.
const PIECE_BYTES: usize = 16;
const PAUSE: Duration = Duration::from_micros(200);
/// Requests per second: a third of the traffic of the site.
const RATE: f64 = 57.0;
const DURATION: Duration = Duration::from_secs(20);
const WORK: Duration = Duration::from_millis(40);

fn main() {
    let record = Record::open();
    let failed = run(&record);
    std::process::exit(i32::from(failed));
}

fn run(record: &Record) -> bool {
    let folder = Folder::new();
    let backends: Vec<SocketAddr> = (0..BACKENDS).map(|number| backend(record, number)).collect();
    let entries = backends.iter().enumerate().map(|(n, address)| entry(&format!("s-{n}"), *address, "ready"));
    let discovery = Discovery::start(entries.collect());
    let mut proxy = Proxy::start(&folder, discovery.address, MEMORY_MB, SOCKETS, &settings("subscribe", 1));
    record.line(&format!("proxy ready, limits: {MEMORY_MB} MB, {SOCKETS} descriptors"));
    let ended = Arc::new(AtomicBool::new(false));
    let platform = platform(record, proxy.id(), MEMORY_MB, &ended);
    let results = Arc::new(Mutex::new(BTreeMap::new()));
    let mut random = Random(0x8c1f_30d2_7a5b_e964);
    let (began, mut number, mut clients) = (Instant::now(), 0u64, Vec::new());
    while began.elapsed() < DURATION {
        number += 1;
        let (record, results, address) = (record.clone(), results.clone(), proxy.address);
        clients.push(thread::spawn(move || client(&record, &results, address, number)));
        thread::sleep(random.pause(RATE));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    ended.store(true, Ordering::SeqCst);
    let Platform { peak_kib, killed } = platform.join().unwrap();
    let crashed = killed || proxy.child.try_wait().ok().flatten().is_some();
    record.say(&format!("{number} requests, by answer: {:?}", results.lock().unwrap()));
    record.say(&format!("most memory of the proxy: {:.1} MB of {MEMORY_MB}", peak_kib as f64 / 1024.0));
    record.say(if crashed {
        "RULE BROKEN: the proxy went over its memory and was killed"
    } else {
        "rule held: the proxy stayed under its memory"
    });
    crashed
}

/// A backend some of whose answers never end.
fn backend(record: &Record, number: usize) -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let record = record.clone();
    let random = Arc::new(Mutex::new(Random(0x9e37_79b9_7f4a_7c15 + number as u64)));
    serve(listener, move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            let id = request.header("x-correlation-id").to_string();
            record.line(&format!("backend {number} runs {id}"));
            thread::sleep(WORK);
            let spoilt = random.lock().unwrap().unit() * ANSWERS_PER_SPOILT < 1.0;
            if trouble() && spoilt {
                record.line(&format!("backend {number} begins an answer to {id} that does not end"));
                return never_ending_answer(&mut stream, &mut reader);
            }
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len())?;
        }
        Ok(())
    });
    address
}

/// Sends an answer in small pieces, except for its last one, and waits until the proxy closes the connection.
fn never_ending_answer(stream: &mut impl Write, reader: &mut impl BufRead) -> io::Result<()> {
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n")?;
    for _ in 1..BODY_BYTES / PIECE_BYTES {
        stream.write_all(&[b'x'; PIECE_BYTES])?;
        thread::sleep(PAUSE);
    }
    reader.fill_buf().map(|_| ())
}

/// Sends one request on a connection of its own.
fn client(record: &Record, results: &Mutex<BTreeMap<String, u32>>, address: SocketAddr, number: u64) {
    let id = format!("{number:016x}");
    let request = head("alert-set", &id, 4000) + "Content-Length: 4\r\n\r\nbody";
    record.line(&format!("client sends {id}"));
    let answer =
        Client::connect(address, Duration::from_millis(4500)).and_then(|mut client| client.ask(request.as_bytes()));
    let result = match answer {
        Ok(Some(answer)) => answer.status().to_string(),
        _ => "unanswered".to_string(),
    };
    record.line(&format!("client gets {result} for {id}"));
    *results.lock().unwrap().entry(result).or_default() += 1;
}
