//! The backends of the endpoint list, each with its connections.

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
    /// A backend that has not been removed.
    pub fn get(&self, id: BackendId) -> Option<&Rc<Upstream>> {
        self.upstreams.get(&id)
    }

    /// All backends, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Upstream>> {
        self.upstreams.values()
    }

    /// Whether some backend may be sent requests.
    pub fn has_ready(&self) -> bool {
        self.iter().any(|upstream| upstream.is_ready())
    }

    /// Applies an endpoint list and returns its entries for the balancer.
    pub fn apply(&mut self, update: EndpointListUpdate, endpoints: Vec<Endpoint>) -> Vec<Backend> {
        let mut unnamed =
            if update.is_complete() { std::mem::take(&mut self.upstreams) } else { HashMap::new() };
        let mut entries = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            let id = endpoint.backend.id;
            let known = unnamed.remove(&id).or_else(|| self.upstreams.remove(&id));
            entries.push(endpoint.backend.clone());
            self.apply_entry(known, endpoint);
        }
        for upstream in unnamed.values() {
            upstream.drain();
        }
        entries
    }

    /// The table as a list of entries, without the backends that were removed.
    pub fn entries(&self) -> Vec<Backend> {
        self.iter().map(|upstream| current_entry(upstream)).collect()
    }

    fn apply_entry(&mut self, known: Option<Rc<Upstream>>, endpoint: Endpoint) {
        let id = endpoint.backend.id;
        let state = endpoint.backend.state;
        let upstream = upstream_for(known, endpoint);
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

/// The known upstream, unless the entry names another process: a restarted process shares no connection with
/// the one before it.
fn upstream_for(known: Option<Rc<Upstream>>, endpoint: Endpoint) -> Rc<Upstream> {
    match known {
        Some(upstream) if is_same_process(&upstream.endpoint, &endpoint) => upstream,
        Some(upstream) => {
            upstream.drain();
            Rc::new(Upstream::new(endpoint))
        }
        None => Rc::new(Upstream::new(endpoint)),
    }
}

/// A process at another address shares no connection either, though to the balancer it is the same backend.
fn is_same_process(known: &Endpoint, endpoint: &Endpoint) -> bool {
    known.address == endpoint.address && known.backend.started_at == endpoint.backend.started_at
}

fn current_entry(upstream: &Upstream) -> Backend {
    let state = if upstream.is_ready() { BackendState::Ready } else { BackendState::Draining };
    Backend { state, ..upstream.endpoint.backend.clone() }
}
