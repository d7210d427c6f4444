//! Errors that end the adapter: an invalid input line, or a failed read or write.

use crate::messages::BATCH_START;
use std::io;

/// An error that ends the adapter.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input could not be read; `number` is the line, counted from 1.
    #[error("line {number}: {source}")]
    ReadLine { number: u64, source: io::Error },
    /// A line violates the protocol; `number` is the line, counted from 1.
    #[error("line {number}: {source}")]
    InvalidLine { number: u64, source: ProtocolError },
    /// The reply to the batch that ends at line `number` could not be written.
    #[error("reply after line {number}: {source}")]
    WriteReply { number: u64, source: io::Error },
}

/// Why a line violates the protocol.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// The line is not valid JSON.
    #[error("expected a JSON array: {0}")]
    NotJson(serde_json::Error),
    /// The line is valid JSON, but not an array.
    #[error("expected a JSON array")]
    NotArray,
    /// The first element of the array is not a string.
    #[error("expected a message name as the first element")]
    NoMessageName,
    /// The protocol has no message of this name.
    #[error("unknown message {0}")]
    UnknownMessage(String),
    /// The message has too many or too few values.
    #[error("{message}: expected {expected} values, got {got}")]
    ValueCount { message: &'static str, expected: usize, got: usize },
    /// The message is only allowed within a batch.
    #[error("{message} outside a batch: expected {BATCH_START} first")]
    OutsideBatch { message: &'static str },
    /// A value has the wrong type or is out of range; `position` counts from 0, without the message name.
    #[error("{message}: value {position}: expected {expected}, got {got}")]
    InvalidValue { message: &'static str, position: usize, expected: &'static str, got: String },
    /// An entry of an endpoint list is malformed.
    #[error("list entry {entry}: expected {expected}")]
    InvalidListEntry { entry: String, expected: &'static str },
    /// Two addresses hash to the same identifier, so requests for one backend would go to the other.
    #[error("list entry {entry}: its address hashes to the same identifier as {other}")]
    AddressCollision { entry: String, other: String },
}
