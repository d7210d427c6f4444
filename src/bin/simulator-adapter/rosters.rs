//! The endpoint lists that messages refer to by number, and the addresses of their backends.

use crate::error::ProtocolError;
use crate::messages::Message;
use load_balancer::wire::names::identifier;
use load_balancer::{Backend, BackendId, BackendState, CellId, KindId, Time, ZoneId};
use serde_json::Value;
use std::collections::HashMap;

const MAX_ROSTER_NUMBER: u64 = 15;

/// Every list that was sent, by its number.
#[derive(Default)]
pub struct Rosters {
    lists: HashMap<u64, Vec<Backend>>,
    /// Every address that a list has named.
    addresses: HashMap<BackendId, String>,
}

impl Rosters {
    /// Takes the entries of a list; they replace those with its number.
    pub fn replace(&mut self, message: &Message) -> Result<(), ProtocolError> {
        let [number, entries] = message.fields();
        let expected = "a roster number from 0 to 15";
        let roster = number.whole_number(expected)?;
        if roster > MAX_ROSTER_NUMBER {
            return Err(number.unexpected(expected));
        }
        let entries = entries.array("an array of entries")?;
        let mut backends = Vec::with_capacity(entries.len());
        for value in entries {
            let ListEntry { address, backend } = ListEntry::parse(value)?;
            let known = self.addresses.entry(backend.id).or_insert_with(|| address.into());
            if known != address {
                let other = known.clone();
                return Err(ProtocolError::AddressCollision { entry: value.to_string(), other });
            }
            backends.push(backend);
        }
        self.lists.insert(roster, backends);
        Ok(())
    }

    /// The list with that number.
    pub fn list(&self, number: u64) -> Option<&[Backend]> {
        self.lists.get(&number).map(Vec::as_slice)
    }

    /// The address of a backend; nothing where no list has named it.
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
            |expected: &'static str| ProtocolError::ListEntry { entry: entry.to_string(), expected };
        let text = |value: &'a Value, expected| value.as_str().ok_or_else(|| unexpected(expected));
        let Some([zone, cell, kind, address, state, weight, started_at]) =
            entry.as_array().map(Vec::as_slice)
        else {
            return Err(unexpected("an array of 7 values"));
        };
        let address = text(address, "an address")?;
        if !is_plain(address) {
            return Err(unexpected("a plain address"));
        }
        let state_expected = "IN, LAME or OUT";
        let state = backend_state(text(state, state_expected)?).ok_or_else(|| unexpected(state_expected))?;
        let started_at = match started_at {
            Value::Null => None,
            value => Some(value.as_u64().ok_or_else(|| unexpected("a start time or null"))?),
        };
        let backend = Backend {
            id: BackendId(identifier(address)),
            zone: ZoneId(identifier(text(zone, "a zone")?)),
            cell: CellId(cell.as_u64().ok_or_else(|| unexpected("a cell number"))?),
            kind: KindId(identifier(text(kind, "a kind")?)),
            state,
            started_at: started_at.filter(|time| *time > 0).map(Time),
            weight: non_negative(weight).ok_or_else(|| unexpected("a weight of 0 or more"))?,
        };
        Ok(ListEntry { address, backend })
    }
}

/// Whether an address can stand in a reply as it is: JSON escapes none of its characters.
fn is_plain(address: &str) -> bool {
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
