//! What ends the adapter: a line that is not of the protocol, or a broken stream.

use crate::messages::BATCH_START;
use std::io;

/// Why the adapter ended early.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A line, counted from 1, could not be read.
    #[error("line {number}: {source}")]
    Read { number: u64, source: io::Error },
    /// A line, counted from 1, is not of the protocol.
    #[error("line {number}: {source}")]
    Line { number: u64, source: ProtocolError },
    /// The reply to the batch that this line ended could not be written.
    #[error("reply after line {number}: {source}")]
    Reply { number: u64, source: io::Error },
}

/// What is wrong with a line.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// It is no JSON.
    #[error("expected a JSON array: {0}")]
    NotJson(serde_json::Error),
    /// It is no array.
    #[error("expected a JSON array")]
    NotArray,
    /// The array does not begin with a text.
    #[error("expected a message name first")]
    NoMessageName,
    /// The name is none of the protocol's.
    #[error("unknown message {0}")]
    UnknownMessage(String),
    /// The message has too many values or too few.
    #[error("{message}: expected {expected} values, got {got}")]
    ValueCount { message: &'static str, expected: usize, got: usize },
    /// The message comes outside a batch.
    #[error("{message}: expected {BATCH_START} first")]
    OutsideBatch { message: &'static str },
    /// A value is not what it should be.
    #[error("{message}: value {position}: expected {expected}, got {got}")]
    Value { message: &'static str, position: usize, expected: &'static str, got: String },
    /// An entry of an endpoint list is not what it should be.
    #[error("list entry {entry}: expected {expected}")]
    ListEntry { entry: String, expected: &'static str },
    /// Two addresses have one identifier; requests for one backend would go to the other.
    #[error("list entry {entry}: its address has the number of {other}")]
    AddressCollision { entry: String, other: String },
}
