//! Load-balancing decisions for a proxy in front of a fleet of HTTP servers, and the code shared by the
//! programs that host the balancer.
//!
//! [`Balancer`] is a sans-IO state machine without clock, network or threads: a host passes it each [`Event`]
//! with the time at which it happened and carries out the [`Action`]s it returns. [`wire`] decodes settings
//! and endpoint lists into the types of this crate, [`discovery`] watches the endpoint list, and [`net`]
//! opens connections and computes backoffs.

mod action;
mod backend;
mod balancer;
mod config;
pub mod discovery;
mod estimators;
mod event;
pub mod net;
mod random;
mod units;
pub mod wire;

pub use action::{Action, LogEvent};
pub use backend::{Backend, BackendState, EndpointListUpdate};
pub use balancer::{halb_shares, Balancer, KindCapacity};
pub use config::{
    Class, Config, ConfigError, ConfigUpdate, DiscoveryMode, Idempotency, IdempotencyScope, Tenant,
};
pub use event::{AttemptResult, Event, Outcome, RequestArrival};
pub use units::{
    AttemptNumber, BackendId, CellId, ClassId, KindId, Micros, RequestId, TenantId, Time, TimerToken, ZoneId,
};

/// Compiles and runs the README's examples as documentation tests.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
