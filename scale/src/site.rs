//! The site of a point: the settings as a platform tells them, and the list with its versions.

use crate::plan::{DiscoveryMode, Point};
use bytes::Bytes;
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};

/// The site's rules, as its settings tell them.
pub const COLD_FROM: f64 = 0.3;
/// A started_at backend is warm after this time.
pub const RAMP_US: u64 = 10_000_000;
/// A cold backend sent more than this multiple of its present capacity falls ...
pub const FALL_MULTIPLE: f64 = 2.5;
/// ... over this time.
pub const FALL_WINDOW_US: u64 = 2_000_000;
/// So soon after the news sends to a backend that drains must cease.
pub const STOP_SENDING_US: u64 = 1_000_000;
/// The time between two turns of the decisions.
const TICK_US: u64 = 4_000;
/// A proxy that has not asked for so long counts as told.
const MUST_ASK_US: u64 = 10_000_000;

/// Names of classes and tenants by their numbers.
pub fn class_name(number: u32) -> String {
    format!("class-{number}")
}

/// The name of a tenant.
pub fn tenant_name(number: u32) -> String {
    format!("tenant-{number}")
}

/// The name of a backend.
pub fn backend_name(number: usize) -> String {
    format!("s-{number:08x}")
}

/// Whether a class is safe to repeat; its requests go as GET then.
pub fn is_free(class: u32) -> bool {
    class % 3 != 2
}

fn class(number: u32, deadline_us: u64) -> Value {
    let effect = if is_free(number) { "free" } else { "single_shot" };
    json!({"name": class_name(number), "effect": effect, "aim_us": deadline_us / 2, "deadline_us": deadline_us,
           "gain": 1.0 + f64::from(number % 4), "late_worth": 0.1})
}

/// The settings of the proxy at a place in its fleet.
pub fn settings(p: &Point, position: u32) -> Value {
    let fleet = if p.fleet == 0 { p.proxies } else { p.fleet };
    let quota = p.rate_per_s * 1.5 / f64::from(p.tenants.max(1));
    let tenant = |n| json!({"name": tenant_name(n), "quota_rps": quota});
    let mode = match p.discovery.mode {
        DiscoveryMode::Push => "automatic",
        DiscoveryMode::Subscribe => "subscribe",
    };
    json!({
        "blend": {"whole": 0.7, "worst_class": 0.3},
        "costs": {"cross_zone": 0.02},
        "customers": (0..p.tenants).map(tenant).collect::<Vec<Value>>(),
        "discovery": mode,
        "granularity_us": TICK_US,
        "group_size": fleet,
        "position": position,
        "limits": {"cancel": true, "conn_idle_us": 60_000_000, "dial_timeout_us": 1_000_000, "max_attempts": 3,
                   "open_cap": 20_000, "parallel_tries": true},
        "my_zone": zone(position % p.zones),
        "over_share_worth": 0.1,
        "profiles": (0..p.classes).map(|n| class(n, p.deadline_ms * 1_000)).collect::<Vec<Value>>(),
        "rules": {"cold_from": COLD_FROM, "fall_multiple": FALL_MULTIPLE, "must_ask_in_us": MUST_ASK_US,
                  "ramp_time_us": RAMP_US, "stop_sending_within_us": STOP_SENDING_US,
                  "tip_after_us": FALL_WINDOW_US},
        "weight_source": "rough",
        "zones": (0..p.zones).map(zone).collect::<Vec<String>>(),
    })
}

fn zone(number: u32) -> String {
    format!("zone-{number}")
}

/// What a line says that its backend may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Requests.
    Ready,
    /// Nothing new.
    Draining,
    /// It has left.
    Gone,
}

#[derive(Clone)]
struct Line {
    address: SocketAddr,
    status: Status,
    since_ms: u64,
    weight: f64,
}

/// The list in all its versions.
pub struct Register {
    version: u64,
    lines: Vec<Line>,
    zones: u32,
    kinds: u32,
    /// Which line each version changed, the latest last.
    changes: VecDeque<usize>,
    /// Answers as written, by the version that they count from.
    written: VecDeque<(Option<u64>, Answer)>,
}

