//! The upstream side of the proxy: connections to backends, and attempts that each come to one outcome.
//!
//! | concern | module |
//! | --- | --- |
//! | what a backend is sent | `request` |
//! | one attempt, from a connection to its outcome | `attempt` |
//! | one exchange, and how its response is judged | `response` |
//! | one connection and its socket | `connection`, `socket` |
//! | connections that are kept for reuse | `connection_pool`, `backend` |
//! | how many sockets there may be | `socket_budget` |

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
pub use connection_pool::ConnectionPool;
pub use request::UpstreamRequest;
