//! Shared test support: a host that checks the actions of one balancer, and builders.

mod builders;
mod host;
mod rules;
mod tracked_request;

pub use builders::{backend, backends, class, config_of, host};
pub use host::{serve, Host};
pub use tracked_request::{AttemptId, RequestOutcome, TrackedRequest};
