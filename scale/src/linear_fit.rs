//! A line through all points but the largest, and how far the largest is from it: a figure that grows faster
//! than the fleet shows there.

use crate::point_result::PointResult;

/// What the line predicts for the largest point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// The value on the line.
    pub predicted: f64,
    /// How far the measured value is above it, as a fraction of it; none where the prediction is 0.
    pub relative_error: Option<f64>,
}

/// A measured value at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The size.
    pub size: f64,
    /// The value.
    pub value: f64,
}

/// A straight line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Its value at 0.
    pub intercept: f64,
    /// Its slope.
    pub slope: f64,
}

/// Fits a figure of all results but the one of the largest size; none with fewer than three results or a gap.
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

/// The line of the least squares; none for samples of fewer than two sizes.
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
