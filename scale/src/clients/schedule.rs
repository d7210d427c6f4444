//! The schedule of the clients' requests.

use super::counters::SharedCounters;
use crate::plan::Point;
use crate::random::Random;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// A request, with the time at which the schedule sends it.
pub(super) struct PlannedRequest {
    /// Index of the proxy that receives the request.
    pub proxy: usize,
    pub class: u32,
    pub tenant: Option<u32>,
    pub id: u64,
    pub planned_at: Instant,
}

/// Passes each request to `sender` at its planned time, until the load phase ends. Blocks the calling thread
/// and needs one of its own: tokio's timers have a resolution of 1 ms, which is too coarse.
pub(super) fn run(
    point: &Point, proxies: usize, sender: &mpsc::Sender<PlannedRequest>, counters: &SharedCounters,
) {
    let mut random = Random::new(point.seed);
    let start = Instant::now();
    let mut offset = Duration::ZERO;
    for id in 1_u64.. {
        offset += random.interarrival_time(point.rate_per_s);
        if offset.as_secs_f64() >= point.load_s {
            return;
        }
        let planned_at = start + offset;
        std::thread::sleep(planned_at.saturating_duration_since(Instant::now()));
        let request = PlannedRequest {
            proxy: random.below(proxies as u32) as usize,
            class: random.below(point.classes),
            tenant: (point.tenants > 0).then(|| random.below(point.tenants)),
            id,
            planned_at,
        };
        counters.lock().planned += 1;
        if sender.try_send(request).is_err() {
            counters.lock().unsent += 1;
        }
    }
}
