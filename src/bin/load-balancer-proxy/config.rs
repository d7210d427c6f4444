//! The configuration of the proxy (not of the balancer, which is a part of its settings), from the file that
//! `$BALANCER_CONFIG` names.

use load_balancer::net::resource_exhaustion;
use load_balancer::wire::endpoint_list::EndpointList;
use load_balancer::wire::names::Names;
use load_balancer::wire::proxy_config::{ProxyConfigMessage, ProxySettingsMessage};
use load_balancer::wire::WireError;
use load_balancer::Micros;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

const PATH_VARIABLE: &str = "BALANCER_CONFIG";

/// The least time for ceasing to send that the watch goes by: its agent needs some of it to answer.
const MIN_STOP_SENDING: Micros = Micros(200_000);
/// The greatest: what a silent agent has to report counts as notified after 6 s in any case.
const MAX_STOP_SENDING: Micros = Micros(4_000_000);

/// Why there is no configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The environment names no file.
    #[error("{PATH_VARIABLE}: missing, expected a file name")]
    PathMissing,
    /// The file cannot be read.
    #[error("{PATH_VARIABLE}: expected a readable file, got {path}: {source}")]
    Unreadable { path: PathBuf, source: io::Error },
    /// The file is no JSON document.
    #[error("{PATH_VARIABLE}: expected JSON in {path}: {source}")]
    NotJson { path: PathBuf, source: serde_json::Error },
    /// A key is at fault.
    #[error(transparent)]
    Document(#[from] WireError),
}

/// Everything that the deployment tells a proxy.
pub struct ProxyConfig {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is; it may move while the proxy runs.
    pub discovery: SocketAddr,
    /// The seed of the balancer's random draws.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_file_descriptors: usize,
    /// The endpoint list as this proxy last had it.
    pub cached_list: Option<EndpointList>,
    /// What may change while the proxy runs.
    pub settings: Arc<Settings>,
}

/// What may change while the proxy runs; it is replaced as a whole.
#[derive(PartialEq)]
pub struct Settings {
    /// Counts those in force since the start, from 1.
    pub version: u64,
    /// The configuration of the balancer.
    pub balancer: load_balancer::Config,
    /// The names of its classes and tenants.
    pub names: Names,
    /// Requests that may be open at once; more are rejected before the balancer hears of them.
    pub max_open_requests: usize,
    /// A backend closes a connection that has been idle for this long, at the latest.
    pub idle_timeout: Micros,
    /// A connection that is not up after this time counts as failed.
    pub connect_timeout: Micros,
    /// Requests to a draining backend must cease this soon after it was listed so. They cease at once; the
    /// limit only bounds how long a lost call to discovery may go unnoticed.
    pub drain_notice_limit: Micros,
    /// The longest time that a client waits.
    pub longest_deadline: Micros,
}

/// Reads the file.
pub fn load() -> Result<ProxyConfig, ConfigFileError> {
    let path = std::env::var_os(PATH_VARIABLE).ok_or(ConfigFileError::PathMissing)?;
    let path = Path::new(&path);
    let text = resource_exhaustion::retry_blocking(|| std::fs::read(path))
        .map_err(|source| ConfigFileError::Unreadable { path: path.into(), source })?;
    let document = serde_json::from_slice(&text)
        .map_err(|source| ConfigFileError::NotJson { path: path.into(), source })?;
    Ok(ProxyConfig::from(ProxyConfigMessage::from_value(&document)?))
}

impl From<ProxyConfigMessage> for ProxyConfig {
    fn from(message: ProxyConfigMessage) -> ProxyConfig {
        ProxyConfig {
            listen: message.listen,
            discovery: message.discovery,
            seed: message.seed,
            max_file_descriptors: message.max_file_descriptors as usize,
            cached_list: message.cached_list,
            settings: Arc::new(Settings::from(message.settings)),
        }
    }
}

impl From<ProxySettingsMessage> for Settings {
    fn from(message: ProxySettingsMessage) -> Settings {
        let drain_notice_limit = message.stop_sending_within.unwrap_or(MIN_STOP_SENDING);
        Settings {
            version: 1,
            balancer: message.balancer.config,
            names: message.balancer.names,
            max_open_requests: message.max_open_requests as usize,
            idle_timeout: message.idle_timeout,
            connect_timeout: message.connect_timeout,
            drain_notice_limit: drain_notice_limit.clamp(MIN_STOP_SENDING, MAX_STOP_SENDING),
            longest_deadline: message.balancer.longest_deadline,
        }
    }
}
