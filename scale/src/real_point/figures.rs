//! The figures and checks of a point with real proxies.

use super::measurements::Measurements;
use crate::plan::Point;
use crate::point_result::{Check, Figure, PointResult};
use std::time::Duration;

/// The result of a point.
pub(super) fn result(point: &Point, measurements: &Measurements) -> PointResult {
    let mut figures = cost_figures(point, measurements);
    figures.extend(discovery_figures(measurements));
    figures.extend(request_figures(measurements));
    PointResult {
        label: point.label.clone(),
        size: f64::from(point.proxies),
        figures,
        checks: checks(measurements),
    }
}

fn cost_figures(point: &Point, measurements: &Measurements) -> Vec<Figure> {
    let Measurements { rest, change, load, clients, .. } = measurements;
    let proxies = f64::from(point.proxies);
    let megabytes = |bytes: Option<f64>| bytes.map(|bytes| bytes / 1e6);
    let changed_entries = measurements.changed_entries as f64 * proxies;
    let added_us =
        |quantile: f64| (clients.served > 0).then(|| clients.added_latency.quantile_us(quantile) as f64);
    vec![
        Figure::new("memory_mb", megabytes(measurements.memory)),
        Figure::new("memory_after_load_mb", megabytes(measurements.memory_after_load)),
        Figure::new("ready_ms", slowest(&measurements.ready_after).map(|time| time.as_secs_f64() * 1e3)),
        Figure::new("rest_core_share", rest.core_share().map(|share| share / proxies)),
        Figure::new("changed_line_us", change.cost_us(rest, changed_entries)),
        Figure::new("request_us", load.cost_us(rest, clients.answered() as f64)),
        Figure::new("added_p50_us", added_us(0.5)),
        Figure::new("added_p99_us", added_us(0.99)),
        Figure::new("added_p999_us", added_us(0.999)),
        Figure::new("added_worst_us", added_us(1.0)),
        Figure::new("pause_ms", Some(clients.longest_pause.as_secs_f64() * 1e3)),
    ]
}

/// The longest time; none where one of the proxies did not become ready.
fn slowest(ready_after: &[Option<Duration>]) -> Option<Duration> {
    let times = ready_after.iter().copied().collect::<Option<Vec<Duration>>>()?;
    times.into_iter().max()
}

fn discovery_figures(measurements: &Measurements) -> Vec<Figure> {
    let Measurements { rest, change, load, discovery, .. } = measurements;
    vec![
        Figure::new("control_rest_bytes_per_s", rest.discovery_bytes_per_s()),
        Figure::new("control_change_bytes_per_s", change.discovery_bytes_per_s()),
        Figure::new("control_load_bytes_per_s", load.discovery_bytes_per_s()),
        Figure::count("discovery_calls", discovery.calls),
        Figure::count("discovery_lists", discovery.lists),
        Figure::count("discovery_refused", discovery.rejected),
        Figure::count("discovery_longest_queue", discovery.longest_queue),
        Figure::count("discovery_peak_calls_per_s", discovery.peak_calls_per_s),
    ]
}

fn request_figures(measurements: &Measurements) -> Vec<Figure> {
    let Measurements { clients, backends, .. } = measurements;
    let mut figures = vec![
        Figure::count("planned", clients.planned),
        Figure::count("served", clients.served),
        Figure::count("refused", clients.rejected),
        Figure::count("failed", clients.failed),
        Figure::count("lost", clients.lost),
        Figure::count("unsent", clients.unsent),
        Figure::count("crossed", clients.resent),
        Figure::count("connections_to_backends", backends.connections),
    ];
    figures.extend(backends.figures());
    figures
}

fn checks(measurements: &Measurements) -> Vec<Check> {
    let Measurements { ready_after, clients, backends, exit_codes, .. } = measurements;
    let ready = ready_after.iter().flatten().count();
    let clean_exits = exit_codes.iter().filter(|code| **code == Some(0)).count();
    vec![
        Check {
            name: "every proxy becomes ready",
            holds: ready == ready_after.len(),
            seen: format!("{ready} of {}", ready_after.len()),
        },
        answers_check(measurements),
        Check {
            name: "something is served",
            holds: clients.planned == 0 || clients.served > 0,
            seen: format!("{} of {}", clients.served, clients.planned),
        },
        backends.drain_check(),
        Check {
            name: "SIGTERM ends every proxy with code 0",
            holds: clean_exits == exit_codes.len(),
            seen: format!("{clean_exits} of {}", exit_codes.len()),
        },
    ]
}

fn answers_check(measurements: &Measurements) -> Check {
    let clients = &measurements.clients;
    let owed = clients.planned - clients.unsent;
    let answered = clients.answered();
    Check {
        name: "every request taken has one final answer",
        holds: clients.lost == 0 && clients.unexpected == 0 && answered == owed,
        seen: format!(
            "{answered} answers to {owed}, {} lost, {} unasked, {} unsent",
            clients.lost, clients.unexpected, clients.unsent
        ),
    }
}
