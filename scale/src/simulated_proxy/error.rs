//! Why simulated proxies could not be started.

use crate::latency::HistogramError;
use crate::local_runtime::ThreadError;
use load_balancer::wire::WireError;
use load_balancer::ConfigError;

/// Why simulated proxies could not be started.
#[derive(Debug, thiserror::Error)]
pub enum SimulationError {
    /// Their latencies cannot be recorded.
    #[error(transparent)]
    Histogram(#[from] HistogramError),
    /// A thread could not be started.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// The library refused a proxy's settings.
    #[error(transparent)]
    Settings(#[from] WireError),
    /// The balancer refused a proxy's configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
}
