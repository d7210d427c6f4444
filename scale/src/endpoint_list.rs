//! Versioned endpoint list, and the discovery responses that contain it.

use crate::naming::{backend_name, kind_name, zone_name};
use crate::plan::Point;
use bytes::Bytes;
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Maximum number of cached responses; callers with the same version share one.
const MAX_CACHED_RESPONSES: usize = 32;
/// Backends per cell. The backends of a cell share the set of idempotency keys that they have seen.
const BACKENDS_PER_CELL: usize = 8;
/// The two weights that [`EndpointList::toggle_weight`] alternates between.
const WEIGHTS: [f64; 2] = [1.0, 1.5];

/// Status of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Receives requests.
    Ready,
    /// Completes its requests and must not receive new ones.
    Draining,
    /// The backend is gone: deltas report it, snapshots omit it.
    Removed,
}

#[derive(Clone)]
struct Endpoint {
    address: SocketAddr,
    status: EndpointStatus,
    /// Unix milliseconds; 0 for a backend that is past slow start.
    started_at_ms: u64,
    weight: f64,
}

/// The endpoint list, with the latest changes from which deltas are computed.
pub struct EndpointList {
    version: u64,
    endpoints: Vec<Endpoint>,
    zones: usize,
    kinds: usize,
    /// Index of the backend that each version changed, oldest first; at most as many as there are endpoints.
    changed_backends: VecDeque<usize>,
    responses: VecDeque<CachedResponse>,
}

struct CachedResponse {
    /// Version on which the delta is based; `None` for a snapshot.
    after: Option<u64>,
    response: ListResponse,
}

/// A discovery response.
#[derive(Clone, Debug)]
pub struct ListResponse {
    /// JSON body.
    pub body: Bytes,
    /// Number of entries in the body.
    pub entries: usize,
}

impl EndpointList {
    /// Creates version 1 of a point's list: the backends at `addresses`, all ready and past slow start.
    pub fn new(point: &Point, addresses: &[SocketAddr]) -> EndpointList {
        let endpoint = |address: &SocketAddr| Endpoint {
            address: *address,
            status: EndpointStatus::Ready,
            started_at_ms: 0,
            weight: WEIGHTS[0],
        };
        EndpointList {
            version: 1,
            endpoints: addresses.iter().map(endpoint).collect(),
            zones: point.zones as usize,
            kinds: point.kinds as usize,
            changed_backends: VecDeque::new(),
            responses: VecDeque::new(),
        }
    }

    /// Returns the current version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Sets the status of a backend. `started_at_ms` is in Unix milliseconds; 0 means past slow start.
    pub fn set_status(&mut self, backend: usize, status: EndpointStatus, started_at_ms: u64) {
        let Some(endpoint) = self.endpoints.get_mut(backend) else { return };
        endpoint.status = status;
        endpoint.started_at_ms = started_at_ms;
        self.record_change(backend);
    }

    /// Alternates the weight of a backend. With the setting `weight_source` at `rough`, no decision depends
    /// on weights, so this changes the list without changing the traffic.
    pub fn toggle_weight(&mut self, backend: usize) {
        let Some(endpoint) = self.endpoints.get_mut(backend) else { return };
        endpoint.weight = if endpoint.weight > WEIGHTS[0] { WEIGHTS[0] } else { WEIGHTS[1] };
        self.record_change(backend);
    }

    fn record_change(&mut self, backend: usize) {
        self.version += 1;
        self.changed_backends.push_back(backend);
        if self.changed_backends.len() > self.endpoints.len() {
            self.changed_backends.pop_front();
        }
        self.responses.clear();
    }

    /// Returns an upper bound of the number of entries in [`response`](Self::response), without building it.
    pub fn entry_count(&self, after: Option<u64>) -> usize {
        after.and_then(|version| self.change_count_since(version)).unwrap_or(self.endpoints.len())
    }

    /// Returns the response to a caller with version `after`, or with no list: a delta if all changes since
    /// that version are known, a snapshot otherwise.
    pub fn response(&mut self, after: Option<u64>) -> ListResponse {
        let after = after.filter(|version| self.change_count_since(*version).is_some());
        if let Some(cached) = self.responses.iter().find(|cached| cached.after == after) {
            return cached.response.clone();
        }
        let response = self.build_response(after);
        self.responses.push_back(CachedResponse { after, response: response.clone() });
        if self.responses.len() > MAX_CACHED_RESPONSES {
            self.responses.pop_front();
        }
        response
    }

    /// Returns the number of changes after a version, or `None` if they are no longer known.
    fn change_count_since(&self, version: u64) -> Option<usize> {
        let count = usize::try_from(self.version.checked_sub(version)?).ok()?;
        Some(count).filter(|count| *count <= self.changed_backends.len())
    }

    fn build_response(&self, after: Option<u64>) -> ListResponse {
        let entries: Vec<Value> = match after.and_then(|version| self.change_count_since(version)) {
            None => self.listed_backends().map(|backend| self.entry(backend)).collect(),
            Some(count) => self.last_changed(count).into_iter().map(|backend| self.entry(backend)).collect(),
        };
        let count = entries.len();
        let body = json!({"index": self.version, "snapshot": after.is_none(), "endpoints": entries});
        ListResponse { body: Bytes::from(body.to_string()), entries: count }
    }

    fn listed_backends(&self) -> impl Iterator<Item = usize> + '_ {
        let is_listed = |backend: &usize| self.endpoints[*backend].status != EndpointStatus::Removed;
        (0..self.endpoints.len()).filter(is_listed)
    }

    /// Returns the backends of the last `count` changes, each once.
    fn last_changed(&self, count: usize) -> Vec<usize> {
        let skipped = self.changed_backends.len() - count;
        let mut changed: Vec<usize> = self.changed_backends.iter().skip(skipped).copied().collect();
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    fn entry(&self, backend: usize) -> Value {
        let endpoint = &self.endpoints[backend];
        let status = match endpoint.status {
            EndpointStatus::Ready => "ready",
            EndpointStatus::Draining => "draining",
            EndpointStatus::Removed => "gone",
        };
        json!({
            "name": backend_name(backend),
            "address": endpoint.address.to_string(),
            "zone": zone_name((backend % self.zones) as u32),
            "type": kind_name(backend / self.zones % self.kinds),
            "group": backend / BACKENDS_PER_CELL,
            "status": status,
            "weight": endpoint.weight,
            "since_ms": endpoint.started_at_ms,
        })
    }
}
