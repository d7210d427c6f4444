//! Connects the simulator to the library. It reads the simulator's messages from standard input, passes them
//! to one [`load_balancer::Balancer`] per simulated proxy and writes the resulting actions to standard
//! output.

mod endpoint_lists;
mod error;
mod events;
mod host;
mod instances;
mod messages;
mod replies;

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

/// Handles lines until the end of the input and writes one reply per batch.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut line = String::new();
    let mut number = 0;
    let mut reply = Vec::new();
    loop {
        line.clear();
        number += 1;
        let length =
            input.read_line(&mut line).map_err(|source| AdapterError::ReadLine { number, source })?;
        if length == 0 {
            return Ok(());
        }
        let outcome = host.handle_line(line.trim_end(), &mut reply);
        match outcome.map_err(|source| AdapterError::InvalidLine { number, source })? {
            LineOutcome::BatchOpen => {}
            LineOutcome::BatchEnded => {
                let written = output.write_all(&reply).and_then(|()| output.flush());
                written.map_err(|source| AdapterError::WriteReply { number, source })?;
                reply.clear();
            }
        }
    }
}
