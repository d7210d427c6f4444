//! Result of a point: measured figures and pass/fail checks.

/// A condition that a point must meet.
#[derive(Clone, Debug)]
pub struct Check {
    /// Description of the condition.
    pub name: &'static str,
    /// Whether the condition is met.
    pub passed: bool,
    /// Measured values on which the verdict is based.
    pub observed: String,
}

/// A measured figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// Name in the report, with the unit as its suffix.
    pub name: &'static str,
    /// Value; `None` if it was not measured.
    pub value: Option<f64>,
}

impl Figure {
    /// Creates a figure that may not have been measured.
    pub fn new(name: &'static str, value: Option<f64>) -> Figure {
        Figure { name, value }
    }

    /// Creates a figure from a count.
    pub fn count(name: &'static str, count: u64) -> Figure {
        Figure { name, value: Some(count as f64) }
    }
}

/// Result of a point.
#[derive(Clone, Debug)]
pub struct PointResult {
    /// Label of the point; may be empty.
    pub label: String,
    /// Value of the field that the plan varies; set by the `runner` module.
    pub size: f64,
    /// Measured figures, in the order of the report.
    pub figures: Vec<Figure>,
    /// Checks, in the order of the report.
    pub checks: Vec<Check>,
}

impl PointResult {
    /// Returns the value of a figure; `None` if it is unknown or was not measured.
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.figures.iter().find(|figure| figure.name == name).and_then(|figure| figure.value)
    }

    /// Returns whether every check passed.
    pub fn passed(&self) -> bool {
        self.checks.iter().all(|check| check.passed)
    }
}
