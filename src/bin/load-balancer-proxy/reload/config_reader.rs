//! Reads the configuration on a separate thread, so that requests are not delayed, and compares it with the
//! active one.

use super::restart_only::{KeptKey, RestartOnlySettings};
use crate::config::{self, Settings};
use load_balancer::ConfigUpdate;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::oneshot;

/// Number of components that own a reference to the current settings: the server and the dispatcher. The
/// channel for replaced settings has room for as many, so that sending does not block the event loop.
const SETTINGS_OWNERS: usize = 2;

/// Why a configuration could not be reloaded.
#[derive(Debug, Error)]
pub(super) enum ReloadError {
    /// The configuration is missing or invalid.
    #[error("{0}")]
    Config(String),
    /// The new settings are already shared and cannot be modified.
    #[error("settings: already shared before the reload finished")]
    SettingsShared,
    /// The operating system could not start a thread.
    #[error("failed to start the reload thread: {0}")]
    ThreadStart(#[source] io::Error),
    /// The thread ended without a result.
    #[error("reload thread ended without a result")]
    ThreadEnded,
}

/// Settings that differ from the current ones.
pub(super) struct NewSettings {
    /// The new settings.
    pub settings: Arc<Settings>,
    /// The change from the current to the new configuration of the balancer.
    pub update: Box<ConfigUpdate>,
}

/// A valid configuration.
pub(super) struct LoadedConfig {
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Changed keys that need a restart and keep their values until then.
    pub kept_keys: Vec<KeptKey>,
    /// `None` if the settings are the same as the current ones.
    pub new_settings: Option<NewSettings>,
    /// Sends the old settings back to the thread, which frees them.
    pub replaced_settings_sender: SyncSender<Arc<Settings>>,
}

/// Starts the thread that reads the configuration; returns the receiver of its result.
pub(super) fn spawn(
    restart_only: RestartOnlySettings, current: Arc<Settings>,
) -> io::Result<oneshot::Receiver<Result<LoadedConfig, ReloadError>>> {
    let (result_sender, result) = oneshot::channel();
    let (replaced_settings_sender, replaced_settings) = sync_channel(SETTINGS_OWNERS);
    let read = move || {
        let _ = result_sender.send(load(restart_only, &current, replaced_settings_sender));
        free_replaced_settings(current, replaced_settings);
    };
    std::thread::Builder::new().name("reload".into()).spawn(read)?;
    Ok(result)
}

/// Reads the configuration and compares it with the current settings.
fn load(
    restart_only: RestartOnlySettings, current: &Settings,
    replaced_settings_sender: SyncSender<Arc<Settings>>,
) -> Result<LoadedConfig, ReloadError> {
    let mut config = config::load().map_err(|error| ReloadError::Config(error.to_string()))?;
    let kept_keys = restart_only.kept_keys(&RestartOnlySettings::of(&config));
    let settings = Arc::get_mut(&mut config.settings).ok_or(ReloadError::SettingsShared)?;
    settings.version = current.version; // so that the comparison below ignores it
    if !restart_only.allows(settings.balancer.discovery) {
        settings.balancer.discovery = current.balancer.discovery;
    }
    let mut new_settings = None;
    if settings != current {
        settings.version += 1;
        let update = Box::new(settings.names.config_update(&current.names, settings.balancer.clone()));
        new_settings = Some(NewSettings { settings: config.settings, update });
    }
    Ok(LoadedConfig { discovery: config.discovery, kept_keys, new_settings, replaced_settings_sender })
}

/// Frees the old settings once their owners have sent them back: freeing the names of thousands of classes
/// and tenants on the event loop would stall it.
fn free_replaced_settings(current: Arc<Settings>, replaced_settings: Receiver<Arc<Settings>>) {
    drop(current);
    for settings in replaced_settings {
        drop(settings);
    }
}
