//! Errors of invalid documents, which name the path of the invalid key.

use serde_json::Value;

/// Longest part of an invalid value that an error message contains, in bytes.
const MAX_VALUE_BYTES: usize = 200;

/// Why a document was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {fault}")]
pub struct WireError {
    /// Path of the invalid key, such as `profiles[2].window_us`.
    pub path: String,
    /// What is wrong with its value.
    pub fault: WireFault,
}

/// What is wrong with the value of one key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireFault {
    /// The key is missing.
    #[error("missing, expected {expected}")]
    Missing {
        /// Type or range of a valid value.
        expected: &'static str,
    },
    /// The value has the wrong type or is out of range.
    #[error("expected {expected}, got {got}")]
    Unexpected {
        /// Type or range of a valid value.
        expected: &'static str,
        /// The value found, truncated if long.
        got: String,
    },
    /// The value is out of range, or conflicts with another value. The value found is not reported.
    #[error("expected {expected}")]
    OutOfRange {
        /// Range of a valid value.
        expected: &'static str,
    },
    /// Two classes have the same name.
    #[error("the name stands twice")]
    DuplicateName,
}

impl WireFault {
    /// Returns the fault for a key whose value is not `expected`; `None` means that the key is missing.
    pub fn new(value: Option<&Value>, expected: &'static str) -> WireFault {
        match value {
            Some(value) => WireFault::Unexpected { expected, got: truncated(value) },
            None => WireFault::Missing { expected },
        }
    }
}

/// Formats a value as JSON, truncated to [`MAX_VALUE_BYTES`] at a character boundary.
fn truncated(value: &Value) -> String {
    let mut text = value.to_string();
    if text.len() > MAX_VALUE_BYTES {
        let end = (0..=MAX_VALUE_BYTES).rev().find(|&at| text.is_char_boundary(at)).unwrap_or(0);
        text.truncate(end);
        text.push_str("...");
    }
    text
}
