//! Backends: each connection has a thread that answers one request after another.

use crate::http::{ok_response, read_message};
use crate::platform::{Failure, Record};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const UNPROCESSED_RESPONSE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// A second copy of some answers, sent again some milliseconds after the first.
#[derive(Clone, Copy)]
pub struct SecondAnswers {
    /// One of this many answers has a second one.
    pub one_in: u64,
    pub delay: Duration,
}

/// How the backends answer.
#[derive(Clone, Copy)]
pub struct Behaviour {
    /// Shortest and longest time for a request, in milliseconds.
    pub service_ms: (u64, u64),
    /// One of this many requests is turned away at once, with `X-Unprocessed: 1`; 0 for none.
    pub turned_away_one_in: u64,
    pub second_answers: Option<SecondAnswers>,
}

impl Behaviour {
    /// Backends that serve every request once.
    pub const SOUND: Behaviour =
        Behaviour { service_ms: (49, 89), turned_away_one_in: 0, second_answers: None };
}

/// How often each request was run, by its id.
pub type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// The state that all backends of a case share.
#[derive(Clone)]
struct Shared {
    behaviour: Behaviour,
    answers: Arc<AtomicU64>,
    runs: Runs,
    record: Record,
}

/// The backends of a case.
pub struct Backends {
    pub addresses: Vec<SocketAddr>,
    pub runs: Runs,
}

/// Starts `count` backends.
pub fn start(count: usize, behaviour: Behaviour, record: &Record) -> Result<Backends, Failure> {
    let shared =
        Shared { behaviour, answers: Arc::default(), runs: Runs::default(), record: record.clone() };
    let mut addresses = Vec::new();
    for number in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        addresses.push(listener.local_addr()?);
        let shared = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(number, stream));
            }
        });
    }
    Ok(Backends { addresses, runs: shared.runs })
}

impl Shared {
    fn serve(&self, number: usize, mut stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let id = request.header("x-correlation-id").unwrap_or("-").to_string();
            let told = request.header("x-time-left-ms").unwrap_or("?");
            let arrived = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
            let turned_away_one_in = self.behaviour.turned_away_one_in;
            let response = if turned_away_one_in > 0 && mixed(arrived) % turned_away_one_in == 0 {
                self.record.line(&format!("box-{number} turns {id} away"));
                UNPROCESSED_RESPONSE.to_string()
            } else {
                self.record.line(&format!("box-{number} runs {id}, told {told} ms"));
                *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
                self.work(arrived);
                ok_response(&format!("{{\"id\":\"{id}\",\"by\":\"box-{number}\"}}"))
            };
            stream.write_all(response.as_bytes()).ok()?;
            self.record.line(&format!("box-{number} answered {id}"));
            let second = self.behaviour.second_answers;
            if let Some(second) = second.filter(|second| mixed(arrived + SECOND) % second.one_in == 0) {
                std::thread::sleep(second.delay);
                stream.write_all(response.as_bytes()).ok()?;
                self.record.line(&format!("box-{number} sent its answer to {id} a second time"));
            }
        }
        Some(())
    }

    /// Takes the time of a request, spread evenly over its range.
    fn work(&self, arrived: u64) {
        let (shortest, longest) = self.behaviour.service_ms;
        let spread = mixed(arrived) % (longest - shortest + 1);
        std::thread::sleep(Duration::from_millis(shortest + spread));
    }
}

/// Added to the number of an answer, so that those with a second one are drawn apart from those turned away.
const SECOND: u64 = 1 << 40;

/// A number that looks random, the same for the same argument.
fn mixed(number: u64) -> u64 {
    let mut mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 31)
}
