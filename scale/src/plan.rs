//! Plans: which fleets are run, at which sizes, and what happens to them. The fields of [`Point`],
//! [`DiscoveryPlan`] and [`PlannedEvent`] are the keys of a plan's file.

use serde::Deserialize;
use std::path::PathBuf;

/// Why a plan was not accepted, in one line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {expected}")]
pub struct PlanError {
    /// The key at fault, from the top of the file.
    pub path: String,
    /// What was expected of it.
    pub expected: String,
}

impl PlanError {
    /// The value of the key at `path` is not what was expected.
    pub fn new(path: impl Into<String>, expected: impl Into<String>) -> PlanError {
        PlanError { path: path.into(), expected: expected.into() }
    }
}

/// What the proxies of a plan are.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase", expecting = "enum Kind")]
pub enum PlanKind {
    /// Processes of the real program on loopback.
    Real,
    /// Simulated proxies, many in one process: the real decisions and the real watch, no client sockets.
    #[serde(rename = "hollow")]
    Simulated,
    /// The bare decisions, no sockets at all.
    #[serde(rename = "module")]
    Balancer,
}

// The texts of `expecting` are part of the messages about bad plans and stay as people know them.

/// A whole plan: the same fleet at several sizes.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Names the plan in the results.
    pub name: String,
    /// What the proxies are.
    pub kind: PlanKind,
    /// The field of a point that is its size: see [`Point::size`].
    pub over: String,
    /// The longest time that the whole of it may take, in seconds.
    pub longest_s: f64,
    /// The built proxy; `None` means the one beside this program.
    pub program: Option<PathBuf>,
    /// What is run, one after the other; never empty.
    pub points: Vec<Point>,
}

/// One size of the fleet, and what happens to it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Point {
    /// Names the point in the results.
    pub label: String,
    /// Start of all random draws.
    pub seed: u64,
    /// How often a plan of [`PlanKind::Balancer`] is run, each time with the next seed.
    pub seeds: u32,
    /// Entries of the endpoint list.
    pub backends: u32,
    /// Kinds of machine.
    pub kinds: u32,
    /// Zones; the proxies are spread over them.
    pub zones: u32,
    /// Classes of requests.
    pub classes: u32,
    /// Tenants.
    pub tenants: u32,
    /// Proxies that are run.
    pub proxies: u32,
    /// Proxies of the fleet by the settings; 0 means those that are run.
    pub fleet: u32,
    /// Requests a second over all proxies.
    pub rate_per_s: f64,
    /// Connections that the clients of one real proxy may hold.
    pub connections: u32,
    /// Time in which a client expects its answer, in milliseconds.
    pub deadline_ms: u64,
    /// Mean time that a backend takes for a request, in milliseconds.
    pub service_ms: f64,
    /// Requests a second that a warm backend can serve; the limit of a warming one is a part of it.
    pub capacity_per_s: f64,
    /// File descriptors of a real proxy.
    pub sockets: u32,
    /// Proxies start with the endpoint list as their cached list.
    pub known: bool,
    /// The longest wait until all proxies are ready, in seconds.
    pub ready_s: f64,
    /// Length of the phase without load or changes, in seconds: processor time at rest.
    pub rest_s: f64,
    /// Length of the phase in which only the list changes, in seconds: processor time for each changed entry.
    pub change_s: f64,
    /// Entries that change a second in that phase.
    pub changes_per_s: f64,
    /// Length of the phase with requests, in seconds.
    pub load_s: f64,
    /// A request that reaches a backend later than the time to stop sending plus this, in seconds, after it
    /// began to drain is an error.
    pub drain_slack_s: f64,
    /// The discovery service.
    pub discovery: DiscoveryPlan,
    /// What happens during the load.
    pub events: Vec<PlannedEvent>,
}

impl Point {
    /// Its size along the field of this name; `None` where a plan cannot run over that.
    pub fn size(&self, field: &str) -> Option<f64> {
        let size = match field {
            "backends" => self.backends,
            "classes" => self.classes,
            "tenants" => self.tenants,
            "proxies" => self.proxies,
            _ => return None,
        };
        Some(f64::from(size))
    }
}

impl Default for Point {
    fn default() -> Point {
        Point {
            label: String::new(),
            seed: 1,
            seeds: 5,
            backends: 0,
            kinds: 4,
            zones: 2,
            classes: 3,
            tenants: 6,
            proxies: 1,
            fleet: 0,
            rate_per_s: 200.0,
            connections: 256,
            deadline_ms: 2_000,
            service_ms: 10.0,
            capacity_per_s: 50.0,
            sockets: 2_048,
            known: false,
            ready_s: 10.0,
            rest_s: 5.0,
            change_s: 5.0,
            changes_per_s: 100.0,
            load_s: 10.0,
            drain_slack_s: 2.0,
            discovery: DiscoveryPlan::default(),
            events: Vec::new(),
        }
    }
}

/// The discovery service: it handles calls one after another.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Service")]
pub struct DiscoveryPlan {
    /// How the list reaches the proxies.
    pub mode: DiscoveryMode,
    /// Work for a call, in microseconds.
    pub call_us: u64,
    /// Work for each entry of a response, in microseconds.
    pub line_us: f64,
    /// Calls that may wait in its queue; more are rejected.
    pub queue: usize,
}

impl Default for DiscoveryPlan {
    fn default() -> DiscoveryPlan {
        DiscoveryPlan { mode: DiscoveryMode::Subscribe, call_us: 200, line_us: 0.0, queue: 1_024 }
    }
}

/// How the list reaches the proxies.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase", expecting = "enum Mode")]
pub enum DiscoveryMode {
    /// Pushed by an agent beside each proxy, whose calls cost nothing to anybody else.
    #[serde(rename = "automatic")]
    Push,
    /// Subscribed to at one service that all proxies call.
    Subscribe,
}

/// Something that happens during the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Happening")]
pub struct PlannedEvent {
    /// When, in seconds from the first request.
    pub at_s: f64,
    /// What.
    pub what: EventKind,
    /// How long it lasts, in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// How many entries of the list it changes over its time; 0 means all.
    #[serde(default)]
    pub lines: u32,
}

/// What may happen.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase", expecting = "enum What")]
pub enum EventKind {
    /// Backends drain, leave and start again, to warm up, spread evenly over the time.
    Release,
    /// Discovery rejects calls.
    Refuse,
    /// Discovery takes calls and does not respond.
    Silence,
    /// Discovery is down.
    Down,
    /// Discovery moves to another port; the settings' files are replaced and SIGHUP is sent.
    Reload,
    /// All proxies end and start again at once, without a list.
    Return,
}
