//! A point with hollow proxies: start, rest, changes of the list, load with its events. What the machine pays here
//! it pays for the proxies and for the stand-in of discovery together.

use crate::backends::{self, BackendBehavior, BackendFleet};
use crate::discovery::{CallCosts, Discovery, DiscoveryCounters};
use crate::endpoint_list::EndpointList;
use crate::events::{self, Stage};
use crate::naming::{backend_address, backend_name};
use crate::plan::{EventKind, Point};
use crate::platform::backend_id;
use crate::point_result::{Check, Figure, PointResult};
use crate::process::{memory, processor_s};
use crate::simulated_proxy::{ProxyCounters, ProxyFleet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How often it is looked whether all are ready.
const LOOK: Duration = Duration::from_millis(10);
/// After the last is ready, so long until rest is measured.
const SETTLE: Duration = Duration::from_secs(1);

/// What one phase took of this process and of discovery.
struct Phase {
    seconds: f64,
    processor_s: Option<f64>,
    discovery: DiscoveryCounters,
}

impl Phase {
    fn control_per_s(&self) -> Option<f64> {
        let bytes = self.discovery.bytes() as f64;
        (self.seconds > 0.1).then_some(bytes / self.seconds)
    }
    fn share(&self) -> Option<f64> {
        self.processor_s.filter(|_| self.seconds > 0.1).map(|spent| spent / self.seconds)
    }
    /// What it took beyond rest for each of so many units, in microseconds.
    fn each_us(&self, rest: &Phase, units: f64) -> Option<f64> {
        let spent = self.processor_s? - rest.share().unwrap_or(0.0) * self.seconds;
        (units > 0.0).then_some(spent / units * 1e6)
    }
}

async fn phase<T>(discovery: &Discovery, work: impl std::future::Future<Output = T>) -> (Phase, T) {
    discovery.reset_peaks();
    let (start, spent, before) = (Instant::now(), processor_s("self"), discovery.counters());
    let made = work.await;
    let after = discovery.counters();
    let counted = after.since(&before);
    let processor_s = processor_s("self").zip(spent).map(|(after, before)| after - before);
    (Phase { seconds: start.elapsed().as_secs_f64(), processor_s, discovery: counted }, made)
}

/// Waits until all proxies have their list, or the time for it is over; how many have.
async fn ready(p: &Point, proxies: &ProxyFleet) -> u64 {
    let limit = Instant::now() + Duration::from_secs_f64(p.ready_s);
    loop {
        let ready = proxies.counters().time_to_ready.count();
        if ready >= u64::from(p.proxies) || Instant::now() >= limit {
            return ready;
        }
        sleep(LOOK).await;
    }
}

/// Plays a point.
pub async fn play(p: &Point) -> Result<PointResult, String> {
    let addresses: Vec<_> = (0..p.backends).map(|n| backend_address(n, 80)).collect();
    let fleet = Arc::new(BackendFleet::new(addresses.len(), BackendBehavior::of(p), p.seed));
    let ids = (0..addresses.len()).map(|n| (backend_id(&backend_name(n)), n)).collect();
    let discovery = Rc::new(
        Discovery::start(EndpointList::new(p, &addresses), CallCosts::of(p)).map_err(|e| e.to_string())?,
    );
    discovery.snapshot();
    let empty = memory("self");
    let proxies = Rc::new(ProxyFleet::start(p, &fleet, ids, discovery.address()).map_err(|e| e.to_string())?);
    let (start, started) = phase(&discovery, ready(p, &proxies)).await;
    let first = proxies.counters().time_to_ready;
    sleep(SETTLE).await;
    let held = memory("self").zip(empty).map(|(full, empty)| full.saturating_sub(empty) as f64);
    let rest = phase(&discovery, sleep(Duration::from_secs_f64(p.rest_s))).await.0;
    let (change, lines) = phase(&discovery, events::touch(&discovery, p)).await;
    let (load, played) = phase(&discovery, load(p, &discovery, &fleet, &proxies)).await;
    played?;
    let (sums, backends) = (proxies.counters(), fleet.counters());
    let ms = |us: u64| Some(us as f64 / 1e3);
    let mut figures = vec![
        Figure::new("memory_per_proxy_mb", held.map(|b| b / f64::from(p.proxies) / 1e6)),
        Figure::new("ready_p50_ms", ms(first.quantile_us(0.5))),
        Figure::new("ready_worst_ms", ms(first.max_us())),
        Figure::new("return_ready_p50_ms", ms(sums.time_to_ready.quantile_us(0.5))),
        Figure::new("return_ready_worst_ms", ms(sums.time_to_ready.max_us())),
        Figure::new("rest_core_share_of_all", rest.share()),
        Figure::new("changed_line_us", change.each_us(&rest, lines as f64 * f64::from(p.proxies))),
        Figure::new("request_us", load.each_us(&rest, sums.planned as f64)),
        Figure::new("added_p50_us", Some(sums.added_latency.quantile_us(0.5) as f64)),
        Figure::new("added_p99_us", Some(sums.added_latency.quantile_us(0.99) as f64)),
        Figure::new("added_p999_us", Some(sums.added_latency.quantile_us(0.999) as f64)),
    ];
    if !p.events.iter().any(|e| e.what == EventKind::Return) {
        figures.retain(|f| !f.name.starts_with("return_"));
    }
    figures.extend(discovery_figures(&start, &rest, &change, &load));
    figures.extend(counts(&sums, &backends));
    let checks = checks(p, started, &sums, &backends);
    Ok(PointResult { label: p.label.clone(), size: f64::from(p.proxies), figures, checks })
}

async fn load(
    p: &Point, discovery: &Rc<Discovery>, fleet: &Arc<BackendFleet>, proxies: &Rc<ProxyFleet>,
) -> Result<(), String> {
    let lasts = Duration::from_secs_f64(p.load_s);
    let start = Instant::now();
    proxies.start_load(lasts);
    let (all, returning) = (proxies.clone(), proxies.clone());
    let moved = Box::new(move |to| {
        all.discovery_relocated(to);
        Ok(())
    });
    let back = Box::new(move |()| {
        returning.restart_all();
        Ok(())
    });
    let stage = Stage { discovery: discovery.clone(), fleet: fleet.clone(), moved, back };
    events::play(p, Rc::new(stage)).await?;
    sleep(lasts.saturating_sub(start.elapsed())).await;
    proxies.shut_down();
    while !proxies.has_ended() {
        sleep(LOOK).await;
    }
    Ok(())
}

fn discovery_figures(start: &Phase, rest: &Phase, change: &Phase, load: &Phase) -> Vec<Figure> {
    let some = |n: u64| Some(n as f64);
    vec![
        Figure::new("start_calls", some(start.discovery.calls)),
        Figure::new("start_refused", some(start.discovery.rejected)),
        Figure::new("start_longest_queue", some(start.discovery.longest_queue)),
        Figure::new("start_peak_calls_per_s", some(start.discovery.peak_calls_per_s)),
        Figure::new("start_bytes", some(start.discovery.bytes())),
        Figure::new("rest_bytes_per_s", rest.control_per_s()),
        Figure::new("change_calls", some(change.discovery.calls)),
        Figure::new("change_refused", some(change.discovery.rejected)),
        Figure::new("change_bytes_per_s", change.control_per_s()),
        Figure::new("load_calls", some(load.discovery.calls)),
        Figure::new("load_lists", some(load.discovery.lists)),
        Figure::new("load_refused", some(load.discovery.rejected)),
        Figure::new("load_longest_queue", some(load.discovery.longest_queue)),
        Figure::new("load_peak_calls_per_s", some(load.discovery.peak_calls_per_s)),
        Figure::new("load_bytes_per_s", load.control_per_s()),
    ]
}

fn counts(sums: &ProxyCounters, backends: &backends::BackendCounters) -> Vec<Figure> {
    let some = |n: u64| Some(n as f64);
    vec![
        Figure::new("planned", some(sums.planned)),
        Figure::new("served", some(sums.served)),
        Figure::new("refused", some(sums.rejected)),
        Figure::new("failed", some(sums.failed)),
        Figure::new("cut_by_return", some(sums.cut_off)),
        Figure::new("came_while_unready", some(sums.arrived_unready)),
        Figure::new("attempts", some(sums.attempts)),
        Figure::new("lost_calls", some(sums.subscriptions_lost)),
        Figure::new("sent_to_draining", some(backends.rejected)),
        Figure::new("sent_to_draining_late", some(backends.late)),
        Figure::new("cold_sum_of_limit", Some(backends.warming_peak_of_limit)),
    ]
}

fn checks(p: &Point, started: u64, sums: &ProxyCounters, backends: &backends::BackendCounters) -> Vec<Check> {
    let all = u64::from(p.proxies);
    let answers = sums.served + sums.rejected + sums.failed;
    let owed = sums.planned - sums.cut_off;
    vec![
        Check {
            name: "every proxy has its list at the start, and again after a return",
            holds: started == all && sums.time_to_ready.count() == all,
            seen: format!("{started} of {all}, {} at the end", sums.time_to_ready.count()),
        },
        Check {
            name: "every request taken has one final answer",
            holds: answers == owed && sums.unanswered == 0 && sums.answered_twice == 0,
            seen: format!("{answers} answers to {owed}, {} twice", sums.answered_twice),
        },
        Check {
            name: "nothing reaches a draining backend past the limit and the slack",
            holds: backends.late == 0,
            seen: format!("{} late of {} while draining", backends.late, backends.rejected),
        },
    ]
}
