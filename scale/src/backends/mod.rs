//! Simulated backends: they do no work, take their time for it and count what reaches them.

mod fleet;
mod results;
mod server;

pub use fleet::{warming_limit, BackendBehavior, BackendCounters, BackendFleet, Reception};
pub use server::{listen, serve, BackendListeners, ListenError};
