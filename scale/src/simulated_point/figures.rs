//! Figures and checks of a point with simulated proxies.

use super::measurements::Measurements;
use crate::plan::{EventKind, Point};
use crate::point_result::{Check, Figure, PointResult};

pub(super) fn result(point: &Point, measurements: &Measurements) -> PointResult {
    let mut figures = cost_figures(point, measurements);
    figures.extend(discovery_figures(measurements));
    figures.extend(request_figures(measurements));
    PointResult {
        label: point.label.clone(),
        size: f64::from(point.proxies),
        figures,
        checks: checks(point, measurements),
    }
}

fn cost_figures(point: &Point, measurements: &Measurements) -> Vec<Figure> {
    let Measurements { rest, change, load, proxies, .. } = measurements;
    let proxy_count = f64::from(point.proxies);
    let memory_mb = measurements.memory.map(|bytes| bytes / proxy_count / 1e6);
    let changed_entries = measurements.changed_entries as f64 * proxy_count;
    let milliseconds = |time_us: u64| Some(time_us as f64 / 1e3);
    let microseconds = |time_us: u64| Some(time_us as f64);
    let start = &measurements.time_to_ready;
    let restart = &proxies.time_to_ready;
    let mut figures = vec![
        Figure::new("memory_per_proxy_mb", memory_mb),
        Figure::new("ready_p50_ms", milliseconds(start.quantile_us(0.5))),
        Figure::new("ready_worst_ms", milliseconds(start.max_us())),
    ];
    if point.events.iter().any(|event| event.what == EventKind::Return) {
        figures.push(Figure::new("return_ready_p50_ms", milliseconds(restart.quantile_us(0.5))));
        figures.push(Figure::new("return_ready_worst_ms", milliseconds(restart.max_us())));
    }
    figures.extend([
        Figure::new("rest_core_share_of_all", rest.cpu_utilization()),
        Figure::new("changed_line_us", change.cpu_us_per_unit(rest, changed_entries)),
        Figure::new("request_us", load.cpu_us_per_unit(rest, proxies.planned as f64)),
        Figure::new("added_p50_us", microseconds(proxies.added_latency.quantile_us(0.5))),
        Figure::new("added_p99_us", microseconds(proxies.added_latency.quantile_us(0.99))),
        Figure::new("added_p999_us", microseconds(proxies.added_latency.quantile_us(0.999))),
    ]);
    figures
}

fn discovery_figures(measurements: &Measurements) -> Vec<Figure> {
    let Measurements { start, rest, change, load, .. } = measurements;
    vec![
        Figure::count("start_calls", start.discovery.calls),
        Figure::count("start_refused", start.discovery.rejected),
        Figure::count("start_longest_queue", start.discovery.longest_queue),
        Figure::count("start_peak_calls_per_s", start.discovery.peak_calls_per_s),
        Figure::count("start_bytes", start.discovery.bytes()),
        Figure::new("rest_bytes_per_s", rest.discovery_bytes_per_s()),
        Figure::count("change_calls", change.discovery.calls),
        Figure::count("change_refused", change.discovery.rejected),
        Figure::new("change_bytes_per_s", change.discovery_bytes_per_s()),
        Figure::count("load_calls", load.discovery.calls),
        Figure::count("load_lists", load.discovery.lists),
        Figure::count("load_refused", load.discovery.rejected),
        Figure::count("load_longest_queue", load.discovery.longest_queue),
        Figure::count("load_peak_calls_per_s", load.discovery.peak_calls_per_s),
        Figure::new("load_bytes_per_s", load.discovery_bytes_per_s()),
    ]
}

fn request_figures(measurements: &Measurements) -> Vec<Figure> {
    let Measurements { proxies, backends, .. } = measurements;
    let mut figures = vec![
        Figure::count("planned", proxies.planned),
        Figure::count("served", proxies.served),
        Figure::count("refused", proxies.rejected),
        Figure::count("failed", proxies.failed),
        Figure::count("cut_by_return", proxies.dropped_at_restart),
        Figure::count("came_while_unready", proxies.arrived_before_ready),
        Figure::count("attempts", proxies.attempts),
        Figure::count("lost_calls", proxies.subscriptions_lost),
    ];
    figures.extend(backends.figures());
    figures
}

fn checks(point: &Point, measurements: &Measurements) -> Vec<Check> {
    let Measurements { proxies, backends, ready_at_start, .. } = measurements;
    let proxy_count = u64::from(point.proxies);
    let ready_at_end = proxies.time_to_ready.count();
    let final_responses = proxies.served + proxies.rejected + proxies.failed;
    let expected = proxies.planned - proxies.dropped_at_restart;
    vec![
        Check {
            name: "every proxy receives the endpoint list at the start, and again after a restart",
            passed: *ready_at_start == proxy_count && ready_at_end == proxy_count,
            observed: format!("{ready_at_start} of {proxy_count}, {ready_at_end} at the end"),
        },
        Check {
            name: "every request that a ready proxy receives gets exactly one final response",
            passed: final_responses == expected
                && proxies.unanswered == 0
                && proxies.duplicate_responses == 0,
            observed: format!(
                "{final_responses} final responses to {expected} requests, {} duplicates",
                proxies.duplicate_responses
            ),
        },
        backends.drain_check(),
    ]
}
