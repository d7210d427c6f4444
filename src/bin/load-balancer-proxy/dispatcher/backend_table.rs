//! The backends of the current endpoint list, each with its connections.

use crate::upstream::Upstream;
use load_balancer::wire::endpoint_list::Endpoint;
use load_balancer::{Backend, BackendId, BackendState, EndpointListUpdate};
use std::collections::HashMap;
use std::rc::Rc;

/// The backends that have not been removed.
#[derive(Default)]
pub(super) struct BackendTable {
    upstreams: HashMap<BackendId, Rc<Upstream>>,
}

impl BackendTable {
    /// Returns a backend, or `None` if it was never listed or has been removed.
    pub fn get(&self, id: BackendId) -> Option<&Rc<Upstream>> {
        self.upstreams.get(&id)
    }

    /// Iterates over all backends, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Upstream>> {
        self.upstreams.values()
    }

    /// Returns whether at least one backend accepts new requests.
    pub fn has_ready(&self) -> bool {
        self.iter().any(|upstream| upstream.is_ready())
    }

    /// Applies an endpoint list update and returns its entries for the balancer.
    pub fn apply(&mut self, update: EndpointListUpdate, endpoints: Vec<Endpoint>) -> Vec<Backend> {
        let mut unlisted =
            if update.is_complete() { std::mem::take(&mut self.upstreams) } else { HashMap::new() };
        let mut entries = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            let id = endpoint.backend.id;
            let existing = unlisted.remove(&id).or_else(|| self.upstreams.remove(&id));
            entries.push(endpoint.backend.clone());
            self.apply_entry(existing, endpoint);
        }
        for upstream in unlisted.values() {
            upstream.drain();
        }
        entries
    }

    /// Returns the endpoint list entries of all backends, with their current states, in arbitrary order.
    pub fn entries(&self) -> Vec<Backend> {
        self.iter().map(|upstream| current_entry(upstream)).collect()
    }

    fn apply_entry(&mut self, existing: Option<Rc<Upstream>>, endpoint: Endpoint) {
        let id = endpoint.backend.id;
        let state = endpoint.backend.state;
        let upstream = upstream_for(existing, endpoint);
        if state == BackendState::Ready {
            upstream.mark_ready();
        } else {
            upstream.drain();
        }
        if state != BackendState::Removed {
            self.upstreams.insert(id, upstream);
        }
    }
}

/// Returns the existing upstream if the entry describes the same process. Otherwise drains the existing one
/// and creates a new one, because a restarted process does not share connections with its predecessor.
fn upstream_for(existing: Option<Rc<Upstream>>, endpoint: Endpoint) -> Rc<Upstream> {
    match existing {
        Some(upstream) if is_same_process(&upstream.endpoint, &endpoint) => upstream,
        Some(upstream) => {
            upstream.drain();
            Rc::new(Upstream::new(endpoint))
        }
        None => Rc::new(Upstream::new(endpoint)),
    }
}

/// Returns whether both entries describe the same process. A new address means a new process for connections,
/// although the balancer treats it as the same backend.
fn is_same_process(existing: &Endpoint, endpoint: &Endpoint) -> bool {
    existing.address == endpoint.address && existing.backend.started_at == endpoint.backend.started_at
}

fn current_entry(upstream: &Upstream) -> Backend {
    let state = if upstream.is_ready() { BackendState::Ready } else { BackendState::Draining };
    Backend { state, ..upstream.endpoint.backend.clone() }
}
