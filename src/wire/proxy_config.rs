//! The configuration file of the proxy.

use super::endpoint_list::EndpointList;
use super::error::WireError;
use super::object::Object;
use super::settings::{self, SettingsMessage};
use crate::units::Micros;
use serde_json::Value;
use std::net::SocketAddr;

/// Fewer descriptors leave no room for clients, backends and discovery.
const MIN_FILE_DESCRIPTORS: u32 = 64;

/// Everything that the deployment tells a proxy.
#[derive(Debug)]
pub struct ProxyConfigMessage {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The seed of the balancer's random draws.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_file_descriptors: u32,
    /// The endpoint list as this proxy last had it.
    pub cached_list: Option<EndpointList>,
    /// What may change while the proxy runs.
    pub settings: ProxySettingsMessage,
}

/// The settings of the balancer, with what only a proxy with real connections needs.
#[derive(Debug)]
pub struct ProxySettingsMessage {
    /// The settings of the balancer; its configuration is sound.
    pub balancer: SettingsMessage,
    /// Requests to a draining backend must cease this soon after it was listed so.
    pub stop_sending_within: Option<Micros>,
    /// Requests that may be open at once.
    pub max_open_requests: u32,
    /// A backend closes a connection that has been idle for this long, at the latest.
    pub idle_timeout: Micros,
    /// A connection that is not up after this time counts as failed.
    pub connect_timeout: Micros,
}

impl ProxyConfigMessage {
    /// Reads the document; unknown keys are skipped. Of several faults the first in this order is named.
    pub fn from_value(document: &Value) -> Result<ProxyConfigMessage, WireError> {
        let document = Object::root(document);
        let max_file_descriptors = document.object("limits").required("sockets")?;
        let settings = document.object("settings");
        let balancer = decode_balancer(&settings)?;
        let stop_sending_within = settings.object("rules").optional("stop_sending_within_us")?;
        let seed: &str = document.required("seed")?;
        let settings = decode_settings(&settings, balancer, stop_sending_within)?;
        let listen = decode_address(&document, "listen")?;
        let discovery = decode_address(&document, "discovery")?;
        let seed =
            u64::from_str_radix(seed, 16).map_err(|_| document.unexpected("seed", "up to 16 hex digits"))?;
        if max_file_descriptors < MIN_FILE_DESCRIPTORS {
            return Err(document.object("limits").unexpected("sockets", "at least 64"));
        }
        let cached_list =
            if document.has("known") { Some(EndpointList::decode(&document.object("known"))?) } else { None };
        Ok(ProxyConfigMessage { listen, discovery, seed, max_file_descriptors, cached_list, settings })
    }
}

/// The settings of the balancer; their configuration is sound.
fn decode_balancer(settings: &Object) -> Result<SettingsMessage, WireError> {
    let balancer = SettingsMessage::decode(settings)?;
    if let Err(error) = balancer.config.validate() {
        let WireError { path, fault } = settings::config_error(&error);
        return Err(settings.error(&path, fault));
    }
    Ok(balancer)
}

fn decode_settings(
    settings: &Object, balancer: SettingsMessage, stop_sending_within: Option<Micros>,
) -> Result<ProxySettingsMessage, WireError> {
    let limits = settings.object("limits");
    Ok(ProxySettingsMessage {
        balancer,
        stop_sending_within,
        max_open_requests: limits.required("open_cap")?,
        idle_timeout: limits.required("conn_idle_us")?,
        connect_timeout: limits.required("dial_timeout_us")?,
    })
}

fn decode_address(document: &Object, key: &str) -> Result<SocketAddr, WireError> {
    document.parsed(key, "an IP address and a port", |text| text.parse().ok())
}
