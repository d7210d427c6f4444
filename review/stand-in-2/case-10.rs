//! Case 10: discovery needs a third of a second for a call, and a proxy whose list is pushed never becomes ready.

mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time that discovery needs for a call: it serves three a second.
const CALL_TIME: Duration = Duration::from_millis(333);
/// A proxy has to be ready by then.
const READY_BY: Duration = Duration::from_secs(30);
/// How long the case waits for it.
const PATIENCE: Duration = Duration::from_secs(40);
const BACKENDS: usize = 9;

fn main() {
    let record = Record::open();
    let failed = run(&record);
    std::process::exit(i32::from(failed));
}

fn run(record: &Record) -> bool {
    let folder = Folder::new();
    let backends: Vec<SocketAddr> = (0..BACKENDS).map(|number| backend(record, number)).collect();
    let entries = backends.iter().enumerate().map(|(n, address)| entry(&format!("s-{n}"), *address, "ready"));
    let call_time = if trouble() { CALL_TIME } else { Duration::ZERO };
    let calls = Arc::new(AtomicU32::new(0));
    let (call_record, call_count) = (record.clone(), calls.clone());
    let discovery = Discovery::start_slow(entries.collect(), call_time, move |path| {
        call_count.fetch_add(1, Ordering::SeqCst);
        call_record.line(&format!("discovery is called: {path}"));
    });
    let proxy = Proxy::spawn(&folder, discovery.address, 48, 384, &settings("automatic", 1));
    let began = Instant::now();
    record.line("the proxy listens");
    let (mut ready_after, mut answers, mut number) = (None, BTreeMap::<String, u32>::new(), 0u64);
    while ready_after.is_none() && began.elapsed() < PATIENCE {
        if proxy.is_ready() {
            ready_after = Some(began.elapsed());
        }
        number += 1;
        *answers.entry(ask(record, proxy.address, number)).or_default() += 1;
        thread::sleep(Duration::from_millis(100));
    }
    let log = proxy.log();
    log.lines().filter(|line| line.contains("WARN")).take(3).for_each(|line| record.line(line));
    drop(proxy);
    let calls = calls.load(Ordering::SeqCst);
    record.say(&format!("{calls} calls to discovery; {number} requests, by answer: {answers:?}"));
    let held = ready_after.is_some_and(|after| after < READY_BY);
    record.say(&match ready_after {
        Some(after) => format!("the proxy was ready after {:.1} s", after.as_secs_f64()),
        None => format!("the proxy was not ready after {} s", PATIENCE.as_secs()),
    });
    record.say(if held { "rule held" } else { "RULE BROKEN: the proxy took over 30 s to be ready" });
    !held
}

/// A sound backend.
fn backend(record: &Record, number: usize) -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let record = record.clone();
    serve(listener, move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            let id = request.header("x-correlation-id").to_string();
            record.line(&format!("backend {number} runs {id}"));
            thread::sleep(Duration::from_millis(40));
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len())?;
        }
        Ok(())
    });
    address
}

/// Sends one request and returns its answer.
fn ask(record: &Record, address: SocketAddr, number: u64) -> String {
    let id = format!("{number:016x}");
    let request = head("quote-read", &id, 1200) + "\r\n";
    let answer =
        Client::connect(address, Duration::from_millis(1700)).and_then(|mut client| client.ask(request.as_bytes()));
    let answer = match answer {
        Ok(Some(answer)) => answer.status().to_string(),
        _ => "unanswered".to_string(),
    };
    record.line(&format!("client gets {answer} for {id}"));
    answer
}
