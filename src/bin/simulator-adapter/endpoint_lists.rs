//! Endpoint lists, which messages refer to by number, and the addresses of their backends.

use crate::error::ProtocolError;
use crate::messages::Message;
use load_balancer::wire::names::identifier;
use load_balancer::{Backend, BackendId, BackendState, CellId, KindId, Time, ZoneId};
use serde_json::Value;
use std::collections::HashMap;

const MAX_LIST_NUMBER: u64 = 15;

/// The endpoint lists received so far, by number.
#[derive(Default)]
pub struct EndpointLists {
    lists: HashMap<u64, Vec<Backend>>,
    /// Addresses of all backends of all lists, including replaced ones.
    addresses: HashMap<BackendId, String>,
}

impl EndpointLists {
    /// Stores a list under its number, in place of an earlier list with that number.
    pub fn replace(&mut self, message: &Message) -> Result<(), ProtocolError> {
        let [number, entries] = message.fields();
        let expected = "an endpoint list number from 0 to 15";
        let list_number = number.unsigned_integer(expected)?;
        if list_number > MAX_LIST_NUMBER {
            return Err(number.unexpected(expected));
        }
        let entries = entries.array("an array of entries")?;
        let mut backends = Vec::with_capacity(entries.len());
        for value in entries {
            let ListEntry { address, backend } = ListEntry::parse(value)?;
            let known_address = self.addresses.entry(backend.id).or_insert_with(|| address.into());
            if known_address != address {
                let other = known_address.clone();
                return Err(ProtocolError::AddressCollision { entry: value.to_string(), other });
            }
            backends.push(backend);
        }
        self.lists.insert(list_number, backends);
        Ok(())
    }

    /// Returns the list with this number, or `None` if none was received.
    pub fn list(&self, number: u64) -> Option<&[Backend]> {
        self.lists.get(&number).map(Vec::as_slice)
    }

    /// Returns the address of a backend, or an empty string if no list has contained it.
    pub fn address(&self, backend: BackendId) -> &str {
        self.addresses.get(&backend).map_or("", String::as_str)
    }
}

struct ListEntry<'a> {
    address: &'a str,
    backend: Backend,
}

impl<'a> ListEntry<'a> {
    fn parse(entry: &'a Value) -> Result<ListEntry<'a>, ProtocolError> {
        let unexpected =
            |expected: &'static str| ProtocolError::InvalidListEntry { entry: entry.to_string(), expected };
        let text = |value: &'a Value, expected| value.as_str().ok_or_else(|| unexpected(expected));
        let Some([zone, cell, kind, address, state, weight, started_at]) =
            entry.as_array().map(Vec::as_slice)
        else {
            return Err(unexpected("an array of 7 values"));
        };
        let address = text(address, "an address")?;
        if !is_json_safe(address) {
            return Err(unexpected("a non-empty ASCII address without spaces, quotes or backslashes"));
        }
        let state_expected = "IN, LAME or OUT";
        let state = backend_state(text(state, state_expected)?).ok_or_else(|| unexpected(state_expected))?;
        let started_at = match started_at {
            Value::Null => None,
            value => Some(value.as_u64().ok_or_else(|| unexpected("a start time in microseconds or null"))?),
        };
        let backend = Backend {
            id: BackendId(identifier(address)),
            zone: ZoneId(identifier(text(zone, "a zone name")?)),
            cell: CellId(cell.as_u64().ok_or_else(|| unexpected("a cell number"))?),
            kind: KindId(identifier(text(kind, "a kind name")?)),
            state,
            started_at: started_at.filter(|time| *time > 0).map(Time),
            weight: non_negative(weight).ok_or_else(|| unexpected("a weight of 0 or more"))?,
        };
        Ok(ListEntry { address, backend })
    }
}

/// Whether an address can be written into a JSON string without escaping.
fn is_json_safe(address: &str) -> bool {
    !address.is_empty() && address.bytes().all(|b| b.is_ascii_graphic() && b != b'"' && b != b'\\')
}

fn backend_state(name: &str) -> Option<BackendState> {
    match name {
        "IN" => Some(BackendState::Ready),
        "LAME" => Some(BackendState::Draining),
        "OUT" => Some(BackendState::Removed),
        _ => None,
    }
}

fn non_negative(weight: &Value) -> Option<f64> {
    weight.as_f64().filter(|weight| *weight >= 0.0)
}
