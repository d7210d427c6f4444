//! Clients that mostly wait for their answers.

use super::random::{below, one_in};
use super::record::{Asked, End, Record};
use crate::support::{request, Client};
use rand_pcg::Pcg32;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A request that gets its answer so long after its time is lost.
pub const ANSWER_LATEST: Duration = Duration::from_millis(500);

/// What the threads of this test may be late on a loaded machine.
pub const LATE_THREADS: Duration = Duration::from_millis(400);

/// One client: a request at a time on a connection that it keeps while it can.
pub struct Asker<'a> {
    pub to: std::net::SocketAddr,
    pub dice: Pcg32,
    pub record: &'a Record,
    pub next: &'a AtomicU64,
    pub longest_ms: u64,
}

impl Asker<'_> {
    /// Asks until it is told to stop. Each connection is kept for as long as the proxy leaves it open.
    pub fn run(&mut self, stop: &AtomicBool) {
        let mut held: Option<Client> = None;
        while !stop.load(Ordering::SeqCst) {
            let Some(client) = held.take().or_else(|| Client::try_open(self.to).ok()) else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            held = self.ask(client);
            std::thread::sleep(Duration::from_millis(below(&mut self.dice, 60)));
            if one_in(&mut self.dice, 40) {
                std::thread::sleep(Duration::from_millis(1700 + below(&mut self.dice, 500)));
            }
        }
    }

    /// Sends a request and writes down what became of it; gives the connection back if it can be kept.
    fn ask(&mut self, mut client: Client) -> Option<Client> {
        let class = ["read", "vote", "pay"][below(&mut self.dice, 3) as usize];
        let left_ms = self.longest_ms / 3 + below(&mut self.dice, self.longest_ms * 2 / 3);
        let id = self.next.fetch_add(1, Ordering::SeqCst);
        let text = request(class, left_ms).replace("9b1f03aa5c7e2d41", &format!("{id:x}"));
        if one_in(&mut self.dice, 12) {
            let cut = below(&mut self.dice, text.len() as u64) as usize;
            client.send(&text[..cut]);
            std::thread::sleep(Duration::from_millis(below(&mut self.dice, 400)));
            client.send(&text[cut..]);
        } else {
            client.send(&text);
        }
        let (sent, left) = (Instant::now(), Duration::from_millis(left_ms));
        let mut asked = Asked { class, sent, left, end: End::Nothing };
        if one_in(&mut self.dice, 12) {
            std::thread::sleep(Duration::from_millis(below(&mut self.dice, 200)));
            asked.end = End::Left(Instant::now());
            drop(client);
            self.record.asked.lock().unwrap().insert(id, asked);
            return None;
        }
        client.wait_for_at_most(left + ANSWER_LATEST + LATE_THREADS);
        let answer = client.answer();
        if let Some(answer) = &answer {
            assert!(
                answer.status() != 200 || answer.body == format!("{id:x}").into_bytes(),
                "another's answer"
            );
            asked.end = End::Answered(answer.status(), Instant::now());
        }
        self.record.asked.lock().unwrap().insert(id, asked);
        let kept = answer.is_some_and(|a| a.header("connection") != Some("close"));
        kept.then_some(client)
    }
}
