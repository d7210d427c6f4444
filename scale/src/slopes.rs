//! A line through all points but the largest, and how far the largest is from it.

use crate::report::Row;

/// What the line tells of the largest point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    /// The value on the line.
    pub predicted: f64,
    /// How far the measured one is above it, as a part of the predicted; none where that is 0.
    pub off: Option<f64>,
}

/// Fits a figure of all rows but the one of the largest size; none with fewer than three rows or a gap.
pub fn predict(rows: &[Row], figure: &str) -> Option<Told> {
    let points: Option<Vec<(f64, f64)>> = rows.iter().map(|r| Some((r.size, r.figure(figure)?))).collect();
    let mut points = points?;
    points.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (largest, rest) = points.split_last()?;
    let (start, slope) = fit(rest)?;
    let predicted = start + slope * largest.0;
    let off = (predicted != 0.0).then(|| (largest.1 - predicted) / predicted.abs());
    Some(Told { predicted, off })
}

/// The line of the least squares: its value at 0 and its slope.
pub fn fit(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    if points.len() < 2 {
        return None;
    }
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let common: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    (spread > 0.0).then(|| (y - common / spread * x, common / spread))
}
