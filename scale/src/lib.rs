//! Plays the proxy, and many hollow proxies around the same decisions, at sizes that a test cannot: a plan's points
//! give one slope, and each is told with what it cost.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bounds;
pub mod plan;
