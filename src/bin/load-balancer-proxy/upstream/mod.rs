//! The upstream side of the proxy: connections to backends, and attempts, each of which ends with one
//! outcome.
//!
//! | concern | module |
//! | --- | --- |
//! | requests as sent to backends | `request` |
//! | one attempt, from acquiring a connection to the outcome | `attempt` |
//! | one exchange, and the classification of its response | `response` |
//! | one connection and its socket | `connection`, `socket` |
//! | connection pool and idle connections | `connection_pool`, `backend` |
//! | limit on open sockets | `socket_budget` |

mod attempt;
mod backend;
mod connection;
mod connection_pool;
mod request;
mod response;
mod socket;
mod socket_budget;

pub use attempt::{AttemptLimits, UpstreamResult};
pub use backend::Upstream;
pub use connection_pool::{ConnectionPool, ConnectionPoolSettings};
pub use request::UpstreamRequest;
