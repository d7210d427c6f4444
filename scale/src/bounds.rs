//! What a plan may ask of this machine: checked before anything starts.

use crate::plan::{fault, Kind, Plan, PlanError, Point, What};

/// Processes that a plan may start at once, this one counted.
const PROCESSES: u32 = 200;
/// Part of the machine's memory that a plan may take.
const MEMORY_PART: f64 = 0.5;
/// The longest time that any plan may take.
const LONGEST_S: f64 = 1_800.0;
/// Memory that is counted for any proxy, real or hollow, and for each line, class and tenant that it holds.
const PROXY_BYTES: f64 = 8e6;
const LINE_BYTES: f64 = 1_500.0;
const NAME_BYTES: f64 = 1_200.0;
/// Memory for each listening backend, and for each connection on both of its ends.
const BACKEND_BYTES: f64 = 4_000.0;
const CONNECTION_BYTES: f64 = 40_000.0;
/// Time for starting and ending a point beside what the plan tells.
const OVERHEAD_S: f64 = 6.0;
/// Time counted for one seed of the module mode, and for each of its lines, classes and tenants.
const SEED_S: f64 = 1.0;
const SEED_ITEM_S: f64 = 2e-4;
/// Each backend of a release drains and is away for some seconds.
const LEAST_RELEASE_S: f64 = 4.0;
/// Descriptors for standard streams, listeners and runtimes.
const RESERVE: u64 = 128;

/// What the machine has.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Memory in bytes.
    pub memory: u64,
    /// Descriptors that this process may hold.
    pub descriptors: u64,
}

impl Machine {
    /// Reads what the system says.
    pub fn read() -> Result<Machine, String> {
        let first_number = |file: &str, line: &str| {
            let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
            let rest = text.lines().find_map(|l| l.strip_prefix(line));
            let number = rest.and_then(|r| r.split_whitespace().next()?.parse::<u64>().ok());
            number.ok_or_else(|| format!("{file}: expected a number after {line:?}"))
        };
        let memory = first_number("/proc/meminfo", "MemTotal:")? * 1024;
        // Without a limit there is no number.
        let descriptors = first_number("/proc/self/limits", "Max open files").unwrap_or(u64::MAX);
        Ok(Machine { memory, descriptors })
    }
}

/// The range of each value that a plan holds.
pub fn values(plan: &Plan) -> Result<(), PlanError> {
    if !(plan.longest_s > 0.0 && plan.longest_s <= LONGEST_S) {
        return Err(fault("longest_s", format!("expected seconds above 0, at most {LONGEST_S}")));
    }
    if over(&plan.over, &plan.points[0]).is_none() {
        return Err(fault("over", "expected one of backends, classes, tenants, proxies"));
    }
    plan.points.iter().enumerate().try_for_each(|(i, p)| point_values(plan.kind, i, p))
}

/// The size of a point along the slope.
pub fn over(name: &str, point: &Point) -> Option<f64> {
    let value = match name {
        "backends" => point.backends,
        "classes" => point.classes,
        "tenants" => point.tenants,
        "proxies" => point.proxies,
        _ => return None,
    };
    Some(f64::from(value))
}

