//! Decodes the configuration file of the proxy.

use super::endpoint_list::EndpointList;
use super::error::WireError;
use super::object::Object;
use super::settings::{self, SettingsDocument};
use crate::units::Micros;
use serde_json::Value;
use std::net::SocketAddr;

/// Smallest accepted limit of file descriptors; fewer leave no room for clients, backends and discovery.
const MIN_FILE_DESCRIPTORS: u32 = 64;

/// The configuration file of a proxy.
#[derive(Debug)]
pub struct ProxyConfigDocument {
    /// Address at which the proxy listens for clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the balancer's random number generator.
    pub seed: u64,
    /// Number of file descriptors that the process may have open, at least 64.
    pub max_file_descriptors: u32,
    /// Memory that the process may use, in megabytes; `None` if the file has no limit.
    pub memory_limit_mb: Option<f64>,
    /// The last endpoint list of the proxy before this start; `None` if the file has none.
    pub cached_list: Option<EndpointList>,
    /// Settings that a reload may change.
    pub settings: ProxySettingsDocument,
}

/// Settings of the balancer and of the proxy's connections.
#[derive(Debug)]
pub struct ProxySettingsDocument {
    /// Settings of the balancer; their configuration is validated.
    pub balancer: SettingsDocument,
    /// Time within which requests to a backend must stop after discovery lists it as draining. `None` if the
    /// file does not set it.
    pub drain_notice_limit: Option<Micros>,
    /// Maximum number of requests that are open at the same time.
    pub max_open_requests: u32,
    /// Longest time that a backend keeps an idle connection open; it may close the connection earlier.
    pub idle_timeout: Micros,
    /// Time after which a connection attempt fails.
    pub connect_timeout: Micros,
}

impl ProxyConfigDocument {
    /// Decodes the document; unknown keys are ignored. Stops at the first invalid key that it finds.
    pub fn from_value(document: &Value) -> Result<ProxyConfigDocument, WireError> {
        let document = Object::root(document);
        let max_file_descriptors = document.object("limits").required("sockets")?;
        let memory_limit_mb = document.object("limits").optional("memory_mb")?;
        let settings = document.object("settings");
        let balancer = decode_balancer(&settings)?;
        let drain_notice_limit = settings.object("rules").optional("stop_sending_within_us")?;
        let seed: &str = document.required("seed")?;
        let settings = decode_settings(&settings, balancer, drain_notice_limit)?;
        let listen = decode_address(&document, "listen")?;
        let discovery = decode_address(&document, "discovery")?;
        let seed =
            u64::from_str_radix(seed, 16).map_err(|_| document.unexpected("seed", "up to 16 hex digits"))?;
        if max_file_descriptors < MIN_FILE_DESCRIPTORS {
            return Err(document.object("limits").unexpected("sockets", "at least 64"));
        }
        let cached_list =
            if document.has("known") { Some(EndpointList::decode(&document.object("known"))?) } else { None };
        Ok(ProxyConfigDocument {
            listen,
            discovery,
            seed,
            max_file_descriptors,
            memory_limit_mb,
            cached_list,
            settings,
        })
    }
}

/// Decodes the settings of the balancer and validates their configuration.
fn decode_balancer(settings: &Object) -> Result<SettingsDocument, WireError> {
    let balancer = SettingsDocument::decode(settings)?;
    if let Err(error) = balancer.config.validate() {
        let WireError { path, fault } = settings::config_error(&error);
        return Err(settings.error(&path, fault));
    }
    Ok(balancer)
}

fn decode_settings(
    settings: &Object, balancer: SettingsDocument, drain_notice_limit: Option<Micros>,
) -> Result<ProxySettingsDocument, WireError> {
    let limits = settings.object("limits");
    Ok(ProxySettingsDocument {
        balancer,
        drain_notice_limit,
        max_open_requests: limits.required("open_cap")?,
        idle_timeout: limits.required("conn_idle_us")?,
        connect_timeout: limits.required("dial_timeout_us")?,
    })
}

fn decode_address(document: &Object, key: &str) -> Result<SocketAddr, WireError> {
    document.parse_string(key, "an IP address and a port", |text| text.parse().ok())
}
