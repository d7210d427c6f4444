//! What is to be played: the plan's file, read strictly, each fault told in one line by the path of its key.

use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::fmt;
use std::path::{Path, PathBuf};
use toml::{Table, Value};

/// Why a plan was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanError {
    /// The key at fault, from the top of the file.
    pub path: String,
    /// What was expected of it.
    pub expected: String,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.expected)
    }
}

impl std::error::Error for PlanError {}

/// A fault at a key.
pub fn fault(path: impl Into<String>, expected: impl Into<String>) -> PlanError {
    PlanError { path: path.into(), expected: expected.into() }
}

/// What plays the proxies.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Processes of the real program on loopback.
    Real,
    /// Many proxies in one process: the real decisions and the real watch, no client sockets.
    Hollow,
    /// The bare decisions, no sockets at all.
    Module,
}

/// A whole plan: one slope.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Names the slope in what is printed.
    pub name: String,
    /// What plays the proxies.
    pub kind: Kind,
    /// The field of a point that the slope runs over.
    pub over: String,
    /// The longest time that the whole of it may take.
    pub longest_s: f64,
    /// The real program; beside this one where it is not told.
    pub program: Option<PathBuf>,
    /// What is played, one after the other.
    pub points: Vec<Point>,
}

/// One size of the site, and what happens on it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Point {
    /// Names the point in what is printed.
    pub label: String,
    /// Start of all random draws.
    pub seed: u64,
    /// How often the module mode is played, each time with the next seed.
    pub seeds: u32,
    /// Lines of the list.
    pub backends: u32,
    /// Sorts of machine.
    pub kinds: u32,
    /// Zones; the proxies are spread over them.
    pub zones: u32,
    /// Classes of requests.
    pub classes: u32,
    /// Customers.
    pub tenants: u32,
    /// Proxies that are played.
    pub proxies: u32,
    /// Proxies that the settings tell of; those played where it is 0.
    pub fleet: u32,
    /// Requests a second over all proxies.
    pub rate_per_s: f64,
    /// Connections that the clients of one real proxy may hold.
    pub connections: u32,
    /// A client's patience.
    pub deadline_ms: u64,
    /// Mean time for which a backend works on a request.
    pub service_ms: f64,
    /// Requests a second that a warm backend can serve: what its limit while cold counts from.
    pub capacity_per_s: f64,
    /// Descriptors of a real proxy.
    pub sockets: u32,
    /// Proxies start with the list in their settings.
    pub known: bool,
    /// The longest wait until all proxies are ready.
    pub ready_s: f64,
    /// Nothing is asked for so long: processor time at rest.
    pub rest_s: f64,
    /// The list changes for so long with no load: processor time for each line.
    pub change_s: f64,
    /// Lines that change a second in that time.
    pub changes_per_s: f64,
    /// Requests come for so long.
    pub load_s: f64,
    /// A send to a backend later than the rule's time plus this after it began to drain is a fault.
    pub drain_slack_s: f64,
    /// The service that tells the list.
    pub discovery: Service,
    /// What happens, counted from the first request.
    pub events: Vec<Happening>,
}

impl Default for Point {
    fn default() -> Point {
        Point {
            label: String::new(),
            seed: 1,
            seeds: 5,
            backends: 0,
            kinds: 4,
            zones: 2,
            classes: 3,
            tenants: 6,
            proxies: 1,
            fleet: 0,
            rate_per_s: 200.0,
            connections: 256,
            deadline_ms: 2_000,
            service_ms: 10.0,
            capacity_per_s: 50.0,
            sockets: 2_048,
            known: false,
            ready_s: 10.0,
            rest_s: 5.0,
            change_s: 5.0,
            changes_per_s: 100.0,
            load_s: 10.0,
            drain_slack_s: 2.0,
            discovery: Service::default(),
            events: Vec::new(),
        }
    }
}

/// The service that tells the list: it handles calls one after another.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// An agent beside each proxy, whose calls cost nothing to anybody else (`automatic`), or one service that
    /// all proxies ask (`subscribe`).
    pub mode: Mode,
    /// Work for a call.
    pub call_us: u64,
    /// Work for each line of an answer.
    pub line_us: f64,
    /// Calls that may stand in its queue; more are refused.
    pub queue: usize,
}

/// How the settings say that the list comes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Pushed.
    Automatic,
    /// Asked for.
    Subscribe,
}

impl Default for Service {
    fn default() -> Service {
        Service { mode: Mode::Subscribe, call_us: 200, line_us: 0.0, queue: 1_024 }
    }
}

