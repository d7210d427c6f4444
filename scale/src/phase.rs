//! Measurement of one phase of a point: CPU time of the proxies and the discovery counters.

use crate::discovery::{Discovery, DiscoveryCounters};
use std::future::Future;
use std::time::{Duration, Instant};

/// Minimum duration of a phase for which rates are reported, in seconds; shorter ones are too noisy.
const MIN_RATE_DURATION_S: f64 = 0.1;
/// Delay between the end of the start phase and the phase at rest, in which the proxies settle.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Measurements of a phase.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeasuredPhase {
    /// Duration, in seconds.
    pub seconds: f64,
    /// CPU time, in seconds; `None` if it could not be read.
    pub cpu_time_s: Option<f64>,
    /// Discovery counters of this phase.
    pub discovery: DiscoveryCounters,
}

/// Measurements of a phase, and the output of its work.
pub struct Measured<T> {
    /// Measurements of the phase.
    pub phase: MeasuredPhase,
    /// Output of the work.
    pub output: T,
}

/// Runs and measures the work of a phase; `cpu_time_s` reads the CPU time used so far.
pub async fn measure<T>(
    discovery: &Discovery, cpu_time_s: impl Fn() -> Option<f64>, work: impl Future<Output = T>,
) -> Measured<T> {
    let start = Instant::now();
    let cpu_time_before = cpu_time_s();
    let discovery_before = discovery.counters();
    let output = work.await;
    let discovery = discovery.counters().since(&discovery_before);
    let cpu_time_s = cpu_time_s().zip(cpu_time_before).map(|(after, before)| after - before);
    let seconds = start.elapsed().as_secs_f64();
    Measured { phase: MeasuredPhase { seconds, cpu_time_s, discovery }, output }
}

impl MeasuredPhase {
    /// Returns the bytes per second between proxies and discovery, in both directions; `None` for a phase
    /// that is too short.
    pub fn discovery_bytes_per_s(&self) -> Option<f64> {
        let bytes = self.discovery.bytes() as f64;
        (self.seconds > MIN_RATE_DURATION_S).then_some(bytes / self.seconds)
    }

    /// Returns the CPU time as a fraction of one core; `None` for a phase that is too short or whose CPU
    /// time could not be read.
    pub fn cpu_utilization(&self) -> Option<f64> {
        let cpu_time_s = self.cpu_time_s.filter(|_| self.seconds > MIN_RATE_DURATION_S)?;
        Some(cpu_time_s / self.seconds)
    }

    /// Returns the CPU time per unit, in microseconds, without the CPU time that `rest` would take in the
    /// same duration, if that is known. Returns `None` for 0 units or if the CPU time could not be read.
    pub fn cpu_us_per_unit(&self, rest: &MeasuredPhase, units: f64) -> Option<f64> {
        let above_rest = self.cpu_time_s? - rest.cpu_utilization().unwrap_or(0.0) * self.seconds;
        (units > 0.0).then_some(above_rest / units * 1e6)
    }
}
