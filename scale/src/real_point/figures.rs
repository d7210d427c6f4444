//! Figures and checks of a point with real proxies.

use super::measurements::Measurements;
use crate::plan::Point;
use crate::point_result::{Check, Figure, PointResult};
use std::time::Duration;

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
    let added_latency_us =
        |quantile: f64| (clients.served > 0).then(|| clients.added_latency.quantile_us(quantile) as f64);
    vec![
        Figure::new("memory_mb", megabytes(measurements.memory)),
        Figure::new("memory_after_load_mb", megabytes(measurements.memory_after_load)),
        Figure::new("ready_ms", slowest(&measurements.time_to_ready).map(|time| time.as_secs_f64() * 1e3)),
        Figure::new("rest_core_share", rest.cpu_utilization().map(|share| share / proxies)),
        Figure::new("changed_line_us", change.cpu_us_per_unit(rest, changed_entries)),
        Figure::new("request_us", load.cpu_us_per_unit(rest, clients.response_count() as f64)),
        Figure::new("added_p50_us", added_latency_us(0.5)),
        Figure::new("added_p99_us", added_latency_us(0.99)),
        Figure::new("added_p999_us", added_latency_us(0.999)),
        Figure::new("added_worst_us", added_latency_us(1.0)),
        Figure::new("pause_ms", Some(clients.longest_response_gap.as_secs_f64() * 1e3)),
    ]
}

/// Returns the longest time; `None` if any proxy did not become ready.
fn slowest(time_to_ready: &[Option<Duration>]) -> Option<Duration> {
    let times = time_to_ready.iter().copied().collect::<Option<Vec<Duration>>>()?;
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
    let Measurements { time_to_ready, clients, backends, exit_codes, .. } = measurements;
    let ready_count = time_to_ready.iter().flatten().count();
    let clean_exits = exit_codes.iter().filter(|code| **code == Some(0)).count();
    vec![
        Check {
            name: "every proxy becomes ready",
            passed: ready_count == time_to_ready.len(),
            observed: format!("{ready_count} of {}", time_to_ready.len()),
        },
        response_check(measurements),
        Check {
            name: "at least one request is served",
            passed: clients.planned == 0 || clients.served > 0,
            observed: format!("{} of {}", clients.served, clients.planned),
        },
        backends.drain_check(),
        Check {
            name: "every proxy exits with code 0 after SIGTERM",
            passed: clean_exits == exit_codes.len(),
            observed: format!("{clean_exits} of {}", exit_codes.len()),
        },
    ]
}

fn response_check(measurements: &Measurements) -> Check {
    let clients = &measurements.clients;
    let sent = clients.planned - clients.unsent;
    let responses = clients.response_count();
    Check {
        name: "every sent request gets exactly one response",
        passed: clients.lost == 0 && clients.unexpected_messages == 0 && responses == sent,
        observed: format!(
            "{responses} responses to {sent} requests, {} lost, {} unexpected messages, {} unsent",
            clients.lost, clients.unexpected_messages, clients.unsent
        ),
    }
}
