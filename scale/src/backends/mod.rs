//! Simulated backends: they do no work, take their time for it and count what reaches them.

mod fleet;
mod results;
mod server;

pub use fleet::{slow_start_limit, BackendBehavior, BackendCounters, BackendFleet, BackendResponse};
pub use server::{listen, serve, BackendListeners, ListenError};
