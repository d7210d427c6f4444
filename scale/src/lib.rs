//! Scale test of the load balancer: runs fleets of proxies at sizes that are too large for the test suite,
//! and reports the cost of each size. A plan runs each of its points with processes of the real proxy, with
//! many simulated proxies in one process that use the same balancer, or with one balancer without I/O.
//!
//! The modules form layers. A module uses only modules of its own layer and of those above it in the table:
//!
//! | layer | modules |
//! | --- | --- |
//! | utilities | `random`, `latency`, `local_runtime`, `locking`, `counted_stream` |
//! | | `process_stats`, `timer_queue`, `naming` |
//! | plans | `plan`, `plan_validation`, `plan_file`, `machine_limits` |
//! | results | `point_result`, `linear_fit`, `report` |
//! | platform interface | `platform`, `settings`, `endpoint_list` |
//! | components of a fleet | `backends`, `discovery`, `clients`, `proxy_process`, `simulated_proxy` |
//! | events and phases | `events`, `phase` |
//! | points and plans | `real_point`, `simulated_point`, `balancer_point`, `runner` |

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
pub mod settings;
pub mod simulated_point;
pub mod simulated_proxy;
pub mod timer_queue;
