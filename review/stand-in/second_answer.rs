//! Some backends send an answer a second time, some milliseconds after the first. Every client must get the
//! answer to its own request.

use crate::backend::{self, Behaviour, SecondAnswers};
use crate::http::{read_message, request};
use crate::platform::{Discovery, Failure, Folder, Proxy, Record};
use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PROXIES: usize = 3;
const BACKENDS: usize = 9;
const REQUESTS_PER_SECOND: f64 = 170.0;
const LENGTH: Duration = Duration::from_secs(45);
/// A full queue turns some requests away, with and without the disruption.
const TURNED_AWAY_ONE_IN: u64 = 7;
const SECOND_ANSWER: SecondAnswers = SecondAnswers { one_in: 10, delay: Duration::from_millis(7) };

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    unanswered: AtomicU64,
    foreign: AtomicU64,
    /// Requests that crossed the close of their connection and were sent once more.
    resent: Mutex<HashSet<String>>,
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, Failure> {
    let folder = Folder::create()?;
    let second_answers = trouble.then_some(SECOND_ANSWER);
    let behaviour = Behaviour { turned_away_one_in: TURNED_AWAY_ONE_IN, second_answers, ..Behaviour::SOUND };
    let backends = backend::start(BACKENDS, behaviour, record)?;
    let discovery = Discovery::start(&backends.addresses)?;
    let mut proxies = Vec::new();
    for position in 0..PROXIES {
        proxies.push(Proxy::start(&folder, &discovery, position, PROXIES, 256)?);
    }
    let pools: Vec<Arc<Pool>> = proxies.iter().map(|proxy| Arc::new(Pool::new(proxy.address))).collect();
    let counts = Arc::new(Counts::default());
    let (mut state, mut number, began) = (0x5eed_u64, 0_usize, Instant::now());
    let mut next = Duration::ZERO;
    let mut clients = Vec::new();
    while next < LENGTH {
        std::thread::sleep(next.saturating_sub(began.elapsed()));
        let (pool, counts, record) = (pools[number % PROXIES].clone(), counts.clone(), record.clone());
        clients.push(std::thread::spawn(move || pool.send(number, &counts, &record)));
        number += 1;
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let unit = ((state >> 33) as f64 + 1.0) / (1_u64 << 31) as f64;
        next += Duration::from_secs_f64((-unit.ln() / REQUESTS_PER_SECOND).max(0.0));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
    record.say(&format!(
        "sent {}, served with their own answer {}, refused {}, failed {}, without an answer {}, \
         served with the answer to another request {}",
        of(&counts.sent),
        of(&counts.served),
        of(&counts.refused),
        of(&counts.failed),
        of(&counts.unanswered),
        of(&counts.foreign)
    ));
    let runs = backends.runs.lock().unwrap();
    let mut run_twice = 0;
    let resent = counts.resent.lock().unwrap();
    let must_run_once = |id: &str| !is_read(id) && !resent.contains(id);
    for (id, count) in runs.iter().filter(|(id, count)| **count > 1 && must_run_once(id)) {
        record.line(&format!("{id} must never run twice and ran {count} times"));
        run_twice += 1;
    }
    record.say(&format!("alerts and metered quotes that ran more than once: {run_twice}"));
    if of(&counts.served) == 0 {
        return Err("no request was served".into());
    }
    Ok(of(&counts.foreign) == 0 && run_twice == 0)
}

const FIRST_ID: u64 = 0x9b1f_03aa_0000_0000;

fn id_of(number: usize) -> String {
    format!("{:016x}", FIRST_ID + number as u64)
}

/// Class and time left of a request, and its body if it must never run twice.
fn kind_of(number: usize) -> (&'static str, u64, Option<&'static str>) {
    let body = Some("{\"symbol\":\"XYZ\"}");
    match number % 100 {
        0..50 => ("quote-read", 1200, None),
        50..86 => ("alert-set", 4000, body),
        _ => ("metered-quote", 2000, body),
    }
}

fn is_read(id: &str) -> bool {
    let number = u64::from_str_radix(id, 16).ok().and_then(|id| id.checked_sub(FIRST_ID));
    number.is_some_and(|number| kind_of(number as usize).2.is_none())
}

/// The connections of clients to one proxy: they are kept, and more are opened when every one is busy.
struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<BufReader<TcpStream>>>,
}

impl Pool {
    fn new(address: SocketAddr) -> Pool {
        Pool { address, idle: Mutex::default() }
    }

    /// Sends one request and checks its answer.
    fn send(&self, number: usize, counts: &Counts, record: &Record) {
        let id = id_of(number);
        let (class, time_left_ms, body) = kind_of(number);
        counts.sent.fetch_add(1, Ordering::Relaxed);
        record.line(&format!("client sends {class} {id}"));
        let text = request(class, &id, time_left_ms, body);
        let mut answer = self.exchange_on_kept(&text, time_left_ms);
        if matches!(answer, Exchange::Closed) {
            record.line(&format!("client sends {class} {id} once more on a new connection"));
            counts.resent.lock().unwrap().insert(id.clone());
        }
        if matches!(answer, Exchange::NoneKept | Exchange::Closed) {
            answer = self.exchange_on_new(&text, time_left_ms);
        }
        let answer = if let Exchange::Answered(status, body) = answer { Some((status, body)) } else { None };
        let (outcome, count) = match answer {
            None => ("got no answer".to_string(), &counts.unanswered),
            Some((200, body)) if body.contains(&format!("\"id\":\"{id}\"")) => {
                (format!("got 200 {body}"), &counts.served)
            }
            Some((200, body)) => (format!("got 200 WITH A FOREIGN ANSWER {body}"), &counts.foreign),
            Some((status @ (429 | 503), _)) => (format!("got {status}"), &counts.refused),
            Some((status, _)) => (format!("got {status}"), &counts.failed),
        };
        count.fetch_add(1, Ordering::Relaxed);
        record.line(&format!("client of {class} {id} {outcome}"));
    }

    fn exchange_on_kept(&self, text: &str, time_left_ms: u64) -> Exchange {
        let kept = self.idle.lock().unwrap().pop();
        kept.map_or(Exchange::NoneKept, |connection| self.exchange_on(connection, text, time_left_ms))
    }

    fn exchange_on_new(&self, text: &str, time_left_ms: u64) -> Exchange {
        let Ok(connection) = TcpStream::connect(self.address) else { return Exchange::Closed };
        let _ = connection.set_nodelay(true);
        self.exchange_on(BufReader::new(connection), text, time_left_ms)
    }

    fn exchange_on(
        &self, mut connection: BufReader<TcpStream>, text: &str, time_left_ms: u64,
    ) -> Exchange {
        let wait = Duration::from_millis(time_left_ms + 500);
        let _ = connection.get_ref().set_read_timeout(Some(wait));
        if connection.get_mut().write_all(text.as_bytes()).is_err() {
            return Exchange::Closed;
        }
        match read_message(&mut connection) {
            Ok(Some(response)) => {
                if !response.says_close() {
                    self.idle.lock().unwrap().push(connection);
                }
                Exchange::Answered(response.status(), response.body_text())
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Exchange::TimedOut,
            _ => Exchange::Closed,
        }
    }
}

enum Exchange {
    Answered(u16, String),
    /// No kept connection was idle.
    NoneKept,
    /// The connection was closed without an answer.
    Closed,
    TimedOut,
}
