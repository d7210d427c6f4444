//! Backends that mostly serve.

use super::random::below;
use super::record::{Attempt, Record};
use crate::support::{ok, Backend, Message, Reply};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub fn id_of(message: &Message) -> u64 {
    message.header("x-correlation-id").and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or(0)
}

/// A backend that mostly serves, and answers with the request's own id.
pub fn start_backend(number: usize, seed: u64, record: &Arc<Record>) -> Backend {
    let (record, dice) = (record.clone(), Mutex::new(Pcg32::seed_from_u64(seed * 100 + number as u64)));
    Backend::start(move |message| {
        let (what, wait) = {
            let mut dice = dice.lock().unwrap();
            (below(&mut dice, 40), below(&mut dice, 40))
        };
        let at = Instant::now();
        let left = Duration::from_millis(message.header("x-time-left-ms").unwrap().parse().unwrap());
        let attempt = Attempt { at, left, backend: number, may_have_run: what != 0 };
        record.attempts.lock().unwrap().entry(id_of(message)).or_default().push(attempt);
        std::thread::sleep(Duration::from_millis(wait));
        let body = format!("{:x}", id_of(message));
        match what {
            _ if what > 0 && record.all_hang.load(Ordering::SeqCst) => Reply::Silence,
            0 => Reply::Say("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".into()),
            1 => Reply::Say("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".into()),
            2 => Reply::SayAndReset(String::new()),
            3 => Reply::SayAndReset(format!("HTTP/1.1 200 OK\r\n\r\n{body}")),
            4 => Reply::SayAndClose(format!("HTTP/1.1 200 OK\r\n\r\n{body}")),
            5 => Reply::SayAndClose(format!("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{body}")),
            6 => Reply::Silence,
            _ => ok(&body),
        }
    })
}
