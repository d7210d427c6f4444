//! Formats the results of a plan as JSON lines and as a table.

use crate::linear_fit;
use crate::plan::Plan;
use crate::point_result::{Check, Figure, PointResult};
use serde_json::{json, Map, Value};
use std::fmt::Write;

/// Formats the result of a point as one line of JSON. `number` is the index of the point in the plan.
pub fn json_line(plan: &Plan, number: usize, result: &PointResult) -> String {
    let figure = |figure: &Figure| (figure.name.to_string(), json!(figure.value));
    let check = |check: &Check| json!({"name": check.name, "holds": check.passed, "seen": check.observed});
    let figures: Map<String, Value> = result.figures.iter().map(figure).collect();
    let checks: Vec<Value> = result.checks.iter().map(check).collect();
    let line = json!({
        "plan": plan.name,
        "point": number,
        "over": plan.over,
        "size": result.size,
        "label": result.label,
        "figures": figures,
        "checks": checks,
        "passed": result.passed(),
    });
    line.to_string()
}

/// Formats all results as a table, with a column per point, and the prediction of the linear fit for the
/// largest point.
pub fn table(plan: &Plan, results: &[PointResult]) -> String {
    let mut text = format!("{}\n", plan.name);
    push_row(&mut text, &plan.over, &head_cells(results));
    if results.iter().any(|result| !result.label.is_empty()) {
        let labels: Vec<String> = results.iter().map(|result| result.label.clone()).collect();
        push_row(&mut text, "label", &labels);
    }
    for figure in results.first().map_or(&[][..], |first| &first.figures) {
        push_row(&mut text, figure.name, &figure_cells(results, figure.name));
    }
    for result in results {
        push_checks(&mut text, result);
    }
    text
}

fn head_cells(results: &[PointResult]) -> Vec<String> {
    let mut cells: Vec<String> = results.iter().map(|result| number_cell(Some(result.size))).collect();
    cells.push("predicted".into());
    cells.push("off by".into());
    cells
}

fn figure_cells(results: &[PointResult], name: &str) -> Vec<String> {
    let mut cells: Vec<String> = results.iter().map(|result| number_cell(result.figure(name))).collect();
    let prediction = linear_fit::predict(results, name);
    cells.push(number_cell(prediction.map(|prediction| prediction.predicted)));
    let relative_error = prediction.and_then(|prediction| prediction.relative_error);
    cells.push(relative_error.map_or("-".into(), |error| format!("{:+.0} %", error * 100.0)));
    cells
}

fn push_row(text: &mut String, name: &str, cells: &[String]) {
    let _ = write!(text, "{name:<26}");
    for cell in cells {
        let _ = write!(text, "{cell:>13}");
    }
    text.push('\n');
}

fn push_checks(text: &mut String, result: &PointResult) {
    let label = if result.label.is_empty() { String::new() } else { format!(" {}", result.label) };
    for check in &result.checks {
        let verdict = if check.passed { "holds " } else { "FAILED" };
        let _ = writeln!(text, "{verdict} at {}{label}: {} ({})", result.size, check.name, check.observed);
    }
}

fn number_cell(value: Option<f64>) -> String {
    match value {
        None => "-".into(),
        Some(value) if value == value.trunc() && value.abs() < 1e12 => format!("{value:.0}"),
        Some(value) if value.abs() >= 100.0 => format!("{value:.0}"),
        Some(value) if value.abs() >= 1.0 => format!("{value:.2}"),
        Some(value) => format!("{value:.5}"),
    }
}
