//! Entry point of the HTTP proxy: sets up logging, runs the proxy and returns its exit code.

mod clock;
mod config;
mod dispatcher;
mod headers;
mod memory;
mod messages;
mod reload;
mod server;
mod stall_detector;
mod startup;
mod upstream;

use startup::StartupError;
use std::process::ExitCode;

/// Environment variable that sets the minimum level of logged events.
const LOG_LEVEL_VARIABLE: &str = "BALANCER_LOG";

fn main() -> ExitCode {
    init_logging();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load-balancer-proxy: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), StartupError> {
    let config = config::load().map_err(|error| StartupError::Config(error.to_string()))?;
    startup::run(config)
}

/// Logs to standard error, at level `info` unless [`LOG_LEVEL_VARIABLE`] sets another.
fn init_logging() {
    let configured = std::env::var(LOG_LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok());
    let level = configured.unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
}
