//! Clients that mostly wait for their answers.

use super::random::{below, one_in};
use super::record::{RequestOutcome, RequestRecord, RunRecord};
use super::rules::{ANSWER_LATEST, TEST_THREAD_DELAY};
use crate::support::{request, Client, Message};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// One client: a request at a time on a connection that it keeps while it can.
pub struct ClientLoop<'a> {
    pub proxy_address: SocketAddr,
    pub random: Pcg32,
    pub record: &'a RunRecord,
    pub next_request_id: &'a AtomicU64,
    pub longest_deadline_ms: u64,
}

impl ClientLoop<'_> {
    /// Sends requests until `stop` is set. Each connection is kept for as long as the proxy leaves it open.
    pub fn run(&mut self, stop: &AtomicBool) {
        let mut kept: Option<Client> = None;
        while !stop.load(Ordering::SeqCst) {
            let Some(client) = kept.take().or_else(|| Client::try_open(self.proxy_address).ok()) else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            kept = self.send_request(client);
            std::thread::sleep(Duration::from_millis(below(&mut self.random, 60)));
            if one_in(&mut self.random, 40) {
                std::thread::sleep(Duration::from_millis(1700 + below(&mut self.random, 500)));
            }
        }
    }

    /// Sends a request and records what became of it; returns the connection if it can be kept.
    fn send_request(&mut self, mut client: Client) -> Option<Client> {
        let class = ["read", "vote", "pay"][below(&mut self.random, 3) as usize];
        let longest_ms = self.longest_deadline_ms;
        let time_left_ms = longest_ms / 3 + below(&mut self.random, longest_ms * 2 / 3);
        let id = self.next_request_id.fetch_add(1, Ordering::SeqCst);
        let text = request(class, time_left_ms).replace("9b1f03aa5c7e2d41", &format!("{id:x}"));
        self.send_at_once_or_in_parts(&mut client, &text);
        let (sent, time_left) = (Instant::now(), Duration::from_millis(time_left_ms));
        let mut record = RequestRecord { class, sent, time_left, outcome: RequestOutcome::Unanswered };
        if one_in(&mut self.random, 12) {
            std::thread::sleep(Duration::from_millis(below(&mut self.random, 200)));
            record.outcome = RequestOutcome::Disconnected { at: Instant::now() };
            drop(client);
            self.record.requests.lock().unwrap().insert(id, record);
            return None;
        }
        client.set_read_timeout(time_left + ANSWER_LATEST + TEST_THREAD_DELAY);
        let response = client.read_response();
        if let Some(response) = &response {
            assert_own_answer(id, response);
            record.outcome = RequestOutcome::Answered { status: response.status(), at: Instant::now() };
        }
        self.record.requests.lock().unwrap().insert(id, record);
        let can_be_kept = response.is_some_and(|response| response.header("connection") != Some("close"));
        can_be_kept.then_some(client)
    }

    fn send_at_once_or_in_parts(&mut self, client: &mut Client, text: &str) {
        if !one_in(&mut self.random, 12) {
            client.send(text);
            return;
        }
        let cut = below(&mut self.random, text.len() as u64) as usize;
        client.send(&text[..cut]);
        std::thread::sleep(Duration::from_millis(below(&mut self.random, 400)));
        client.send(&text[cut..]);
    }
}

fn assert_own_answer(id: u64, response: &Message) {
    assert!(response.status() != 200 || response.body == format!("{id:x}").into_bytes(), "another's answer");
}
