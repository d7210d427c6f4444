//! Errors of simulated proxies.

use crate::latency::HistogramError;
use crate::local_runtime::ThreadError;
use load_balancer::wire::WireError;
use load_balancer::ConfigError;

/// Error while starting simulated proxies.
#[derive(Debug, thiserror::Error)]
pub enum SimulationError {
    /// A latency histogram could not be created.
    #[error(transparent)]
    Histogram(#[from] HistogramError),
    /// A thread could not be started.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// The library rejected a proxy's settings.
    #[error(transparent)]
    Settings(#[from] WireError),
    /// The balancer rejected a proxy's configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
}
