//! Stand-ins for clients, backends and discovery, and the cases that use them. `CASE RECORD` runs one case;
//! the exit code is 0 if the rule held, 1 if it was broken and 2 if the case could not run. With `TROUBLE=0`
//! in the environment a case leaves the disruption out.

mod backend;
mod crowd;
mod http;
mod pipeline;
mod platform;
mod second_answer;

use platform::{Failure, Record};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::from(0),
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the case; returns whether the rule held.
fn run() -> Result<bool, Failure> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = &arguments[..] else { return Err("usage: stand-in CASE RECORD".into()) };
    let record = Record::create(record)?;
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match case.as_str() {
        "second-answer" => second_answer::run(&record, trouble),
        "pipeline-late" => pipeline::run_late(&record, trouble),
        "pipeline-long" => pipeline::run_long(&record, trouble),
        "pipeline-term" => pipeline::run_term(&record, trouble),
        "crowd" => crowd::run(&record, trouble),
        _ => Err("unknown case".into()),
    }
}
