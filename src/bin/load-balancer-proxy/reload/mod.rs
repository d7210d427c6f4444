//! Configuration reload on SIGHUP: the file is read and validated on a separate thread and applied in one
//! step.
//!
//! A reload changes the settings of the server, which parses requests with them, of the discovery watch and
//! of the dispatcher. The dispatcher passes them on to the connection pool and the balancer. The keys that
//! need a restart are listed in `restart_only`.

mod config_reader;
mod restart_only;

pub use restart_only::RestartOnlySettings;

use crate::clock::duration;
use crate::config::Settings;
use crate::messages::{DispatcherMessage, SettingsReplacement};
use crate::server::Server;
use config_reader::{LoadedConfig, NewSettings, ReloadError};
use load_balancer::discovery::WatchSettings;
use load_balancer::net::resource_exhaustion;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Returns the settings that the discovery watch depends on.
pub fn watch_settings(settings: &Settings) -> WatchSettings {
    WatchSettings {
        connect_timeout: duration(settings.connect_timeout),
        drain_notice_limit: duration(settings.drain_notice_limit),
        fleet_position: settings.balancer.fleet_position(),
    }
}

/// Reloads the configuration on each SIGHUP.
pub struct Reloader {
    /// Settings that stay the same until a restart.
    pub restart_only: RestartOnlySettings,
    /// Owns the current settings and the channel to the dispatcher.
    pub server: Rc<Server>,
    /// Sends the address of the discovery service to the watch.
    pub discovery_address: watch::Sender<SocketAddr>,
    /// Settings of the watch, which reads them for each call.
    pub watch_settings: Rc<Cell<WatchSettings>>,
}

impl Reloader {
    /// Reloads the configuration after each signal, one reload at a time. Signals received during a reload
    /// are coalesced into one further reload, so the last file wins.
    pub async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.read().await {
                Ok(loaded) => self.apply(loaded),
                Err(error) => tracing::error!(%error, "SIGHUP: configuration rejected"),
            }
        }
    }

    /// Reads the configuration on a thread that blocks neither requests nor the exit of the process.
    async fn read(&self) -> Result<LoadedConfig, ReloadError> {
        let spawn = || config_reader::spawn(self.restart_only, self.server.settings());
        let loaded = resource_exhaustion::retry(spawn).await.map_err(ReloadError::ThreadStart)?;
        loaded.await.map_err(|_| ReloadError::ThreadEnded)?
    }

    /// Applies a configuration. Each request is handled under a single configuration, because there is no
    /// await point and the dispatcher receives the new settings in order with the requests.
    fn apply(&self, loaded: LoadedConfig) {
        for kept in loaded.kept_keys {
            tracing::warn!(key = %kept.key, value = %kept.value, "SIGHUP: key needs a restart");
        }
        tracing::info!(address = %loaded.discovery, "SIGHUP: discovery in force");
        self.discovery_address.send_if_modified(|address| {
            let is_modified = *address != loaded.discovery;
            *address = loaded.discovery;
            is_modified
        });
        if let Some(new_settings) = loaded.new_settings {
            self.replace_settings(new_settings, loaded.replaced_settings_sender);
        }
        let settings = self.server.settings();
        let (version, balancer) = (settings.version, &settings.balancer);
        let (classes, tenants) = (balancer.classes.len(), balancer.tenants.len());
        tracing::info!(version, classes, tenants, "SIGHUP: configuration in force");
    }

    fn replace_settings(
        &self, new_settings: NewSettings, replaced_settings_sender: SyncSender<Arc<Settings>>,
    ) {
        let NewSettings { settings, update } = new_settings;
        self.watch_settings.set(watch_settings(&settings));
        let replaced = self.server.replace_settings(settings.clone());
        let _ = replaced_settings_sender.send(replaced);
        let replacement = SettingsReplacement { settings, update, replaced_settings_sender };
        self.server.notify_dispatcher(DispatcherMessage::SettingsReplaced(replacement));
    }
}
