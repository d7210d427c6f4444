//! Distributions of times.

use hdrhistogram::{CreationError, Histogram};

/// Longer times count as this one, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of a recorded time.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram could not be made.
#[derive(Debug, thiserror::Error)]
#[error("a histogram: {0}")]
pub struct HistogramError(CreationError);

/// How times are distributed; all are in microseconds.
#[derive(Clone)]
pub struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    /// An empty one.
    pub fn new() -> Result<LatencyHistogram, HistogramError> {
        Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .map(LatencyHistogram)
            .map_err(HistogramError)
    }

    /// Records a time.
    pub fn record_us(&mut self, time_us: u64) {
        self.0.saturating_record(time_us);
    }

    /// The time that this part of the recorded ones does not exceed.
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.0.value_at_quantile(quantile)
    }

    /// The longest recorded time.
    pub fn max_us(&self) -> u64 {
        self.0.max()
    }

    /// How many times were recorded.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Forgets all that was recorded.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
