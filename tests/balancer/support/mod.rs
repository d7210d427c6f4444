//! What the tests share: a host for one balancer with the rules that it checks, and builders.

mod builders;
mod host;
mod rules;
mod tracked_request;

pub use builders::{backend, backends, class, config_of, host};
pub use host::{serve, Host};
pub use tracked_request::{Answer, AttemptId, TrackedRequest};
