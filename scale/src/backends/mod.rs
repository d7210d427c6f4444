//! Simulated backends: they wait for the service time instead of doing work, and count requests.

mod fleet;
mod results;
mod server;

pub use fleet::{slow_start_limit, BackendBehavior, BackendCounters, BackendFleet, BackendResponse};
pub use server::{listen, serve, BackendListeners, ListenError};
