//! The configuration of the proxy, read from the file named by `$BALANCER_CONFIG`. It contains the balancer's
//! configuration as a part of its settings.

use load_balancer::net::resource_exhaustion;
use load_balancer::wire::endpoint_list::EndpointList;
use load_balancer::wire::names::Names;
use load_balancer::wire::proxy_config::{ProxyConfigDocument, ProxySettingsDocument};
use load_balancer::wire::WireError;
use load_balancer::Micros;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

const PATH_VARIABLE: &str = "BALANCER_CONFIG";

/// Lower bound and default of [`Settings::drain_notice_limit`]: the discovery agent needs part of that time
/// to answer a call.
const MIN_DRAIN_NOTICE_LIMIT: Micros = Micros(200_000);
/// Upper bound of [`Settings::drain_notice_limit`]: the platform considers the proxy notified of a change
/// after 6 s, even if the discovery agent does not respond.
const MAX_DRAIN_NOTICE_LIMIT: Micros = Micros(4_000_000);

/// Why the configuration could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The environment variable is not set.
    #[error("{PATH_VARIABLE}: missing, expected a file name")]
    PathMissing,
    /// The file cannot be read.
    #[error("{PATH_VARIABLE}: expected a readable file, got {path}: {source}")]
    Unreadable { path: PathBuf, source: io::Error },
    /// The file is not valid JSON.
    #[error("{PATH_VARIABLE}: expected JSON in {path}: {source}")]
    NotJson { path: PathBuf, source: serde_json::Error },
    /// A key is missing or has an invalid value.
    #[error(transparent)]
    Document(#[from] WireError),
}

/// The configuration of a proxy.
pub struct ProxyConfig {
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery service; a reload may change it.
    pub discovery: SocketAddr,
    /// Seed of the balancer's random number generator.
    pub seed: u64,
    /// Number of file descriptors that the process may have open.
    pub max_file_descriptors: usize,
    /// Memory that the process may use, in megabytes; `None` if it has no limit.
    pub memory_limit_mb: Option<f64>,
    /// The last endpoint list that this proxy had before the start, if any.
    pub cached_list: Option<EndpointList>,
    /// The settings that a reload may change.
    pub settings: Arc<Settings>,
}

/// The settings that a reload may change; they are replaced as a whole.
#[derive(PartialEq)]
pub struct Settings {
    /// Incremented by each reload that changes the settings; 1 at the start.
    pub version: u64,
    /// The configuration of the balancer.
    pub balancer: load_balancer::Config,
    /// The names of the balancer's classes and tenants.
    pub names: Names,
    /// Number of requests that may be open at once; further ones are rejected without consulting the
    /// balancer.
    pub max_open_requests: usize,
    /// Time after which a backend closes an idle connection; it may close the connection earlier.
    pub backend_idle_timeout: Micros,
    /// A connection to a backend that is not established after this time counts as failed.
    pub connect_timeout: Micros,
    /// No request may be sent to a backend later than this after discovery listed it as draining. The proxy
    /// stops as soon as it learns of the drain; the limit only bounds how long a lost call to discovery may
    /// go unnoticed.
    pub drain_notice_limit: Micros,
    /// The longest deadline of any class.
    pub longest_deadline: Micros,
}

/// Reads and validates the configuration file.
pub fn load() -> Result<ProxyConfig, ConfigFileError> {
    let path = std::env::var_os(PATH_VARIABLE).ok_or(ConfigFileError::PathMissing)?;
    let path = Path::new(&path);
    let text = resource_exhaustion::retry_blocking(|| std::fs::read(path))
        .map_err(|source| ConfigFileError::Unreadable { path: path.into(), source })?;
    let document = serde_json::from_slice(&text)
        .map_err(|source| ConfigFileError::NotJson { path: path.into(), source })?;
    Ok(ProxyConfig::from(ProxyConfigDocument::from_value(&document)?))
}

impl From<ProxyConfigDocument> for ProxyConfig {
    fn from(document: ProxyConfigDocument) -> ProxyConfig {
        ProxyConfig {
            listen: document.listen,
            discovery: document.discovery,
            seed: document.seed,
            max_file_descriptors: document.max_file_descriptors as usize,
            memory_limit_mb: document.memory_limit_mb,
            cached_list: document.cached_list,
            settings: Arc::new(Settings::from(document.settings)),
        }
    }
}

impl From<ProxySettingsDocument> for Settings {
    fn from(document: ProxySettingsDocument) -> Settings {
        let drain_notice_limit = document.drain_notice_limit.unwrap_or(MIN_DRAIN_NOTICE_LIMIT);
        Settings {
            version: 1,
            balancer: document.balancer.config,
            names: document.balancer.names,
            max_open_requests: document.max_open_requests as usize,
            backend_idle_timeout: document.idle_timeout,
            connect_timeout: document.connect_timeout,
            drain_notice_limit: drain_notice_limit.clamp(MIN_DRAIN_NOTICE_LIMIT, MAX_DRAIN_NOTICE_LIMIT),
            longest_deadline: document.balancer.longest_deadline,
        }
    }
}
