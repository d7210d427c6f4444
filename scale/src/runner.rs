//! Runs the points of a plan one after the other and prints the results.

use crate::balancer_point::{self, BalancerPointError};
use crate::plan::{Plan, PlanKind, Point};
use crate::point_result::PointResult;
use crate::real_point::{self, ProgramError, RealPointError, WorkDirectory, WorkDirectoryError};
use crate::report;
use crate::simulated_point::{self, SimulatedPointError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::LocalSet;

/// Path that selects standard output as the target of the JSON lines.
const STANDARD_OUTPUT: &str = "-";

/// Outcome of the checks of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Every check passed.
    Passed,
    /// At least one check failed.
    Failed,
}

/// Error that stops a plan.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The runtime could not be created.
    #[error("cannot create the runtime: {0}")]
    Runtime(io::Error),
    /// A signal handler could not be installed.
    #[error("cannot handle {name}: {source}")]
    SignalHandler {
        /// Name of the signal.
        name: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A signal stopped the plan.
    #[error("ended by {0}")]
    Interrupted(&'static str),
    /// The plan exceeded its maximum duration.
    #[error("plan stopped after longest_s = {seconds} s")]
    TimedOut {
        /// Maximum duration of the plan, in seconds.
        seconds: f64,
    },
    /// The file for the JSON lines could not be created.
    #[error("cannot create {}: {source}", path.display())]
    JsonFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A JSON line could not be written.
    #[error("cannot write a JSON line: {0}")]
    JsonLine(io::Error),
    /// The real proxy was not found.
    #[error(transparent)]
    Program(#[from] ProgramError),
    /// The directory for configuration files could not be created.
    #[error(transparent)]
    WorkDirectory(#[from] WorkDirectoryError),
    /// A point with real proxies failed.
    #[error(transparent)]
    RealPoint(#[from] RealPointError),
    /// A point with simulated proxies failed.
    #[error(transparent)]
    SimulatedPoint(#[from] SimulatedPointError),
    /// A point with the balancer alone failed.
    #[error(transparent)]
    BalancerPoint(#[from] BalancerPointError),
}

/// Runs all points of a plan and prints the table of results. If `json` is given, also writes JSON lines to
/// that file; `-` writes them to standard output instead of the table. SIGTERM, SIGINT and the plan's maximum
/// duration stop the run and everything that it started.
pub fn run(plan: &Plan, json: Option<&Path>) -> Result<Verdict, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(RunError::Runtime)?;
    LocalSet::new().block_on(&runtime, run_until_signal(plan, json))
}

async fn run_until_signal(plan: &Plan, json: Option<&Path>) -> Result<Verdict, RunError> {
    let mut terminate = signal_handler("SIGTERM", SignalKind::terminate())?;
    let mut interrupt = signal_handler("SIGINT", SignalKind::interrupt())?;
    let results = tokio::select! {
        results = run_points(plan, json) => results?,
        _ = terminate.recv() => return Err(RunError::Interrupted("SIGTERM")),
        _ = interrupt.recv() => return Err(RunError::Interrupted("SIGINT")),
        () = tokio::time::sleep(Duration::from_secs_f64(plan.longest_s)) => {
            return Err(RunError::TimedOut { seconds: plan.longest_s });
        }
    };
    if json != Some(Path::new(STANDARD_OUTPUT)) {
        print!("{}", report::table(plan, &results));
    }
    let passed = results.iter().all(PointResult::passed);
    Ok(if passed { Verdict::Passed } else { Verdict::Failed })
}

fn signal_handler(name: &'static str, kind: SignalKind) -> Result<Signal, RunError> {
    signal(kind).map_err(|source| RunError::SignalHandler { name, source })
}

/// Runs the points in order, and writes the JSON line of each as soon as it has ended.
async fn run_points(plan: &Plan, json: Option<&Path>) -> Result<Vec<PointResult>, RunError> {
    let mut json_lines = json.map(open_json).transpose()?;
    let point_runner = PointRunner::new(plan)?;
    let mut results = Vec::new();
    for (number, point) in plan.points.iter().enumerate() {
        let mut result = point_runner.run(point).await?;
        result.size = point.size(&plan.over).unwrap_or(0.0);
        if let Some(json_lines) = &mut json_lines {
            writeln!(json_lines, "{}", report::json_line(plan, number, &result))
                .map_err(RunError::JsonLine)?;
        }
        results.push(result);
    }
    Ok(results)
}

fn open_json(path: &Path) -> Result<Box<dyn Write>, RunError> {
    if path == Path::new(STANDARD_OUTPUT) {
        return Ok(Box::new(io::stdout()));
    }
    match std::fs::File::create(path) {
        Ok(file) => Ok(Box::new(file)),
        Err(source) => Err(RunError::JsonFile { path: path.to_path_buf(), source }),
    }
}

/// Runs the points of a plan with its kind of proxies.
struct PointRunner {
    proxies: ProxyKind,
    directory: WorkDirectory,
}

enum ProxyKind {
    Real { program: PathBuf },
    Simulated,
    Balancer,
}

impl PointRunner {
    fn new(plan: &Plan) -> Result<PointRunner, RunError> {
        let proxies = match plan.kind {
            PlanKind::Real => ProxyKind::Real { program: real_point::find_program(plan.program.as_deref())? },
            PlanKind::Simulated => ProxyKind::Simulated,
            PlanKind::Balancer => ProxyKind::Balancer,
        };
        Ok(PointRunner { proxies, directory: WorkDirectory::create()? })
    }

    async fn run(&self, point: &Point) -> Result<PointResult, RunError> {
        match &self.proxies {
            ProxyKind::Real { program } => Ok(real_point::run(point, program, &self.directory).await?),
            ProxyKind::Simulated => Ok(simulated_point::run(point).await?),
            ProxyKind::Balancer => Ok(balancer_point::run(point)?),
        }
    }
}
