//! Backends of the soak test, which fail a fraction of the requests.

use super::random::below;
use super::record::{AttemptRecord, RunRecord};
use crate::support::{ok_response, Backend, Message, Reply};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn request_id(message: &Message) -> u64 {
    message.header("x-correlation-id").and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or(0)
}

/// Length of the pieces in which a long message is sent, in bytes.
const PIECE_BYTES: usize = 16;

/// Returns a response whose body is never complete.
fn long_incomplete_response() -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n{}", "x".repeat(20_000))
}

/// Starts a backend that serves most requests, with the request's correlation id as the body, and fails the
/// others in various ways.
pub fn start_backend(number: usize, seed: u64, record: &Arc<RunRecord>) -> Backend {
    let (record, random) = (record.clone(), Mutex::new(Pcg32::seed_from_u64(seed * 100 + number as u64)));
    Backend::start(move |message| {
        let (behaviour, delay_ms) = {
            let mut random = random.lock().unwrap();
            (below(&mut random, 40), below(&mut random, 40))
        };
        let at = Instant::now();
        let time_left = Duration::from_millis(message.header("x-time-left-ms").unwrap().parse().unwrap());
        let attempt =
            AttemptRecord { at, time_left, backend: number, may_have_been_executed: behaviour != 0 };
        record.attempts.lock().unwrap().entry(request_id(message)).or_default().push(attempt);
        std::thread::sleep(Duration::from_millis(delay_ms));
        let body = format!("{:x}", request_id(message));
        match behaviour {
            _ if behaviour > 0 && record.all_backends_hang.load(Ordering::SeqCst) => Reply::NoResponse,
            0 => Reply::Send("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".into()),
            1 => Reply::Send("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".into()),
            2 => Reply::SendAndReset(String::new()),
            3 => Reply::SendAndReset(format!("HTTP/1.1 200 OK\r\n\r\n{body}")),
            4 => Reply::SendAndClose(format!("HTTP/1.1 200 OK\r\n\r\n{body}")),
            5 => Reply::SendAndClose(format!("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{body}")),
            6 => Reply::NoResponse,
            7 => Reply::SendInPieces(long_incomplete_response(), PIECE_BYTES),
            _ => ok_response(&body),
        }
    })
}
