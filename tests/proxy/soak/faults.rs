//! Fault injection and shutdown of the proxy under test.

use super::random::{below, one_in};
use super::record::{DrainInterval, RunRecord};
use super::BACKENDS;
use crate::support::{endpoint, request, Backend, Client, Discovery, Faults, ProxyProcess};
use rand_pcg::Pcg32;
use serde_json::Value;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// SIGKILL follows SIGTERM after the longest deadline plus this margin.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The longest deadline counts towards the time until SIGKILL up to this limit.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Difference between the start times of successive processes of one backend.
const RESTART_INTERVAL_MS: u64 = 1000;

/// Upper limit, exclusive, of the clients that stay without a complete request.
const MAX_STALLED_CLIENTS: u64 = 160;

/// A run: one proxy, its environment, and the record of the run.
pub struct Run {
    pub proxy: ProxyProcess,
    pub config: Value,
    pub faults: Faults,
    pub discovery: Discovery,
    pub backends: Vec<Backend>,
    pub record: Arc<RunRecord>,
    pub longest_deadline_ms: u64,
}

/// The published endpoint list entry of a backend.
#[derive(Clone, Copy)]
pub struct EndpointState {
    pub is_ready: bool,
    pub started_at_ms: u64,
}

impl Run {
    /// Publishes a ready backend as draining, or a draining one as ready with a new start time.
    fn toggle_backend(&self, number: usize, state: &mut EndpointState) {
        if state.is_ready {
            self.publish_endpoint(number, "draining", state.started_at_ms);
            let drain = DrainInterval { backend: number, from: Instant::now(), until: None };
            self.record.drains.lock().unwrap().push(drain);
        } else {
            self.end_drain(number);
            state.started_at_ms += RESTART_INTERVAL_MS;
            self.publish_endpoint(number, "ready", state.started_at_ms);
        }
        state.is_ready = !state.is_ready;
    }

    fn publish_endpoint(&self, number: usize, status: &str, started_at_ms: u64) {
        let address = self.backends[number].address;
        self.discovery.publish_delta(&[endpoint(&format!("s{number}"), address, status, started_at_ms)]);
    }

    fn end_drain(&self, number: usize) {
        let mut drains = self.record.drains.lock().unwrap();
        let last = drains.iter_mut().rev().find(|drain| drain.backend == number);
        if let Some(drain) = last {
            drain.until = Some(Instant::now());
        }
    }

    /// Opens a connection that stays without a complete request: silent, in a head, in a head that is too
    /// long, or in a long body.
    fn open_stalled_client(&self, number: u64) -> Option<Client> {
        let mut client = Client::try_open(self.proxy.address).ok()?;
        match number % 4 {
            0 => {}
            1 => client.send("GET /read HTTP/1.1\r\nHost: back"),
            2 => client.send(&format!("GET /read HTTP/1.1\r\nX-Facts: {}", "x".repeat(20_000))),
            _ => {
                let length = "Content-Length: 65536";
                let text = request("pay", 60_000).replace("Content-Length: 4", length);
                client.send(&text.replace("body", &"x".repeat(60_000)));
            }
        }
        Some(client)
    }

    /// Injects a randomly drawn fault.
    pub fn inject_fault(
        &self, random: &mut Pcg32, states: &mut [EndpointState], idle_clients: &mut Vec<Client>,
    ) {
        match below(random, 9) {
            0..=2 => {
                let number = below(random, BACKENDS as u64) as usize;
                let is_last = states[number].is_ready && states.iter().filter(|s| s.is_ready).count() == 1;
                if !is_last {
                    self.toggle_backend(number, &mut states[number]);
                }
            }
            3 => {
                for _ in 0..=below(random, 3) {
                    self.proxy.reload(&self.config.to_string());
                }
            }
            4 => drop(self.proxy.stall(Duration::from_millis(20 + below(random, 120)), || {})),
            5 => self.faults.set_clock_offset([0, 5, -5, 3600, -3600][below(random, 5) as usize]),
            6 => self.faults.fail_accepts([0, 5, 50][below(random, 3) as usize]),
            7 => self.faults.fail_connects([0, 5, 30][below(random, 3) as usize]),
            _ => {
                idle_clients.clear();
                let count = below(random, MAX_STALLED_CLIENTS);
                idle_clients.extend((0..count).filter_map(|number| self.open_stalled_client(number)));
            }
        }
    }

    /// Sends SIGTERM, possibly with further faults, and SIGKILL at the earliest time at which the platform
    /// may send it. Clients continue until then.
    pub fn shut_down(&self, random: &mut Pcg32) {
        self.record.all_backends_hang.store(one_in(random, 2), Ordering::SeqCst);
        let began = Instant::now();
        self.proxy.terminate();
        if one_in(random, 2) {
            self.proxy.stall(Duration::from_millis(below(random, 140)), || {});
        }
        if one_in(random, 2) {
            self.proxy.terminate();
            self.proxy.signal("-HUP");
        }
        let kill = Duration::from_millis(self.longest_deadline_ms).min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        std::thread::sleep(kill.saturating_sub(began.elapsed()));
        self.proxy.kill();
    }
}