/// An answer of discovery.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The body.
    pub body: Bytes,
    /// Lines in it.
    pub lines: usize,
}

/// Answers kept for callers that hold the same version.
const WRITTEN: usize = 32;

/// An address of its own for each backend, inside 127.0.0.0/8 and away from 127.0.0.1.
pub fn own_address(number: u32, port: u16) -> SocketAddr {
    let [_, a, b, c] = (0x0014_0000 + number).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, a, b, c), port))
}

impl Register {
    /// The list of a point with these addresses, all of them ready for long.
    pub fn new(p: &Point, addresses: &[SocketAddr]) -> Register {
        let line = |address: &SocketAddr| Line {
            address: *address,
            status: Status::Ready,
            since_ms: 0,
            weight: 1.0,
        };
        Register {
            version: 1,
            lines: addresses.iter().map(line).collect(),
            zones: p.zones,
            kinds: p.kinds,
            changes: VecDeque::new(),
            written: VecDeque::new(),
        }
    }

    /// The version in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Says something new of a backend.
    pub fn set(&mut self, backend: usize, status: Status, since_ms: u64) {
        let Some(line) = self.lines.get_mut(backend) else { return };
        (line.status, line.since_ms) = (status, since_ms);
        self.changed(backend);
    }

    /// Changes a line in what no decision depends on where weights are rough: its weight.
    pub fn touch(&mut self, backend: usize) {
        let Some(line) = self.lines.get_mut(backend) else { return };
        line.weight = if line.weight > 1.0 { 1.0 } else { 1.5 };
        self.changed(backend);
    }

    fn changed(&mut self, backend: usize) {
        self.version += 1;
        self.changes.push_back(backend);
        if self.changes.len() > self.lines.len() {
            self.changes.pop_front();
        }
        self.written.clear();
    }

    /// How many lines such an answer has at most, without writing it.
    pub fn lines(&self, after: Option<u64>) -> usize {
        let changed = after.and_then(|v| self.version.checked_sub(v)).and_then(|n| usize::try_from(n).ok());
        changed.filter(|n| *n <= self.changes.len()).unwrap_or(self.lines.len())
    }

    /// What a caller is told that holds a version, or none: changes where they are known, else the whole list.
    pub fn answer(&mut self, after: Option<u64>) -> Answer {
        let known = |v: &u64| self.version.checked_sub(*v).is_some_and(|n| n <= self.changes.len() as u64);
        let from = after.filter(known);
        if let Some((_, answer)) = self.written.iter().find(|w| w.0 == from) {
            return answer.clone();
        }
        let answer = self.write(from);
        self.written.push_back((from, answer.clone()));
        if self.written.len() > WRITTEN {
            self.written.pop_front();
        }
        answer
    }

    fn write(&self, from: Option<u64>) -> Answer {
        let told: Vec<Value> = match from {
            None => {
                let held = self.lines.iter().enumerate().filter(|(_, l)| l.status != Status::Gone);
                held.map(|(i, _)| self.told(i)).collect()
            }
            Some(version) => {
                let skip = self.changes.len() - (self.version - version) as usize;
                let mut changed: Vec<usize> = self.changes.iter().skip(skip).copied().collect();
                changed.sort_unstable();
                changed.dedup();
                changed.into_iter().map(|i| self.told(i)).collect()
            }
        };
        let lines = told.len();
        let body = json!({"index": self.version, "snapshot": from.is_none(), "endpoints": told});
        Answer { body: Bytes::from(body.to_string()), lines }
    }

    fn told(&self, number: usize) -> Value {
        let line = &self.lines[number];
        let status = match line.status {
            Status::Ready => "ready",
            Status::Draining => "draining",
            Status::Gone => "gone",
        };
        let (zones, kinds) = (self.zones as usize, self.kinds as usize);
        json!({"name": backend_name(number), "address": line.address.to_string(),
               "zone": zone((number % zones) as u32), "type": format!("m{}", number / zones % kinds),
               "group": number / 8, "status": status, "weight": line.weight, "since_ms": line.since_ms})
    }
}
