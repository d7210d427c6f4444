//! Latency histograms.

use hdrhistogram::{CreationError, Histogram};

/// Highest value that is recorded, in microseconds; higher ones count as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Decimal digits of precision of a recorded value.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram could not be created.
#[derive(Debug, thiserror::Error)]
#[error("cannot create a latency histogram: {0}")]
pub struct HistogramError(CreationError);

/// Histogram of latencies in microseconds.
#[derive(Clone)]
pub struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    /// Creates an empty histogram.
    pub fn new() -> Result<LatencyHistogram, HistogramError> {
        Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .map(LatencyHistogram)
            .map_err(HistogramError)
    }

    /// Records a latency; values above 60 s count as 60 s.
    pub fn record_us(&mut self, latency_us: u64) {
        self.0.saturating_record(latency_us);
    }

    /// Returns the latency at a quantile from 0 to 1; 0 for an empty histogram.
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.0.value_at_quantile(quantile)
    }

    /// Returns the highest recorded latency; 0 for an empty histogram.
    pub fn max_us(&self) -> u64 {
        self.0.max()
    }

    /// Returns the number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Removes all recorded latencies.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
