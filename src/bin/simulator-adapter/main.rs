//! Speaks the simulator's protocol on standard input and output, with one [`load_balancer::Balancer`] per
//! instance. Translation only; every decision is the library's.

mod error;
mod events;
mod host;
mod instances;
mod messages;
mod replies;
mod rosters;

use error::AdapterError;
use host::{Host, LineOutcome};
use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let stdin = std::io::stdin().lock();
    let stdout = std::io::stdout().lock();
    match run(stdin, stdout) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Takes lines until the end of the input; replies once for each batch.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut line = String::new();
    let mut number = 0;
    let mut reply = Vec::new();
    loop {
        line.clear();
        number += 1;
        let length = input.read_line(&mut line).map_err(|source| AdapterError::Read { number, source })?;
        if length == 0 {
            return Ok(());
        }
        let outcome = host.handle_line(line.trim_end(), &mut reply);
        match outcome.map_err(|source| AdapterError::Line { number, source })? {
            LineOutcome::BatchOpen => {}
            LineOutcome::BatchEnded => {
                let written = output.write_all(&reply).and_then(|()| output.flush());
                written.map_err(|source| AdapterError::Reply { number, source })?;
                reply.clear();
            }
        }
    }
}
