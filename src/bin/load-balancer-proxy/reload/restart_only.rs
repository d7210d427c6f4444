//! Keys of the configuration that keep their values until a restart.

use crate::config::ProxyConfig;
use load_balancer::DiscoveryMode;
use std::net::SocketAddr;

/// The values that stay in force until a restart.
#[derive(Clone, Copy)]
pub struct RestartOnlySettings {
    listen: SocketAddr,
    seed: u64,
    max_file_descriptors: usize,
    /// The endpoint list is subscribed to, not pushed.
    is_subscribed: bool,
}

/// A key that keeps its value until a restart, where the file has another one.
pub(super) struct KeptKey {
    /// The key in the file.
    pub key: &'static str,
    /// The value that stays in force.
    pub value: String,
}

impl RestartOnlySettings {
    /// Those of a configuration.
    pub fn of(config: &ProxyConfig) -> RestartOnlySettings {
        RestartOnlySettings {
            listen: config.listen,
            seed: config.seed,
            max_file_descriptors: config.max_file_descriptors,
            is_subscribed: is_subscribed(config.settings.balancer.discovery),
        }
    }

    /// Whether the endpoint list may be had in this way without a restart.
    pub(super) fn allows(&self, mode: DiscoveryMode) -> bool {
        self.is_subscribed == is_subscribed(mode)
    }

    /// The keys for which another configuration has other values.
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
