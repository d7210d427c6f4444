//! The endpoint list as discovery sends it and as a deployment keeps it for the next start.

use super::error::WireError;
use super::names::identifier;
use super::object::{Expected, FromValue, Object};
use crate::backend::{Backend, BackendState};
use crate::units::{BackendId, CellId, KindId, Time, ZoneId};
use serde_json::Value;
use std::net::SocketAddr;

const MICROS_PER_MILLISECOND: u64 = 1000;

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its entry for the balancer.
    pub backend: Backend,
    /// Where this proxy reaches it.
    pub address: SocketAddr,
}

/// An endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// Grows with each change.
    pub version: u64,
    /// Every entry stands here, not only those that changed.
    pub is_snapshot: bool,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
}

impl EndpointList {
    /// Reads a document. One bad entry refuses the whole list: half of it would drop backends.
    pub fn from_value(document: &Value) -> Result<EndpointList, WireError> {
        EndpointList::decode(&Object::root(document))
    }

    /// Reads an object of a document.
    pub(super) fn decode(list: &Object) -> Result<EndpointList, WireError> {
        let mut endpoints = Vec::new();
        for entry in list.objects("endpoints")? {
            endpoints.push(decode_endpoint(&entry)?);
        }
        let Version(version) = list.required("index")?;
        Ok(EndpointList { version, is_snapshot: list.required("snapshot")?, endpoints })
    }
}

fn decode_endpoint(entry: &Object) -> Result<Endpoint, WireError> {
    let state = entry.parsed("status", "ready, draining or gone", backend_state)?;
    let started_at = entry.optional("since_ms")?.and_then(start_time);
    let id = BackendId(identifier(entry.required("name")?));
    let zone = ZoneId(identifier(entry.required("zone")?));
    let GroupNumber(cell) = entry.required("group")?;
    let kind = KindId(identifier(entry.required("type")?));
    let Weight(weight) = entry.required("weight")?;
    let address = entry.parsed("address", "an address", |text| text.parse().ok())?;
    let backend = Backend { id, zone, cell: CellId(cell), kind, state, started_at, weight };
    Ok(Endpoint { backend, address })
}

fn backend_state(status: &str) -> Option<BackendState> {
    match status {
        "ready" => Some(BackendState::Ready),
        "draining" => Some(BackendState::Draining),
        "gone" => Some(BackendState::Removed),
        _ => None,
    }
}

/// 0 stands for a start long ago.
fn start_time(Milliseconds(start): Milliseconds) -> Option<Time> {
    (start > 0).then(|| Time(start.saturating_mul(MICROS_PER_MILLISECOND)))
}

struct Version(u64);

impl FromValue<'_> for Version {
    const EXPECTED: &'static str = "a version";

    fn from_value(value: &Value) -> Result<Self, Expected> {
        value.as_u64().map(Version).ok_or(Expected(Self::EXPECTED))
    }
}

struct GroupNumber(u64);

impl FromValue<'_> for GroupNumber {
    const EXPECTED: &'static str = "a group number";

    fn from_value(value: &Value) -> Result<Self, Expected> {
        value.as_u64().map(GroupNumber).ok_or(Expected(Self::EXPECTED))
    }
}

struct Milliseconds(u64);

impl FromValue<'_> for Milliseconds {
    const EXPECTED: &'static str = "whole milliseconds";

    fn from_value(value: &Value) -> Result<Self, Expected> {
        value.as_u64().map(Milliseconds).ok_or(Expected(Self::EXPECTED))
    }
}

struct Weight(f64);

impl FromValue<'_> for Weight {
    const EXPECTED: &'static str = "a number";

    fn from_value(value: &Value) -> Result<Self, Expected> {
        let weight = f64::from_value(value)?;
        if weight >= 0.0 {
            Ok(Weight(weight))
        } else {
            Err(Expected("a weight of 0 or more"))
        }
    }
}
