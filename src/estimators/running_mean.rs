//! Running mean with a limited window.

/// The arithmetic mean of the first `window` samples, and an exponentially weighted mean with the weight
/// `1 / window` for each further sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMean {
    mean: f64,
    samples: f64,
}

impl RunningMean {
    /// Records a sample. Its weight is the inverse of the number of samples so far, at least `1 / window`.
    pub fn add(&mut self, sample: f64, window: f64) {
        self.samples = (self.samples + 1.0).min(window);
        self.mean += (sample - self.mean) / self.samples;
    }

    /// Returns zero before the first sample.
    pub fn mean_or_zero(&self) -> f64 {
        self.mean
    }

    /// Number of samples recorded, at most the window.
    pub fn samples(&self) -> f64 {
        self.samples
    }

    /// Returns `None` before the first sample.
    pub fn mean(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.mean)
    }

    /// The mean of the recorded samples and `prior_samples` further samples of the value `prior`.
    pub fn shrunk_towards(&self, prior: f64, prior_samples: f64) -> f64 {
        (self.mean * self.samples + prior * prior_samples) / (self.samples + prior_samples)
    }
}
