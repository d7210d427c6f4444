//! Configuration keys whose changes take effect only after a restart.

use crate::config::ProxyConfig;
use load_balancer::DiscoveryMode;
use std::net::SocketAddr;

/// The values of the keys that need a restart to change.
#[derive(Clone, Copy)]
pub struct RestartOnlySettings {
    listen: SocketAddr,
    seed: u64,
    max_file_descriptors: usize,
    memory_limit_mb: Option<f64>,
    /// Whether the endpoint list is subscribed to, rather than pushed.
    is_subscribed: bool,
}

/// A key that keeps its value until a restart although the file has a different one.
pub(super) struct KeptKey {
    /// Path of the key in the file.
    pub key: &'static str,
    /// The value that is kept.
    pub value: String,
}

impl RestartOnlySettings {
    /// Returns the restart-only settings of a configuration.
    pub fn of(config: &ProxyConfig) -> RestartOnlySettings {
        RestartOnlySettings {
            listen: config.listen,
            seed: config.seed,
            max_file_descriptors: config.max_file_descriptors,
            memory_limit_mb: config.memory_limit_mb,
            is_subscribed: is_subscribed(config.settings.balancer.discovery),
        }
    }

    /// Whether a reload may switch to this discovery mode.
    pub(super) fn allows(&self, mode: DiscoveryMode) -> bool {
        self.is_subscribed == is_subscribed(mode)
    }

    /// Returns the keys whose values differ in `other`, with the values that are kept.
    pub(super) fn kept_keys(&self, other: &RestartOnlySettings) -> Vec<KeptKey> {
        let mut kept = Vec::new();
        let mut keep = |key, value| kept.push(KeptKey { key, value });
        if self.listen != other.listen {
            keep("listen", self.listen.to_string());
        }
        if self.seed != other.seed {
            keep("seed", format!("{:016x}", self.seed));
        }
        if self.max_file_descriptors != other.max_file_descriptors {
            keep("limits.sockets", self.max_file_descriptors.to_string());
        }
        if self.memory_limit_mb != other.memory_limit_mb {
            keep(
                "limits.memory_mb",
                self.memory_limit_mb.map_or("none".to_string(), |limit| limit.to_string()),
            );
        }
        if self.is_subscribed != other.is_subscribed {
            let mode = if self.is_subscribed { "subscribe" } else { "automatic" };
            keep("settings.discovery", mode.to_string());
        }
        kept
    }
}

fn is_subscribed(mode: DiscoveryMode) -> bool {
    mode != DiscoveryMode::Push
}
