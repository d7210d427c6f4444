//! Runs proxies at sizes that a test cannot, and reports what each size cost. A plan's points are run with
//! processes of the real proxy, with many simulated proxies around the same decisions, or with the bare
//! decisions.
//!
//! The modules form layers; each uses only its own layer and those above it:
//!
//! | layer | modules |
//! | --- | --- |
//! | tools | `random`, `latency`, `local_runtime`, `locking`, `counted_stream` |
//! | | `process_stats`, `timer_queue`, `naming` |
//! | plans | `plan`, `plan_validation`, `plan_file`, `machine_limits` |
//! | results | `point_result`, `linear_fit`, `report` |
//! | the platform | `platform`, `site_settings`, `endpoint_list` |
//! | parts of a fleet | `backends`, `discovery`, `clients`, `proxy_process`, `simulated_proxy` |
//! | what happens to it | `events`, `phase` |
//! | points, and plans of them | `real_point`, `simulated_point`, `balancer_point`, `runner` |

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
pub mod runner;
pub mod simulated_point;
pub mod simulated_proxy;
pub mod site_settings;
pub mod timer_queue;
