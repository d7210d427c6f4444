//! What is told: JSON lines for programs, a table for people, and the verdict.

use crate::plan::Plan;
use serde_json::{json, Map, Value};
use std::fmt::Write;

/// Something that has to hold.
#[derive(Clone, Debug)]
pub struct Check {
    /// What.
    pub name: &'static str,
    /// Whether it does.
    pub holds: bool,
    /// What was seen.
    pub seen: String,
}

/// What one point gave.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its name, where it has one.
    pub label: String,
    /// Its size along the slope.
    pub size: f64,
    /// The figures by their names, units at the end; none where a figure was not measured.
    pub figures: Vec<(&'static str, Option<f64>)>,
    /// What has to hold.
    pub checks: Vec<Check>,
}

impl Row {
    /// A figure by its name.
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.figures.iter().find(|f| f.0 == name).and_then(|f| f.1)
    }

    /// Whether every check holds.
    pub fn passed(&self) -> bool {
        self.checks.iter().all(|c| c.holds)
    }
}

/// A row as one line of JSON.
pub fn line(plan: &Plan, number: usize, row: &Row) -> String {
    let figures: Map<String, Value> =
        row.figures.iter().map(|(name, v)| ((*name).into(), json!(v))).collect();
    let check = |c: &Check| json!({"name": c.name, "holds": c.holds, "seen": c.seen});
    let checks: Vec<Value> = row.checks.iter().map(check).collect();
    json!({"plan": plan.name, "point": number, "over": plan.over, "size": row.size, "label": row.label,
           "figures": figures,
           "checks": checks, "passed": row.passed()})
    .to_string()
}

/// All rows as a table: a column for each point, and what the line through all but the largest tells of that.
pub fn table(plan: &Plan, rows: &[Row]) -> String {
    let mut text = format!("{}\n{:<26}", plan.name, plan.over);
    for row in rows {
        put(&mut text, &cell(Some(row.size)));
    }
    ["predicted", "off by"].iter().for_each(|t| put(&mut text, t));
    text.push('\n');
    if rows.iter().any(|r| !r.label.is_empty()) {
        let _ = write!(text, "{:<26}", "label");
        rows.iter().for_each(|row| put(&mut text, &row.label));
        text.push('\n');
    }
    let names = rows.first().map_or(Vec::new(), |r| r.figures.iter().map(|f| f.0).collect());
    for name in names {
        let _ = write!(text, "{name:<26}");
        rows.iter().for_each(|row| put(&mut text, &cell(row.figure(name))));
        let told = crate::slopes::predict(rows, name);
        put(&mut text, &cell(told.map(|t| t.predicted)));
        put(&mut text, &told.and_then(|t| t.off).map_or("-".into(), |off| format!("{:+.0} %", off * 100.0)));
        text.push('\n');
    }
    for (row, check) in rows.iter().flat_map(|r| r.checks.iter().map(move |c| (r, c))) {
        let verdict = if check.holds { "holds " } else { "FAILED" };
        let _ = writeln!(text, "{verdict} at {}{}: {} ({})", row.size, name(row), check.name, check.seen);
    }
    text
}

fn name(row: &Row) -> String {
    if row.label.is_empty() {
        String::new()
    } else {
        format!(" {}", row.label)
    }
}

fn put(text: &mut String, cell: &str) {
    let _ = write!(text, "{cell:>13}");
}

fn cell(value: Option<f64>) -> String {
    match value {
        None => "-".into(),
        Some(v) if v == v.trunc() && v.abs() < 1e12 => format!("{v:.0}"),
        Some(v) if v.abs() >= 100.0 => format!("{v:.0}"),
        Some(v) if v.abs() >= 1.0 => format!("{v:.2}"),
        Some(v) => format!("{v:.5}"),
    }
}
