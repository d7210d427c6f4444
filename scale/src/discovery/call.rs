//! What a call asks for, read from its path and query.

use std::time::Duration;

/// The path of the list and of watches on it.
const ENDPOINT_LIST_PATH: &str = "/api/targets";
/// The longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    /// For the whole list.
    List,
    /// For what changed after a version.
    Watch {
        /// The version that the caller holds.
        after: u64,
        /// How long it waits for a change.
        wait: Duration,
    },
}

impl Call {
    /// `None` for a call that the service does not know.
    pub fn parse(path: &str, query: &str) -> Option<Call> {
        if path != ENDPOINT_LIST_PATH {
            return None;
        }
        let Some(after) = parameter(query, "after") else { return Some(Call::List) };
        let wait_ms = parameter(query, "wait_ms").map_or(Some(0), |text| text.parse().ok())?;
        Some(Call::Watch { after: after.parse().ok()?, wait: Duration::from_millis(wait_ms).min(MAX_WAIT) })
    }
}

/// The value of a parameter of the query.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut parameters = query.split('&').filter_map(|parameter| parameter.split_once('='));
    parameters.find(|(key, _)| *key == name).map(|(_, value)| value)
}
