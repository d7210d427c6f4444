//! A mean that follows its newest samples.

/// An exact mean of the first samples, an exponentially weighted one from a chosen number on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMean {
    mean: f64,
    samples: f64,
}

impl RunningMean {
    /// Takes in a sample; at least `1 / window` of it counts.
    pub fn add(&mut self, sample: f64, window: f64) {
        self.samples = (self.samples + 1.0).min(window);
        self.mean += (sample - self.mean) / self.samples;
    }

    /// The mean; zero before the first sample.
    pub fn value(&self) -> f64 {
        self.mean
    }

    /// How many samples it stands for: at most the window.
    pub fn samples(&self) -> f64 {
        self.samples
    }

    /// The mean, if there was a sample.
    pub fn get(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.mean)
    }

    /// The mean of its samples and `prior_samples` more of the value `prior`.
    pub fn shrunk_towards(&self, prior: f64, prior_samples: f64) -> f64 {
        (self.mean * self.samples + prior * prior_samples) / (self.samples + prior_samples)
    }
}
