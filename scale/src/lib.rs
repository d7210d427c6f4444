//! Plays the proxy, and many hollow proxies around the same decisions, at sizes that a test cannot: a plan's points
//! give one slope, and each is told with what it cost.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backends;
pub mod balancer_point;
pub mod clients;
pub mod counted_stream;
pub mod discovery;
pub mod endpoint_list;
pub mod events;
pub mod latency;
pub mod linear_fit;
pub mod local_runtime;
pub mod locking;
pub mod machine_limits;
pub mod naming;
pub mod phase;
pub mod plan;
pub mod plan_file;
pub mod plan_validation;
pub mod platform;
pub mod point_result;
pub mod process_stats;
pub mod proxy_process;
pub mod random;
pub mod real_point;
pub mod report;
pub mod simulated_point;
pub mod simulated_proxy;
pub mod site_settings;
pub mod timer_queue;
