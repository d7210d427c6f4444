//! The command: reads a plan, checks that the machine bears it, plays it and prints what came of it.
#![forbid(unsafe_code)]

use beechworks_scale::{bounds, plan};
use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for a plan that cannot be played.
const BAD_PLAN: u8 = 2;

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

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let level = std::env::var("SCALE_LOG").ok().and_then(|l| l.parse().ok()).unwrap_or(tracing::Level::WARN);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    let accepted = accept(&arguments.plan);
    match accepted {
        Ok(_plan) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("beechworks-scale: {text}");
            ExitCode::from(BAD_PLAN)
        }
    }
}

/// The plan, if it is sound and the machine bears it.
fn accept(path: &std::path::Path) -> Result<plan::Plan, String> {
    let plan = plan::load(path).map_err(|e| e.to_string())?;
    bounds::machine(&plan, bounds::Machine::read()?).map_err(|e| e.to_string())?;
    Ok(plan)
}