/// Something that happens while requests come.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Happening {
    /// When, from the first request.
    pub at_s: f64,
    /// What.
    pub what: What,
    /// For how long, where it lasts.
    #[serde(default)]
    pub for_s: f64,
    /// How many lines of the list it is about, over all its time; 0 means all.
    #[serde(default)]
    pub lines: u32,
}

/// What may happen.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum What {
    /// Backends drain, go and start again, cold, spread evenly over the time.
    Release,
    /// Discovery refuses calls.
    Refuse,
    /// Discovery takes calls and says nothing.
    Silence,
    /// Discovery is down.
    Down,
    /// Discovery moves to another port; the settings' files are replaced and SIGHUP is sent.
    Reload,
    /// All proxies end and come back at once, without a list.
    Return,
}

/// What stands beside the points.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Head {
    name: String,
    kind: Kind,
    over: String,
    longest_s: f64,
    #[serde(default)]
    program: Option<PathBuf>,
}

/// Reads a plan's file and checks every value in it.
pub fn load(path: &Path) -> Result<Plan, PlanError> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| fault(path.display().to_string(), format!("expected a readable plan: {e}")))?;
    parse(&text)
}

/// Reads a plan: `[base]` holds for each of `[[points]]` unless that says otherwise.
pub fn parse(text: &str) -> Result<Plan, PlanError> {
    let mut table: Table = text.parse().map_err(|e| syntax(&e, text))?;
    let base = take_table(&mut table, "base")?;
    let points = take_points(&mut table)?;
    let head: Head = read(Value::Table(table), |key| key.to_string())?;
    let merged = points.into_iter().enumerate().map(|(i, own)| point(i, own, &base));
    let points = merged.collect::<Result<Vec<Point>, PlanError>>()?;
    let Head { name, kind, over, longest_s, program } = head;
    let plan = Plan { name, kind, over, longest_s, program, points };
    crate::bounds::values(&plan)?;
    Ok(plan)
}

/// A fault of the form, by its line.
fn syntax(error: &toml::de::Error, text: &str) -> PlanError {
    let at = error.span().map_or(0, |span| span.start).min(text.len());
    let line = text.as_bytes()[..at].iter().filter(|b| **b == b'\n').count() + 1;
    fault(format!("line {line}"), format!("expected TOML: {}", one_line(error.message())))
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

fn take_table(table: &mut Table, key: &str) -> Result<Table, PlanError> {
    match table.remove(key) {
        None => Ok(Table::new()),
        Some(Value::Table(inner)) => Ok(inner),
        Some(other) => Err(fault(key, format!("expected a table, got {}", other.type_str()))),
    }
}

fn take_points(table: &mut Table) -> Result<Vec<Table>, PlanError> {
    let expected = || fault("points", "missing, expected one [[points]] at least");
    let Some(Value::Array(items)) = table.remove("points") else { return Err(expected()) };
    let tables = items.into_iter().enumerate().map(|(i, item)| match item {
        Value::Table(inner) => Ok(inner),
        other => Err(fault(format!("points[{i}]"), format!("expected a table, got {}", other.type_str()))),
    });
    let tables = tables.collect::<Result<Vec<Table>, PlanError>>()?;
    if tables.is_empty() {
        return Err(expected());
    }
    Ok(tables)
}

fn point(number: usize, own: Table, base: &Table) -> Result<Point, PlanError> {
    let named = |key: &str| {
        let first = key.split(['.', '[']).next().unwrap_or(key);
        match base.contains_key(first) && !own.contains_key(first) {
            true => format!("base.{key}"),
            false => format!("points[{number}].{key}"),
        }
    };
    let mut whole = base.clone();
    whole.extend(own.clone());
    read(Value::Table(whole), named)
}

/// Reads a value; `named` makes the path from the top of the file out of one inside the value.
fn read<T: DeserializeOwned>(value: Value, named: impl Fn(&str) -> String) -> Result<T, PlanError> {
    serde_path_to_error::deserialize(value).map_err(|e| {
        let (path, text) = (e.path().to_string(), one_line(e.inner().message()));
        let key = |rest: &str| rest.split('`').next().unwrap_or(rest).to_string();
        let joined = |key: &str| if path == "." { key.to_string() } else { format!("{path}.{key}") };
        match text.split_once("missing field `") {
            Some((_, rest)) => fault(named(&joined(&key(rest))), "missing, expected a value"),
            None if text.starts_with("unknown field") => {
                fault(named(&path), format!("expected no such key: {text}"))
            }
            None => fault(named(&path), format!("expected another value: {text}")),
        }
    })
}
