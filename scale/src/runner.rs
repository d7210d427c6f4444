//! Runs the points of a plan one after the other and prints what came of them.

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

/// As the file of JSON lines: standard output.
const STANDARD_OUTPUT: &str = "-";

/// Whether what has to hold did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Every check holds.
    Passed,
    /// A check failed.
    Failed,
}

/// Why a plan was not run to its end.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// No runtime.
    #[error("runtime: {0}")]
    Runtime(io::Error),
    /// A signal cannot be received.
    #[error("{name}: {source}")]
    SignalHandler {
        /// Name of the signal.
        name: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A signal ended it.
    #[error("ended by {0}")]
    Interrupted(&'static str),
    /// The plan's time is over.
    #[error("longest_s: {seconds} s are over")]
    TimedOut {
        /// The plan's time.
        seconds: f64,
    },
    /// The file of JSON lines could not be made.
    #[error("json: {}: {source}", path.display())]
    JsonFile {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A JSON line could not be written.
    #[error("json: {0}")]
    JsonLine(io::Error),
    /// The real proxy was not found.
    #[error(transparent)]
    Program(#[from] ProgramError),
    /// There is no place for configuration files.
    #[error(transparent)]
    WorkDirectory(#[from] WorkDirectoryError),
    /// A point with real proxies could not be run.
    #[error(transparent)]
    RealPoint(#[from] RealPointError),
    /// A point with simulated proxies could not be run.
    #[error(transparent)]
    SimulatedPoint(#[from] SimulatedPointError),
    /// A point with bare decisions could not be run.
    #[error(transparent)]
    BalancerPoint(#[from] BalancerPointError),
}

/// Runs all points. Results go as JSON lines to the file `json`, `-` for standard output, which then takes no
/// table. All that was started ends with the future that holds it, also where a signal or the plan's time
/// ends that.
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

/// Each result is written as JSON as soon as it is there.
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

/// What the points of a plan are run with.
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
