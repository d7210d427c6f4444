//! Reads the configuration on a thread of its own, beside the requests, and compares it with what is in
//! force.

use super::restart_only::{KeptKey, RestartOnlySettings};
use crate::config::{self, Settings};
use load_balancer::ConfigUpdate;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::oneshot;

/// Holders of the settings in force: the server and the dispatcher.
const SETTINGS_HOLDERS: usize = 2;

/// Why a configuration was not read.
#[derive(Debug, Error)]
pub(super) enum ReloadError {
    /// The configuration is missing or invalid.
    #[error("{0}")]
    Config(String),
    /// The settings just read are shared already.
    #[error("settings: held elsewhere")]
    SettingsShared,
    /// The system started no thread.
    #[error("no thread to read it: {0}")]
    ThreadStart(#[source] io::Error),
    /// The thread ended without a result.
    #[error("the thread that read it ended")]
    ThreadEnded,
}

/// Settings that differ from those in force.
pub(super) struct NewSettings {
    /// The settings.
    pub settings: Arc<Settings>,
    /// What the balancer needs to go on from those in force.
    pub update: Box<ConfigUpdate>,
}

/// A valid configuration.
pub(super) struct LoadedConfig {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The keys for which it needs a restart.
    pub kept_keys: Vec<KeptKey>,
    /// `None`: the settings in force say the same.
    pub new_settings: Option<NewSettings>,
    /// Takes the settings replaced, which the thread frees.
    pub retired: SyncSender<Arc<Settings>>,
}

/// Starts the thread that reads the configuration.
pub(super) fn spawn(
    restart_only: RestartOnlySettings, current: Arc<Settings>,
) -> io::Result<oneshot::Receiver<Result<LoadedConfig, ReloadError>>> {
    let (result_sender, result) = oneshot::channel();
    let (retired_sender, retired) = sync_channel(SETTINGS_HOLDERS);
    let read = move || {
        let _ = result_sender.send(load(restart_only, &current, retired_sender));
        free_retired(current, retired);
    };
    std::thread::Builder::new().name("reload".into()).spawn(read)?;
    Ok(result)
}

/// Reads the configuration and compares it with the settings in force.
fn load(
    restart_only: RestartOnlySettings, current: &Settings, retired: SyncSender<Arc<Settings>>,
) -> Result<LoadedConfig, ReloadError> {
    let mut config = config::load().map_err(|error| ReloadError::Config(error.to_string()))?;
    let kept_keys = restart_only.kept_keys(&RestartOnlySettings::of(&config));
    let settings = Arc::get_mut(&mut config.settings).ok_or(ReloadError::SettingsShared)?;
    settings.version = current.version;
    if !restart_only.allows(settings.balancer.discovery) {
        settings.balancer.discovery = current.balancer.discovery;
    }
    let mut new_settings = None;
    if settings != current {
        settings.version += 1;
        let update = Box::new(settings.names.update(&current.names, settings.balancer.clone()));
        new_settings = Some(NewSettings { settings: config.settings, update });
    }
    Ok(LoadedConfig { discovery: config.discovery, kept_keys, new_settings, retired })
}

/// Frees the replaced settings once their holders have sent them back: on the event loop, freeing the names
/// of thousands of classes and tenants would stall it.
fn free_retired(current: Arc<Settings>, retired: Receiver<Arc<Settings>>) {
    drop(current);
    for settings in retired {
        drop(settings);
    }
}
