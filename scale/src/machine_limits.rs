//! Whether this machine can bear a plan: checked before anything starts.

use crate::plan::{Plan, PlanError, PlanKind, Point};
use std::io;

/// Processes that a plan may start at once, this one counted.
const MAX_PROCESSES: u32 = 200;
/// Fraction of the machine's memory that a plan may take.
const MEMORY_FRACTION: f64 = 0.5;
/// Memory counted for any proxy, real or simulated, in bytes.
const BYTES_PER_PROXY: f64 = 8e6;
/// Memory counted for each entry of the list that a proxy holds, in bytes.
const BYTES_PER_ENTRY: f64 = 1_500.0;
/// Memory counted for each class and tenant that a proxy holds, in bytes.
const BYTES_PER_CLASS_OR_TENANT: f64 = 1_200.0;
/// Memory counted for each listening backend, in bytes.
const BYTES_PER_BACKEND: f64 = 4_000.0;
/// Memory counted for each end of a connection, in bytes.
const BYTES_PER_CONNECTION_END: f64 = 40_000.0;
/// Time for the start and the end of a point beside its phases, in seconds.
const POINT_OVERHEAD_S: f64 = 6.0;
/// Time counted for one seed of the bare decisions, in seconds.
const SECONDS_PER_SEED: f64 = 1.0;
/// Time counted for each of the seed's backends, classes and tenants, in seconds.
const SECONDS_PER_SEED_ITEM: f64 = 2e-4;
/// Descriptors for standard streams, listeners and runtimes.
const RESERVED_DESCRIPTORS: u64 = 128;
/// Descriptors counted for the discovery calls of each proxy.
const DESCRIPTORS_PER_PROXY: u64 = 4;

/// What the machine has.
#[derive(Clone, Copy, Debug)]
pub struct MachineResources {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Descriptors that this process may hold.
    pub file_descriptors: u64,
}

/// Why the machine's resources could not be read.
#[derive(Debug, thiserror::Error)]
pub enum MachineError {
    /// A file of the system could not be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file.
        file: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A file of the system does not hold the number.
    #[error("{file}: expected a number after {label:?}")]
    NoNumber {
        /// The file.
        file: &'static str,
        /// What stands before the number.
        label: &'static str,
    },
}

impl MachineResources {
    /// Reads what the system says.
    pub fn read() -> Result<MachineResources, MachineError> {
        let memory_kib = number_after("/proc/meminfo", "MemTotal:")?;
        // An unlimited number is written as a word.
        let file_descriptors = number_after("/proc/self/limits", "Max open files").unwrap_or(u64::MAX);
        Ok(MachineResources { memory_bytes: memory_kib * 1024, file_descriptors })
    }
}

/// The number that follows a label at the start of a line.
fn number_after(file: &'static str, label: &'static str) -> Result<u64, MachineError> {
    let text = std::fs::read_to_string(file).map_err(|source| MachineError::Unreadable { file, source })?;
    let rest = text.lines().find_map(|line| line.strip_prefix(label));
    let number = rest.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    number.ok_or(MachineError::NoNumber { file, label })
}

/// Whether the machine can bear the plan, in the plan's own time.
pub fn check(plan: &Plan, machine: MachineResources) -> Result<(), PlanError> {
    let seconds: f64 = plan.points.iter().map(|point| max_duration_s(plan.kind, point)).sum();
    if seconds > plan.longest_s {
        let expected = format!("expected at least {seconds:.0}, which the points may take");
        return Err(PlanError::new("longest_s", expected));
    }
    for (number, point) in plan.points.iter().enumerate() {
        check_point(plan.kind, number, point, machine)?;
    }
    Ok(())
}

/// The longest time that a point may take, in seconds.
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
            "expected a point within {:.0} MB, it counts for {:.0}",
            allowed_memory / 1e6,
            needed_memory / 1e6
        );
        return Err(PlanError::new(path("proxies"), expected));
    }
    let needed_descriptors = descriptors_needed(kind, point);
    if needed_descriptors > machine.file_descriptors {
        let expected = format!(
            "expected at most {} descriptors, they count for {needed_descriptors}",
            machine.file_descriptors
        );
        return Err(PlanError::new(path("backends"), expected));
    }
    Ok(())
}

/// Memory of all processes, in bytes.
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

/// Descriptors of this process.
fn descriptors_needed(kind: PlanKind, point: &Point) -> u64 {
    let proxies = u64::from(point.proxies);
    match kind {
        // A listener for each backend; clients' connections, and the proxies' connections to backends.
        PlanKind::Real => {
            let per_proxy = DESCRIPTORS_PER_PROXY + 2 * u64::from(point.connections);
            RESERVED_DESCRIPTORS + u64::from(point.backends) + proxies * per_proxy
        }
        // Both ends of a call of discovery are here.
        PlanKind::Simulated => RESERVED_DESCRIPTORS + DESCRIPTORS_PER_PROXY * proxies,
        PlanKind::Balancer => RESERVED_DESCRIPTORS,
    }
}
