//! What one point gave: measured figures, and checks of what has to hold.

/// Something that has to hold.
#[derive(Clone, Debug)]
pub struct Check {
    /// What.
    pub name: &'static str,
    /// Whether it does.
    pub passed: bool,
    /// What was seen.
    pub observed: String,
}

/// A measured figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// Its name, with the unit at the end.
    pub name: &'static str,
    /// Its value; none where it was not measured.
    pub value: Option<f64>,
}

impl Figure {
    /// A figure that may not have been measured.
    pub fn new(name: &'static str, value: Option<f64>) -> Figure {
        Figure { name, value }
    }

    /// A number of things.
    pub fn count(name: &'static str, count: u64) -> Figure {
        Figure { name, value: Some(count as f64) }
    }
}

/// What one point gave.
#[derive(Clone, Debug)]
pub struct PointResult {
    /// Its name, where it has one.
    pub label: String,
    /// Its size along the field that the plan runs over.
    pub size: f64,
    /// What was measured.
    pub figures: Vec<Figure>,
    /// What has to hold.
    pub checks: Vec<Check>,
}

impl PointResult {
    /// The value of a figure by its name.
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.figures.iter().find(|figure| figure.name == name).and_then(|figure| figure.value)
    }

    /// Whether every check holds.
    pub fn passed(&self) -> bool {
        self.checks.iter().all(|check| check.passed)
    }
}
