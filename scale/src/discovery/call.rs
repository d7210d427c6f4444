//! Parses discovery calls from their path and query.

use std::time::Duration;

/// Path of the endpoint list, with and without a watch.
const ENDPOINT_LIST_PATH: &str = "/api/targets";
/// Maximum wait of a watch; longer ones are shortened to it.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A discovery call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    /// Requests the complete list.
    List,
    /// Requests the changes after a version, and waits for the next one if there are none.
    Watch {
        /// Version of the caller's list.
        after: u64,
        /// Longest wait for a change.
        wait: Duration,
    },
}

impl Call {
    /// Returns `None` if the path is unknown or a parameter is not a number.
    pub fn parse(path: &str, query: &str) -> Option<Call> {
        if path != ENDPOINT_LIST_PATH {
            return None;
        }
        let Some(after) = parameter(query, "after") else { return Some(Call::List) };
        let wait_ms = parameter(query, "wait_ms").map_or(Some(0), |text| text.parse().ok())?;
        Some(Call::Watch { after: after.parse().ok()?, wait: Duration::from_millis(wait_ms).min(MAX_WAIT) })
    }
}

/// Returns the value of a query parameter.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut parameters = query.split('&').filter_map(|parameter| parameter.split_once('='));
    parameters.find(|(key, _)| *key == name).map(|(_, value)| value)
}
