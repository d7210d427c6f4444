//! Reads plan files. Unknown keys are errors, and every error is one line that begins with the path of the
//! key.

use crate::plan::{Plan, PlanError, PlanKind, Point};
use crate::plan_validation;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use toml::{Table, Value};

/// Top-level keys other than `base` and `points`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanHeader {
    name: String,
    kind: PlanKind,
    over: String,
    longest_s: f64,
    #[serde(default)]
    program: Option<PathBuf>,
}

/// Reads and validates a plan file.
pub fn load(path: &Path) -> Result<Plan, PlanError> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        PlanError::new(path.display().to_string(), format!("expected a readable plan file: {error}"))
    })?;
    parse(&text)
}

/// Parses and validates a plan. The values in `[base]` apply to each of `[[points]]` that does not set the
/// key.
pub fn parse(text: &str) -> Result<Plan, PlanError> {
    let mut table: Table = text.parse().map_err(|error| syntax_error(&error, text))?;
    let base = take_base(&mut table)?;
    let point_tables = take_points(&mut table)?;
    let header: PlanHeader = deserialize_value(Value::Table(table), str::to_string)?;
    let mut points = Vec::new();
    for (number, overrides) in point_tables.into_iter().enumerate() {
        points.push(read_point(number, overrides, &base)?);
    }
    let PlanHeader { name, kind, over, longest_s, program } = header;
    let plan = Plan { name, kind, over, longest_s, program, points };
    plan_validation::validate(&plan)?;
    Ok(plan)
}

/// Returns the error for invalid TOML, with its line number.
fn syntax_error(error: &toml::de::Error, text: &str) -> PlanError {
    let start = error.span().map_or(0, |span| span.start).min(text.len());
    let newlines_before = text.as_bytes()[..start].iter().filter(|byte| **byte == b'\n').count();
    PlanError::new(
        format!("line {}", newlines_before + 1),
        format!("expected TOML: {}", one_line(error.message())),
    )
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

fn take_base(table: &mut Table) -> Result<Table, PlanError> {
    match table.remove("base") {
        None => Ok(Table::new()),
        Some(value) => as_table("base", value),
    }
}

fn take_points(table: &mut Table) -> Result<Vec<Table>, PlanError> {
    let missing = || PlanError::new("points", "missing, expected at least one [[points]]");
    let Some(Value::Array(values)) = table.remove("points") else { return Err(missing()) };
    let mut tables = Vec::new();
    for (number, value) in values.into_iter().enumerate() {
        tables.push(as_table(&format!("points[{number}]"), value)?);
    }
    if tables.is_empty() {
        return Err(missing());
    }
    Ok(tables)
}

fn as_table(path: &str, value: Value) -> Result<Table, PlanError> {
    match value {
        Value::Table(table) => Ok(table),
        other => Err(PlanError::new(path, format!("expected a table, got {}", other.type_str()))),
    }
}

fn read_point(number: usize, overrides: Table, base: &Table) -> Result<Point, PlanError> {
    let mut merged = base.clone();
    merged.extend(overrides.clone());
    deserialize_value(Value::Table(merged), |key| {
        let first = key.split(['.', '[']).next().unwrap_or(key);
        if base.contains_key(first) && !overrides.contains_key(first) {
            format!("base.{key}")
        } else {
            format!("points[{number}].{key}")
        }
    })
}

/// Deserializes a value. `full_path` converts a path inside the value to one from the top level of the file.
fn deserialize_value<T: DeserializeOwned>(
    value: Value, full_path: impl Fn(&str) -> String,
) -> Result<T, PlanError> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let text = one_line(error.inner().message());
        if let Some(field) = missing_field(&text) {
            let inner_path = if path == "." { field.to_string() } else { format!("{path}.{field}") };
            return PlanError::new(full_path(&inner_path), "missing, expected a value");
        }
        if text.starts_with("unknown field") {
            return PlanError::new(full_path(&path), format!("expected a known key: {text}"));
        }
        PlanError::new(full_path(&path), format!("expected a valid value: {text}"))
    })
}

/// Returns the field name from the deserializer's message about a missing field.
fn missing_field(text: &str) -> Option<&str> {
    let (_, rest) = text.split_once("missing field `")?;
    rest.split('`').next()
}
