//! Linear fit to all points but the largest, and the deviation of the largest from it. A figure that
//! grows faster than linearly with the size has a large deviation.

use crate::point_result::PointResult;

/// Prediction for the largest point, and the deviation of the measurement from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Value of the fitted line at the largest size.
    pub predicted: f64,
    /// Measured value minus predicted value, as a fraction of the absolute predicted value; `None` if the
    /// prediction is 0.
    pub relative_error: Option<f64>,
}

/// A value measured at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Size of the point.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

/// A straight line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at size 0.
    pub intercept: f64,
    /// Increase per unit of size.
    pub slope: f64,
}

/// Fits a line to a figure over all results but the one of the largest size, and predicts that one. Returns
/// `None` if a result lacks the figure, or if the results that are fitted have fewer than two sizes.
pub fn predict(results: &[PointResult], figure: &str) -> Option<Prediction> {
    let sample = |result: &PointResult| Some(Sample { size: result.size, value: result.figure(figure)? });
    let mut samples = results.iter().map(sample).collect::<Option<Vec<Sample>>>()?;
    samples.sort_by(|a, b| a.size.total_cmp(&b.size));
    let (largest, rest) = samples.split_last()?;
    let line = fit(rest)?;
    let predicted = line.intercept + line.slope * largest.size;
    let relative_error = (predicted != 0.0).then(|| (largest.value - predicted) / predicted.abs());
    Some(Prediction { predicted, relative_error })
}

/// Returns the least-squares line; `None` for samples of fewer than two sizes.
pub fn fit(samples: &[Sample]) -> Option<Line> {
    if samples.len() < 2 {
        return None;
    }
    let count = samples.len() as f64;
    let mean_size = samples.iter().map(|sample| sample.size).sum::<f64>() / count;
    let mean_value = samples.iter().map(|sample| sample.value).sum::<f64>() / count;
    let variance: f64 = samples.iter().map(|sample| (sample.size - mean_size).powi(2)).sum();
    let covariance: f64 =
        samples.iter().map(|sample| (sample.size - mean_size) * (sample.value - mean_value)).sum();
    if variance <= 0.0 {
        return None;
    }
    let slope = covariance / variance;
    Some(Line { intercept: mean_value - slope * mean_size, slope })
}
