//! Linear fit over the smaller points of a plan, and the deviation of the largest.

use scale_test::linear_fit::{fit, predict, Sample};
use scale_test::point_result::{Figure, PointResult};

fn result(size: f64, value: f64) -> PointResult {
    let figures = vec![Figure::new("x", Some(value)), Figure::new("gap", None)];
    PointResult { label: String::new(), size, figures, checks: Vec::new() }
}

#[test]
fn line_is_fitted_to_all_points_but_the_largest() {
    let results = [result(10.0, 300.0), result(1.0, 12.0), result(2.0, 14.0)];
    let prediction = predict(&results, "x").expect("no prediction");
    assert!((prediction.predicted - 30.0).abs() < 1e-9, "the fitted line is not at 30: {prediction:?}");
    assert!(
        (prediction.relative_error.expect("no relative error") - 9.0).abs() < 1e-9,
        "the deviation is not 9: {prediction:?}"
    );
    assert_eq!(predict(&results, "gap"), None);
    assert_eq!(fit(&[Sample { size: 1.0, value: 2.0 }]), None);
}
