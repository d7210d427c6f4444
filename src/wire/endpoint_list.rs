//! Decodes the endpoint list, as sent by discovery and as stored in the proxy's configuration file.

use super::error::WireError;
use super::names::identifier;
use super::object::{Expected, FromValue, Object};
use crate::backend::{Backend, BackendState};
use crate::units::{BackendId, CellId, KindId, Time, ZoneId};
use serde_json::Value;
use std::net::SocketAddr;

const MICROS_PER_MILLISECOND: u64 = 1000;

/// An entry of the endpoint list: a backend and its address.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The backend, as passed to the balancer.
    pub backend: Backend,
    /// Address at which the proxy connects to the backend.
    pub address: SocketAddr,
}

/// An endpoint list: a snapshot or a delta.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// Version of the list, which grows with each change until discovery restarts.
    pub version: u64,
    /// Whether the entries are the whole list rather than only those that changed.
    pub is_snapshot: bool,
    /// Entries of the list; an empty delta reports no change.
    pub endpoints: Vec<Endpoint>,
}

impl EndpointList {
    /// Decodes a document. One invalid entry rejects the whole list, because a partial list would drop
    /// backends.
    pub fn from_value(document: &Value) -> Result<EndpointList, WireError> {
        EndpointList::decode(&Object::root(document))
    }

    /// Decodes an object within a document.
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
    let state = entry.parse_string("status", "ready, draining or gone", backend_state)?;
    let started_at = entry.optional("since_ms")?.and_then(start_time);
    let id = BackendId(identifier(entry.required("name")?));
    let zone = ZoneId(identifier(entry.required("zone")?));
    let GroupNumber(cell) = entry.required("group")?;
    let kind = KindId(identifier(entry.required("type")?));
    let Weight(weight) = entry.required("weight")?;
    let address = entry.parse_string("address", "an IP address and a port", |text| text.parse().ok())?;
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

/// Converts a listed start time; `None` for 0, which means that the backend started long ago.
fn start_time(Milliseconds(start): Milliseconds) -> Option<Time> {
    (start > 0).then(|| Time(start.saturating_mul(MICROS_PER_MILLISECOND)))
}

struct Version(u64);

impl FromValue<'_> for Version {
    const EXPECTED: &'static str = "a version number";

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
