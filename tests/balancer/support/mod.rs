//! What the tests share: a host for one balancer, and builders.

mod builders;
mod host;

pub use builders::{backend, class, config, fleet, host};
pub use host::{serve, Host, Open};
