//! The command: reads a plan, checks that the machine bears it, plays it and prints what came of it.
#![forbid(unsafe_code)]

use clap::Parser;
use scale_test::plan::{Kind, Plan};
use scale_test::point_result::PointResult;
use scale_test::{balancer_point, machine_limits, plan_file, real_point, report, simulated_point};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

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
    let level = std::env::var("SCALE_LOG").ok().and_then(|l| l.parse().ok()).unwrap_or(tracing::Level::ERROR);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    let told = |text: String, code: ExitCode| {
        eprintln!("scale-test: {text}");
        code
    };
    let plan = match accept(&arguments.plan) {
        Ok(plan) => plan,
        Err(text) => return told(text, ExitCode::from(BAD_PLAN)),
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match play(&plan, arguments.json.as_deref()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => told("a check failed".into(), ExitCode::FAILURE),
        Err(text) => told(text, ExitCode::FAILURE),
    }
}

/// The plan, if it is sound and the machine bears it.
fn accept(path: &Path) -> Result<Plan, String> {
    let plan = plan_file::load(path).map_err(|e| e.to_string())?;
    let machine = machine_limits::MachineResources::read().map_err(|e| e.to_string())?;
    machine_limits::check(&plan, machine).map_err(|e| e.to_string())?;
    Ok(plan)
}

/// Plays all points; whether every check holds. What was started ends with the future that holds it, and so also
/// where a signal or the plan's time puts an end to it.
fn play(plan: &Plan, json: Option<&Path>) -> Result<bool, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
        tokio::select! {
            rows = points(plan, json) => finish(plan, json, &rows?),
            _ = terminate.recv() => Err("ended by SIGTERM".into()),
            _ = interrupt.recv() => Err("ended by SIGINT".into()),
            () = tokio::time::sleep(Duration::from_secs_f64(plan.longest_s)) => {
                Err(format!("longest_s: {} s are over", plan.longest_s))
            }
        }
    })
}

/// Plays the points one after the other; each is told as JSON as soon as it is done.
async fn points(plan: &Plan, json: Option<&Path>) -> Result<Vec<PointResult>, String> {
    let mut sink = json.map(sink).transpose()?;
    let program = (plan.kind == Kind::Real)
        .then(|| real_point::find_program(plan.program.as_deref()).map_err(|e| e.to_string()))
        .transpose()?;
    let folder = real_point::WorkDirectory::create().map_err(|e| e.to_string())?;
    let mut rows = Vec::new();
    for (number, point) in plan.points.iter().enumerate() {
        let row = match &program {
            Some(program) => real_point::run(point, program, &folder).await.map_err(|e| e.to_string())?,
            None if plan.kind == Kind::Balancer => balancer_point::run(point).map_err(|e| e.to_string())?,
            None => simulated_point::run(point).await.map_err(|e| e.to_string())?,
        };
        let row = PointResult { size: point.size(&plan.over).unwrap_or(0.0), ..row };
        if let Some(sink) = &mut sink {
            writeln!(sink, "{}", report::json_line(plan, number, &row)).map_err(|e| format!("json: {e}"))?;
        }
        rows.push(row);
    }
    Ok(rows)
}

/// Where JSON lines go.
fn sink(path: &Path) -> Result<Box<dyn Write>, String> {
    if path == Path::new("-") {
        return Ok(Box::new(std::io::stdout()));
    }
    let file = std::fs::File::create(path).map_err(|e| format!("json: {}: {e}", path.display()))?;
    Ok(Box::new(file))
}

fn finish(plan: &Plan, json: Option<&Path>, rows: &[PointResult]) -> Result<bool, String> {
    if json != Some(Path::new("-")) {
        print!("{}", report::table(plan, rows));
    }
    Ok(rows.iter().all(PointResult::passed))
}
