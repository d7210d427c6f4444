//! Checks before a run that the machine has enough resources for a plan.

use crate::plan::{Plan, PlanError, PlanKind, Point};
use std::io;

/// Maximum number of processes at the same time, including this one.
const MAX_PROCESSES: u32 = 200;
/// Fraction of the machine's memory that a plan may use.
const MEMORY_FRACTION: f64 = 0.5;
/// Estimated base memory of a proxy, real or simulated, in bytes.
const BYTES_PER_PROXY: f64 = 8e6;
/// Estimated memory per endpoint list entry in each proxy, in bytes.
const BYTES_PER_ENTRY: f64 = 1_500.0;
/// Estimated memory per class and per tenant in each proxy, in bytes.
const BYTES_PER_CLASS_OR_TENANT: f64 = 1_200.0;
/// Estimated memory per listening backend, in bytes.
const BYTES_PER_BACKEND: f64 = 4_000.0;
/// Estimated memory per end of a connection, in bytes.
const BYTES_PER_CONNECTION_END: f64 = 40_000.0;
/// Estimated time to start and end a point, in addition to its phases, in seconds.
const POINT_OVERHEAD_S: f64 = 6.0;
/// Estimated time of one seed of a point with the balancer alone, in seconds.
const SECONDS_PER_SEED: f64 = 1.0;
/// Additional time of one seed per backend, class and tenant, in seconds.
const SECONDS_PER_SEED_ITEM: f64 = 2e-4;
/// File descriptors for standard streams, the discovery listener and the runtimes.
const RESERVED_DESCRIPTORS: u64 = 128;
/// File descriptors for the discovery calls of each proxy.
const DESCRIPTORS_PER_PROXY: u64 = 4;

/// Resources that are available to a plan.
#[derive(Clone, Copy, Debug)]
pub struct MachineResources {
    /// Total memory of the machine, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of open file descriptors of this process; `u64::MAX` if unlimited or unknown.
    pub file_descriptors: u64,
}

/// Error while reading the machine's resources.
#[derive(Debug, thiserror::Error)]
pub enum MachineError {
    /// A file in /proc could not be read.
    #[error("cannot read {file}: {source}")]
    Unreadable {
        /// Path of the file.
        file: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file in /proc does not contain the expected number.
    #[error("{file}: expected a number after {label:?}")]
    NoNumber {
        /// Path of the file.
        file: &'static str,
        /// Label at the start of the line that contains the number.
        label: &'static str,
    },
}

impl MachineResources {
    /// Reads the memory size and the limit of file descriptors from /proc.
    pub fn read() -> Result<MachineResources, MachineError> {
        let memory_kib = number_after("/proc/meminfo", "MemTotal:")?;
        // An unlimited value is the word "unlimited", not a number.
        let file_descriptors = number_after("/proc/self/limits", "Max open files").unwrap_or(u64::MAX);
        Ok(MachineResources { memory_bytes: memory_kib * 1024, file_descriptors })
    }
}

/// Returns the number after a label at the start of a line.
fn number_after(file: &'static str, label: &'static str) -> Result<u64, MachineError> {
    let text = std::fs::read_to_string(file).map_err(|source| MachineError::Unreadable { file, source })?;
    let rest = text.lines().find_map(|line| line.strip_prefix(label));
    let number = rest.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    number.ok_or(MachineError::NoNumber { file, label })
}

/// Checks that the points fit into the plan's `longest_s`, and that each point fits into the machine's
/// memory, file descriptors and process limit.
pub fn check(plan: &Plan, machine: MachineResources) -> Result<(), PlanError> {
    let seconds: f64 = plan.points.iter().map(|point| max_duration_s(plan.kind, point)).sum();
    if seconds > plan.longest_s {
        let expected =
            format!("expected at least {seconds:.0}, the total of the longest durations of the points");
        return Err(PlanError::new("longest_s", expected));
    }
    for (number, point) in plan.points.iter().enumerate() {
        check_point(plan.kind, number, point, machine)?;
    }
    Ok(())
}

/// Returns the longest time that a point may take, in seconds.
pub fn max_duration_s(kind: PlanKind, point: &Point) -> f64 {
    match kind {
        PlanKind::Balancer => {
            let items = f64::from(point.backends) + f64::from(point.classes) + f64::from(point.tenants);
            f64::from(point.seeds) * (SECONDS_PER_SEED + SECONDS_PER_SEED_ITEM * items)
        }
        PlanKind::Real | PlanKind::Simulated => {
            let deadline_s = point.deadline_ms as f64 / 1e3;
            point.ready_s + point.rest_s + point.change_s + point.load_s + 2.0 * deadline_s + POINT_OVERHEAD_S
        }
    }
}

fn check_point(
    kind: PlanKind, number: usize, point: &Point, machine: MachineResources,
) -> Result<(), PlanError> {
    let path = |key: &str| format!("points[{number}].{key}");
    if kind == PlanKind::Real && point.proxies >= MAX_PROCESSES {
        let expected = format!("expected fewer than {MAX_PROCESSES} processes");
        return Err(PlanError::new(path("proxies"), expected));
    }
    let needed_memory = memory_needed(kind, point);
    let allowed_memory = machine.memory_bytes as f64 * MEMORY_FRACTION;
    if needed_memory > allowed_memory {
        let expected = format!(
            "expected at most {:.0} MB of memory, estimated {:.0} MB",
            allowed_memory / 1e6,
            needed_memory / 1e6
        );
        return Err(PlanError::new(path("proxies"), expected));
    }
    let needed_descriptors = descriptors_needed(kind, point);
    if needed_descriptors > machine.file_descriptors {
        let expected = format!(
            "expected at most {} file descriptors, estimated {needed_descriptors}",
            machine.file_descriptors
        );
        return Err(PlanError::new(path("backends"), expected));
    }
    Ok(())
}

/// Returns the estimated memory of all processes, in bytes.
fn memory_needed(kind: PlanKind, point: &Point) -> f64 {
    let classes_and_tenants = f64::from(point.classes) + f64::from(point.tenants);
    let proxy = BYTES_PER_PROXY
        + f64::from(point.backends) * BYTES_PER_ENTRY
        + classes_and_tenants * BYTES_PER_CLASS_OR_TENANT;
    let connections = match kind {
        PlanKind::Real => {
            f64::from(point.proxies) * f64::from(point.connections) * 2.0 * BYTES_PER_CONNECTION_END
        }
        PlanKind::Simulated | PlanKind::Balancer => 0.0,
    };
    f64::from(point.proxies) * proxy + f64::from(point.backends) * BYTES_PER_BACKEND + connections
}

/// Returns the number of file descriptors that this process needs.
fn descriptors_needed(kind: PlanKind, point: &Point) -> u64 {
    let proxies = u64::from(point.proxies);
    match kind {
        // One listener per backend, the clients' connections, and those that the backends accept from the
        // proxies.
        PlanKind::Real => {
            let per_proxy = DESCRIPTORS_PER_PROXY + 2 * u64::from(point.connections);
            RESERVED_DESCRIPTORS + u64::from(point.backends) + proxies * per_proxy
        }
        // Both ends of a discovery call are in this process.
        PlanKind::Simulated => RESERVED_DESCRIPTORS + DESCRIPTORS_PER_PROXY * proxies,
        PlanKind::Balancer => RESERVED_DESCRIPTORS,
    }
}
