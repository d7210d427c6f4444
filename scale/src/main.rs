//! Command-line program: reads a plan, checks it against the machine's limits, runs it and prints the
//! results.

use clap::Parser;
use scale_test::machine_limits::{self, MachineError, MachineResources};
use scale_test::plan::{Plan, PlanError};
use scale_test::plan_file;
use scale_test::runner::{self, Verdict};
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing::Level;

/// Exit code for a plan that is invalid or exceeds the machine's limits.
const INVALID_PLAN_EXIT_CODE: u8 = 2;
/// Environment variable with the minimum level of log lines; the default is `ERROR`.
const LOG_LEVEL_VARIABLE: &str = "SCALE_LOG";

/// Runs a plan: real proxies, simulated proxies or the balancer alone, at the sizes that the plan lists.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Plan file in TOML.
    plan: PathBuf,
    /// Write the results as JSON lines to this file; `-` writes them to standard output instead of the table.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Only validate the plan and check it against the limits of this machine.
    #[arg(long)]
    check: bool,
}

/// Reason why a plan is not run.
#[derive(Debug, thiserror::Error)]
enum PlanLoadError {
    #[error(transparent)]
    Plan(#[from] PlanError),
    #[error(transparent)]
    Machine(#[from] MachineError),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    init_logging();
    let plan = match load_plan(&arguments.plan) {
        Ok(plan) => plan,
        Err(error) => return exit_with_error(error, ExitCode::from(INVALID_PLAN_EXIT_CODE)),
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match runner::run(&plan, arguments.json.as_deref()) {
        Ok(Verdict::Passed) => ExitCode::SUCCESS,
        Ok(Verdict::Failed) => exit_with_error("a check failed", ExitCode::FAILURE),
        Err(error) => exit_with_error(error, ExitCode::FAILURE),
    }
}

fn init_logging() {
    let level =
        std::env::var(LOG_LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok()).unwrap_or(Level::ERROR);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
}

fn exit_with_error(reason: impl Display, code: ExitCode) -> ExitCode {
    eprintln!("scale-test: {reason}");
    code
}

/// Reads and validates the plan and checks it against the machine's limits.
fn load_plan(path: &Path) -> Result<Plan, PlanLoadError> {
    let plan = plan_file::load(path)?;
    machine_limits::check(&plan, MachineResources::read()?)?;
    Ok(plan)
}
