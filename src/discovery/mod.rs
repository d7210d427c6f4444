//! Discovery client, which keeps the endpoint list up to date.
//!
//! | topic | module |
//! | --- | --- |
//! | schedule of calls and handling of responses | `watch` |
//! | timeouts and backoff | `call_times` |
//! | connection and single calls | `client` |
//! | start times of backends on the clock of this process | [`start_times`] |

mod call_times;
mod client;
pub mod start_times;
mod watch;

pub use crate::wire::endpoint_list::{Endpoint, EndpointList};
pub use client::DiscoveryError;
pub use watch::{Watch, WatchSettings};
