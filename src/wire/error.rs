//! What is wrong with a document, named by the path of the key at fault.

use serde_json::Value;

/// The most of a wrong value that a message repeats, in bytes.
const MAX_SHOWN_BYTES: usize = 200;

/// Why a document was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {fault}")]
pub struct WireError {
    /// The key at fault, such as `profiles[2].window_us`.
    pub path: String,
    /// What is wrong there.
    pub fault: WireFault,
}

/// What is wrong with the value of one key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireFault {
    /// The key is not there.
    #[error("missing, expected {expected}")]
    Missing {
        /// What should have been there.
        expected: &'static str,
    },
    /// Something else is there.
    #[error("expected {expected}, got {got}")]
    Unexpected {
        /// What should have been there.
        expected: &'static str,
        /// What was there, cut short where it is long.
        got: String,
    },
    /// The value does not go with the rest of the document.
    #[error("expected {expected}")]
    OutOfRange {
        /// What would go with it.
        expected: &'static str,
    },
    /// Two classes have the same name.
    #[error("the name stands twice")]
    RepeatedName,
}

impl WireFault {
    /// The fault of a key whose value, if any, is not what was expected.
    pub fn new(value: Option<&Value>, expected: &'static str) -> WireFault {
        match value {
            Some(value) => WireFault::Unexpected { expected, got: shown(value) },
            None => WireFault::Missing { expected },
        }
    }
}

/// A value as a message shows it: whole where it is short.
fn shown(value: &Value) -> String {
    let mut text = value.to_string();
    if text.len() > MAX_SHOWN_BYTES {
        let end = (0..=MAX_SHOWN_BYTES).rev().find(|&at| text.is_char_boundary(at)).unwrap_or(0);
        text.truncate(end);
        text.push_str("...");
    }
    text
}
