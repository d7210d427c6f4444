//! The command: reads a plan, checks that the machine bears it, runs it and prints what came of it.

use clap::Parser;
use scale_test::machine_limits::{self, MachineError, MachineResources};
use scale_test::plan::{Plan, PlanError};
use scale_test::plan_file;
use scale_test::runner::{self, Verdict};
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing::Level;

/// Exit code for a plan that cannot be run.
const INVALID_PLAN_EXIT_CODE: u8 = 2;
/// The environment variable that names the least level of log lines.
const LOG_LEVEL_VARIABLE: &str = "SCALE_LOG";

/// Plays a plan: the real proxy, hollow proxies or the bare decisions at the sizes that it names.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The plan, a TOML file.
    plan: PathBuf,
    /// Where the results go as JSON lines; `-` means standard output, in place of the table.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Only checks the plan against its form and this machine.
    #[arg(long)]
    check: bool,
}

/// Why a plan cannot be run.
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

/// The plan, if its values are sound and the machine bears it.
fn load_plan(path: &Path) -> Result<Plan, PlanLoadError> {
    let plan = plan_file::load(path)?;
    machine_limits::check(&plan, MachineResources::read()?)?;
    Ok(plan)
}
