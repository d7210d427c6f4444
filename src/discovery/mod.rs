//! Discovery: the watch on the endpoint list.
//!
//! | concern | module |
//! | --- | --- |
//! | when to call, and what becomes of an answer | `watch` |
//! | how long a call may take | `call_times` |
//! | one connection, one call | `client` |
//! | starts of backends on the clock of this process | [`start_times`] |

mod call_times;
mod client;
pub mod start_times;
mod watch;

pub use crate::wire::endpoint_list::{Endpoint, EndpointList};
pub use client::DiscoveryError;
pub use watch::{Watch, WatchSettings};
