//! Simulated proxies: the real decisions and the real watch on discovery, hundreds in one process, without
//! sockets to clients or backends. Arrivals are drawn at random, and attempts go to the backends' model in
//! memory.

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
