//! Clients of the soak test, some of which disconnect before the response.

use super::random::{below, one_in};
use super::record::{RequestOutcome, RequestRecord, RunRecord};
use super::rules::{MAX_RESPONSE_DELAY, TEST_THREAD_DELAY};
use crate::support::{request, Client, Message};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Longest body that the protocol allows.
const MAX_BODY_BYTES: u64 = 65_536;
/// Length of the pieces in which a request is sent slowly, in bytes.
const PIECE_BYTES: usize = 64;

/// A client that sends one request at a time over a persistent connection.
pub struct ClientLoop<'a> {
    pub proxy_address: SocketAddr,
    pub random: Pcg32,
    pub record: &'a RunRecord,
    pub next_request_id: &'a AtomicU64,
    pub longest_deadline_ms: u64,
}

impl ClientLoop<'_> {
    /// Sends requests until `stop` is set. Reuses each connection until the proxy closes it.
    pub fn run(&mut self, stop: &AtomicBool) {
        let mut reusable_client: Option<Client> = None;
        while !stop.load(Ordering::SeqCst) {
            let Some(client) = reusable_client.take().or_else(|| Client::try_open(self.proxy_address).ok())
            else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            reusable_client = self.send_request(client);
            std::thread::sleep(Duration::from_millis(below(&mut self.random, 60)));
            // Sometimes idles for about the idle timeout of the proxy, 2.1 s.
            if one_in(&mut self.random, 40) {
                std::thread::sleep(Duration::from_millis(1700 + below(&mut self.random, 500)));
            }
        }
    }

    /// Sends a request and records its outcome. Returns the connection if it can be reused.
    fn send_request(&mut self, mut client: Client) -> Option<Client> {
        let class = ["read", "vote", "pay"][below(&mut self.random, 3) as usize];
        let longest_ms = self.longest_deadline_ms;
        let time_left_ms = longest_ms / 3 + below(&mut self.random, longest_ms * 2 / 3);
        let id = self.next_request_id.fetch_add(1, Ordering::SeqCst);
        let mut text = request(class, time_left_ms).replace("9b1f03aa5c7e2d41", &format!("{id:x}"));
        if class != "read" && one_in(&mut self.random, 12) {
            let length = below(&mut self.random, MAX_BODY_BYTES) as usize;
            text = text.replace("Content-Length: 4", &format!("Content-Length: {length}"));
            text = text.replace("body", &"x".repeat(length));
        }
        self.send_whole_or_in_parts(&mut client, &text);
        let (sent, time_left) = (Instant::now(), Duration::from_millis(time_left_ms));
        let mut record = RequestRecord { class, sent, time_left, outcome: RequestOutcome::Unanswered };
        if one_in(&mut self.random, 12) {
            std::thread::sleep(Duration::from_millis(below(&mut self.random, 200)));
            record.outcome = RequestOutcome::Disconnected { at: Instant::now() };
            drop(client);
            self.record.requests.lock().unwrap().insert(id, record);
            return None;
        }
        let patience = time_left + MAX_RESPONSE_DELAY + TEST_THREAD_DELAY;
        client.set_read_timeout(patience);
        let response = client.read_response();
        if let Some(response) = &response {
            assert_own_response(id, response);
            record.outcome = RequestOutcome::Answered { status: response.status(), at: Instant::now() };
        } else if sent.elapsed() >= patience {
            record.outcome = RequestOutcome::TimedOut;
        }
        self.record.requests.lock().unwrap().insert(id, record);
        let is_reusable = response.is_some_and(|response| response.header("connection") != Some("close"));
        is_reusable.then_some(client)
    }

    fn send_whole_or_in_parts(&mut self, client: &mut Client, text: &str) {
        if one_in(&mut self.random, 12) {
            client.send_in_pieces(text, PIECE_BYTES);
            return;
        }
        if !one_in(&mut self.random, 12) {
            client.send(text);
            return;
        }
        let split_at_byte = below(&mut self.random, text.len() as u64) as usize;
        client.send(&text[..split_at_byte]);
        std::thread::sleep(Duration::from_millis(below(&mut self.random, 400)));
        client.send(&text[split_at_byte..]);
    }
}

fn assert_own_response(id: u64, response: &Message) {
    assert!(
        response.status() != 200 || response.body == format!("{id:x}").into_bytes(),
        "request {id:x} received the response of another request"
    );
}
