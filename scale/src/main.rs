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
const BAD_PLAN: u8 = 2;
/// The environment variable that names the least level of log lines.
const LOG_LEVEL: &str = "SCALE_LOG";

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
enum UnacceptablePlan {
    #[error(transparent)]
    Plan(#[from] PlanError),
    #[error(transparent)]
    Machine(#[from] MachineError),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    start_log();
    let plan = match read_plan(&arguments.plan) {
        Ok(plan) => plan,
        Err(error) => return fail(error, ExitCode::from(BAD_PLAN)),
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match runner::run(&plan, arguments.json.as_deref()) {
        Ok(Verdict::Passed) => ExitCode::SUCCESS,
        Ok(Verdict::Failed) => fail("a check failed", ExitCode::FAILURE),
        Err(error) => fail(error, ExitCode::FAILURE),
    }
}

fn start_log() {
    let level = std::env::var(LOG_LEVEL).ok().and_then(|level| level.parse().ok()).unwrap_or(Level::ERROR);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
}

fn fail(reason: impl Display, code: ExitCode) -> ExitCode {
    eprintln!("scale-test: {reason}");
    code
}

/// The plan, if its values are sound and the machine bears it.
fn read_plan(path: &Path) -> Result<Plan, UnacceptablePlan> {
    let plan = plan_file::load(path)?;
    machine_limits::check(&plan, MachineResources::read()?)?;
    Ok(plan)
}
