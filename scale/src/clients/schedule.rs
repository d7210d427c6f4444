//! When each request is due, and what it is.

use super::counters::SharedCounters;
use crate::plan::Point;
use crate::random::Random;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// A request that is due.
pub(super) struct PlannedRequest {
    /// Index of the proxy that it goes to.
    pub proxy: usize,
    pub class: u32,
    pub tenant: Option<u32>,
    pub id: u64,
    pub planned_at: Instant,
}

/// Hands each request over when it is due, for the time of the load. On a thread of its own: the runtime's
/// timers are too coarse.
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
