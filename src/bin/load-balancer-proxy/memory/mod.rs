//! Limits on the memory that the messages of clients and backends take together, derived from the memory limit of
//! the process.
//!
//! The buffers of a connection have fixed limits. What a connection may need beyond them is reserved from budgets
//! that all connections share.

mod memory_budget;

pub use memory_budget::{ConnectionLimits, MemoryBudget};
