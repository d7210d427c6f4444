//! Simulated proxies: hundreds in one process, with the real balancer and the real discovery client, but
//! without sockets to clients or backends. Arrivals are random, and attempts are served by the in-memory
//! model of the backends.

mod clock;
mod context;
mod counters;
mod endpoint_watch;
mod error;
mod fleet;
mod proxy;

pub use counters::ProxyCounters;
pub use error::SimulationError;
pub use fleet::ProxyFleet;
