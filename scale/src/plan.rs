//! Plans: which fleets are run, at which sizes and with which events. The fields of [`Point`],
//! [`DiscoveryPlan`] and [`PlannedEvent`] are the keys of a plan file.

use serde::Deserialize;
use std::path::PathBuf;

/// Error in a plan; its message is one line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {expected}")]
pub struct PlanError {
    /// Path of the invalid key from the top level of the file; otherwise the line of a syntax error, or the
    /// name of an unreadable file.
    pub path: String,
    /// The expected value.
    pub expected: String,
}

impl PlanError {
    /// Creates an error for the key at `path`.
    pub fn new(path: impl Into<String>, expected: impl Into<String>) -> PlanError {
        PlanError { path: path.into(), expected: expected.into() }
    }
}

/// How the proxies of a plan are run.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase", expecting = "a plan kind")]
pub enum PlanKind {
    /// Processes of the real proxy, on loopback addresses.
    Real,
    /// Many simulated proxies in one process, with the real balancer and the real discovery client, but
    /// without client and backend sockets.
    #[serde(rename = "hollow")]
    Simulated,
    /// One balancer without any sockets.
    #[serde(rename = "module")]
    Balancer,
}

/// A plan: the same fleet at several sizes.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the plan in the results.
    pub name: String,
    /// How the proxies are run.
    pub kind: PlanKind,
    /// Field of the points that is their size. See [`Point::size`].
    pub over: String,
    /// Maximum duration of the whole plan, in seconds.
    pub longest_s: f64,
    /// Path of the real proxy; `None` means the one in the directory of this program.
    pub program: Option<PathBuf>,
    /// Points to run, in order; never empty.
    pub points: Vec<Point>,
}

/// One size of the fleet, with its phases and events.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Point {
    /// Name of the point in the results; may be empty.
    pub label: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of runs in a plan of [`PlanKind::Balancer`], with consecutive seeds.
    pub seeds: u32,
    /// Number of backends in the endpoint list.
    pub backends: u32,
    /// Number of machine kinds, to which the backends are assigned in rotation.
    pub kinds: u32,
    /// Number of zones, to which proxies and backends are assigned in rotation.
    pub zones: u32,
    /// Number of request classes.
    pub classes: u32,
    /// Number of tenants; 0 for requests without a tenant.
    pub tenants: u32,
    /// Number of proxies that are run.
    pub proxies: u32,
    /// Number of proxies in the fleet according to the proxies' settings; 0 means `proxies`.
    pub fleet: u32,
    /// Requests per second, summed over all proxies that are run.
    pub rate_per_s: f64,
    /// Maximum number of client connections to each real proxy.
    pub connections: u32,
    /// Deadline of each request, in milliseconds from its planned send.
    pub deadline_ms: u64,
    /// Mean service time of a request at a backend, in milliseconds.
    pub service_ms: f64,
    /// Requests per second that a backend can serve after slow start; its limit during slow start derives
    /// from it.
    pub capacity_per_s: f64,
    /// Maximum number of open file descriptors of a real proxy.
    pub sockets: u32,
    /// Whether real proxies start with the endpoint list as their cached list.
    pub known: bool,
    /// Maximum wait until all proxies are ready, in seconds.
    pub ready_s: f64,
    /// Duration of the phase without load and changes, in seconds. It measures the CPU time at rest.
    pub rest_s: f64,
    /// Duration of the phase in which only the endpoint list changes, in seconds. It measures the CPU time
    /// per changed entry.
    pub change_s: f64,
    /// Changed entries per second in that phase.
    pub changes_per_s: f64,
    /// Duration of the phase with requests and events, in seconds.
    pub load_s: f64,
    /// Allowance on top of the time within which proxies must stop sending to a draining backend, in seconds.
    /// A request that reaches the backend still later fails a check.
    pub drain_slack_s: f64,
    /// Properties of the discovery service.
    pub discovery: DiscoveryPlan,
    /// Events during the load phase.
    pub events: Vec<PlannedEvent>,
}

impl Point {
    /// Returns the value of the field by which a plan varies its size; `None` if plans cannot vary this
    /// field.
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

/// Properties of the discovery service, which processes one call at a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "a discovery table")]
pub struct DiscoveryPlan {
    /// How proxies receive the endpoint list.
    pub mode: DiscoveryMode,
    /// Processing time per call, in microseconds.
    pub call_us: u64,
    /// Additional processing time per entry of a response, in microseconds.
    pub line_us: f64,
    /// Maximum number of calls in the queue; further ones are rejected.
    pub queue: usize,
}

impl Default for DiscoveryPlan {
    fn default() -> DiscoveryPlan {
        DiscoveryPlan { mode: DiscoveryMode::Subscribe, call_us: 200, line_us: 0.0, queue: 1_024 }
    }
}

/// How proxies receive the endpoint list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase", expecting = "a discovery mode")]
pub enum DiscoveryMode {
    /// Pushed by a local agent per proxy, whose calls put no load on a shared service.
    #[serde(rename = "automatic")]
    Push,
    /// Subscribed to at one service that all proxies share.
    Subscribe,
}

/// An event during the load phase.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an event table")]
pub struct PlannedEvent {
    /// Start, in seconds from the start of the load phase.
    pub at_s: f64,
    /// Kind of the event.
    pub what: EventKind,
    /// Duration, in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// Number of backends that a release restarts; 0 means all.
    #[serde(default)]
    pub lines: u32,
}

/// Kind of an event.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase", expecting = "an event kind")]
pub enum EventKind {
    /// Backends are drained, removed and restarted, spread evenly over the duration.
    Release,
    /// Discovery rejects calls.
    Refuse,
    /// Discovery accepts calls and never responds.
    Silence,
    /// Discovery refuses connections and closes the open ones.
    Down,
    /// Discovery moves to another port. Real proxies get a new configuration file and SIGHUP.
    Reload,
    /// All proxies restart at once, without a cached endpoint list. Simulated proxies only.
    Return,
}
