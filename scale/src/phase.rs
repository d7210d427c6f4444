//! What one phase of a point took of the proxies and of discovery.

use crate::discovery::{Discovery, DiscoveryCounters};
use std::future::Future;
use std::time::{Duration, Instant};

/// Rates of a phase that is shorter than this, in seconds, would be mostly noise.
const MIN_RATE_DURATION_S: f64 = 0.1;
/// From the moment in which the last proxy is ready, or its time is over, to the phase at rest.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);

/// What a phase took.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeasuredPhase {
    /// How long it lasted, in seconds.
    pub seconds: f64,
    /// Processor time, in seconds.
    pub cpu_time_s: Option<f64>,
    /// What discovery counted in it.
    pub discovery: DiscoveryCounters,
}

/// A phase, and what its work returned.
pub struct Measured<T> {
    /// What the phase took.
    pub phase: MeasuredPhase,
    /// What its work returned.
    pub output: T,
}

/// Runs the work of a phase; `processor_s` reads the processor time taken so far.
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
    /// Bytes between proxies and discovery, both ways, a second.
    pub fn discovery_bytes_per_s(&self) -> Option<f64> {
        let bytes = self.discovery.bytes() as f64;
        (self.seconds > MIN_RATE_DURATION_S).then_some(bytes / self.seconds)
    }

    /// Processor time as a fraction of one core.
    pub fn cpu_utilization(&self) -> Option<f64> {
        let cpu_time_s = self.cpu_time_s.filter(|_| self.seconds > MIN_RATE_DURATION_S)?;
        Some(cpu_time_s / self.seconds)
    }

    /// Processor time beyond that at rest for each of so many units, in microseconds.
    pub fn cpu_us_per_unit(&self, rest: &MeasuredPhase, units: f64) -> Option<f64> {
        let above_rest = self.cpu_time_s? - rest.cpu_utilization().unwrap_or(0.0) * self.seconds;
        (units > 0.0).then_some(above_rest / units * 1e6)
    }
}