fn point_values(kind: Kind, number: usize, p: &Point) -> Result<(), PlanError> {
    let time = |s: f64| (0.0..=LONGEST_S).contains(&s);
    let whole = |n: u32, most: u32| (1..=most).contains(&n);
    let tests = [
        (whole(p.backends, 20_000), "backends", "a whole number from 1 to 20000"),
        (whole(p.kinds, p.backends.max(1)), "kinds", "a whole number from 1 to backends"),
        (whole(p.zones, 64), "zones", "a whole number from 1 to 64"),
        (whole(p.classes, 20_000), "classes", "a whole number from 1 to 20000"),
        (p.tenants <= 100_000, "tenants", "a whole number up to 100000"),
        (whole(p.proxies, 2_000), "proxies", "a whole number from 1 to 2000"),
        (p.fleet == 0 || p.fleet >= p.proxies, "fleet", "0, or no fewer than proxies"),
        (p.rate_per_s > 0.0 && p.rate_per_s <= 1e5, "rate_per_s", "above 0, at most 100000"),
        (whole(p.connections, 4_096), "connections", "a whole number from 1 to 4096"),
        ((1..=60_000).contains(&p.deadline_ms), "deadline_ms", "from 1 to 60000"),
        (p.service_ms > 0.0 && p.service_ms <= 6e4, "service_ms", "above 0, at most 60000"),
        (p.capacity_per_s > 0.0 && p.capacity_per_s <= 1e6, "capacity_per_s", "above 0, at most 1000000"),
        ((64..=20_000).contains(&p.sockets), "sockets", "from 64 to 20000"),
        (whole(p.seeds, 100), "seeds", "a whole number from 1 to 100"),
        (p.ready_s > 0.0 && time(p.ready_s), "ready_s", "seconds above 0, at most 1800"),
        (time(p.rest_s), "rest_s", "seconds from 0 to 1800"),
        (time(p.change_s), "change_s", "seconds from 0 to 1800"),
        ((0.0..=1e5).contains(&p.changes_per_s), "changes_per_s", "from 0 to 100000"),
        (time(p.load_s), "load_s", "seconds from 0 to 1800"),
        (time(p.drain_slack_s), "drain_slack_s", "seconds from 0 to 1800"),
        (p.discovery.call_us <= 10_000_000, "discovery.call_us", "microseconds up to 10000000"),
        ((0.0..=1e5).contains(&p.discovery.line_us), "discovery.line_us", "microseconds from 0 to 100000"),
        ((1..=100_000).contains(&p.discovery.queue), "discovery.queue", "a whole number from 1 to 100000"),
    ];
    if let Some((_, key, expected)) = tests.into_iter().find(|t| !t.0) {
        return Err(fault(format!("points[{number}].{key}"), format!("expected {expected}")));
    }
    let events = p.events.iter().enumerate();
    for (i, e) in events {
        let ends = e.at_s + e.for_s;
        let sound = time(e.at_s) && time(e.for_s) && ends <= p.load_s;
        if !sound {
            let path = format!("points[{number}].events[{i}]");
            return Err(fault(path, "expected at_s and for_s of 0 or more that end within load_s"));
        }
        if e.what == What::Return && kind != Kind::Hollow {
            let path = format!("points[{number}].events[{i}].what");
            return Err(fault(path, "expected return only in a plan of kind hollow"));
        }
        if e.what == What::Release && e.for_s < LEAST_RELEASE_S {
            let path = format!("points[{number}].events[{i}].for_s");
            return Err(fault(path, format!("expected at least {LEAST_RELEASE_S} for a release")));
        }
        if e.lines > p.backends {
            return Err(fault(format!("points[{number}].events[{i}].lines"), "expected at most backends"));
        }
    }
    Ok(())
}

/// Whether the machine can bear the plan; what is over its bounds is refused.
pub fn machine(plan: &Plan, machine: Machine) -> Result<(), PlanError> {
    let seconds: f64 = plan.points.iter().map(|p| seconds(plan.kind, p)).sum();
    if seconds > plan.longest_s {
        return Err(fault("longest_s", format!("expected at least {seconds:.0}, which the points may take")));
    }
    plan.points.iter().enumerate().try_for_each(|(i, p)| point_machine(plan.kind, i, p, machine))
}

/// The longest time that a point may take.
pub fn seconds(kind: Kind, p: &Point) -> f64 {
    let items = f64::from(p.backends) + f64::from(p.classes) + f64::from(p.tenants);
    match kind {
        Kind::Module => f64::from(p.seeds) * (SEED_S + SEED_ITEM_S * items),
        Kind::Real | Kind::Hollow => {
            let deadline = p.deadline_ms as f64 / 1e3;
            p.ready_s + p.rest_s + p.change_s + p.load_s + 2.0 * deadline + OVERHEAD_S
        }
    }
}

fn point_machine(kind: Kind, number: usize, p: &Point, machine: Machine) -> Result<(), PlanError> {
    let path = |key: &str| format!("points[{number}].{key}");
    if kind == Kind::Real && p.proxies >= PROCESSES {
        return Err(fault(path("proxies"), format!("expected fewer than {PROCESSES} processes")));
    }
    let (need, most) = (memory(kind, p), machine.memory as f64 * MEMORY_PART);
    if need > most {
        let text = format!("expected a point within {:.0} MB, it counts for {:.0}", most / 1e6, need / 1e6);
        return Err(fault(path("proxies"), text));
    }
    let need = descriptors(kind, p);
    if need > machine.descriptors {
        let text = format!("expected at most {} descriptors, they count for {need}", machine.descriptors);
        return Err(fault(path("backends"), text));
    }
    Ok(())
}

fn memory(kind: Kind, p: &Point) -> f64 {
    let names = f64::from(p.classes) + f64::from(p.tenants);
    let proxy = PROXY_BYTES + f64::from(p.backends) * LINE_BYTES + names * NAME_BYTES;
    let connections = match kind {
        Kind::Real => f64::from(p.proxies) * f64::from(p.connections) * 2.0 * CONNECTION_BYTES,
        Kind::Hollow | Kind::Module => 0.0,
    };
    f64::from(p.proxies) * proxy + f64::from(p.backends) * BACKEND_BYTES + connections
}

/// Those of this process: a listener for each backend, clients, connections to backends, calls of discovery.
fn descriptors(kind: Kind, p: &Point) -> u64 {
    let proxies = u64::from(p.proxies);
    match kind {
        Kind::Real => RESERVE + u64::from(p.backends) + proxies * (4 + 2 * u64::from(p.connections)),
        // Both ends of a call are here.
        Kind::Hollow => RESERVE + 4 * proxies,
        Kind::Module => RESERVE,
    }
}
