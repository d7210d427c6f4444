//! Tests of the balancer through the public interface of the library, without a real clock or sockets.

mod admission;
mod concurrency_limit;
mod config_validation;
mod deadlines;
mod fleet;
mod fleet_growth;
mod fleet_slow_start;
mod halb;
mod invariants;
mod outlier_detection;
mod priority;
mod reconfiguration;
mod reconfiguration_invariants;
mod retry;
mod selection;
mod slow_start;
mod source_layout;
mod subscription;
mod support;
mod traffic_allocation;
mod unknown_events;
mod zone_preference;
