//! Limits on the memory that the messages of clients and backends take together, derived from the memory
//! limit of the process.
//!
//! The buffers of a connection have fixed limits. Bodies, and what is read ahead, are reserved from budgets
//! that all connections share.

mod body_budget;
mod connection_limits;
mod memory_budget;

pub use body_budget::{BodyBudget, BodyReservation};
pub use connection_limits::ConnectionLimits;
pub use memory_budget::MemoryBudget;
