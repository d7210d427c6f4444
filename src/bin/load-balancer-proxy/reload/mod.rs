//! SIGHUP: the configuration is read and checked beside the requests and comes into force in one step.
//!
//! A setting that may change while the proxy runs is held by the server (requests are parsed by it), the
//! dispatcher (which passes it on to the connection pool and the balancer) and, for calls to discovery, the
//! watch's settings. What needs a restart is listed in `restart_only`.

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

/// The settings that the watch on discovery depends on.
pub fn watch_settings(settings: &Settings) -> WatchSettings {
    WatchSettings {
        connect_timeout: duration(settings.connect_timeout),
        drain_notice_limit: duration(settings.drain_notice_limit),
        fleet_position: settings.balancer.fleet_position(),
    }
}

/// Puts the configuration in force anew after each SIGHUP.
pub struct Reloader {
    /// What stays in force until a restart.
    pub restart_only: RestartOnlySettings,
    /// Holds the settings in force and reaches the dispatcher.
    pub server: Rc<Server>,
    /// Where the watch reads the address of discovery.
    pub discovery_address: watch::Sender<SocketAddr>,
    /// Where the watch reads its settings.
    pub watch_settings: Rc<Cell<WatchSettings>>,
}

impl Reloader {
    /// Reloads one configuration after another. Signals during a reload bring one more after it: the last
    /// file wins.
    pub async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.read().await {
                Ok(loaded) => self.put_in_force(loaded),
                Err(error) => tracing::error!(%error, "SIGHUP: configuration rejected"),
            }
        }
    }

    /// Reads the configuration on a thread that neither requests nor the end of the process wait for.
    async fn read(&self) -> Result<LoadedConfig, ReloadError> {
        let spawn = || config_reader::spawn(self.restart_only, self.server.settings());
        let loaded = resource_exhaustion::retry(spawn).await.map_err(ReloadError::ThreadStart)?;
        loaded.await.map_err(|_| ReloadError::ThreadEnded)?
    }

    /// Runs without an await point and sends the dispatcher its message in turn: each request finds one
    /// configuration.
    fn put_in_force(&self, loaded: LoadedConfig) {
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
            self.replace_settings(new_settings, loaded.retired);
        }
        let settings = self.server.settings();
        let (version, balancer) = (settings.version, &settings.balancer);
        let (classes, tenants) = (balancer.classes.len(), balancer.tenants.len());
        tracing::info!(version, classes, tenants, "SIGHUP: configuration in force");
    }

    fn replace_settings(&self, new_settings: NewSettings, retired: SyncSender<Arc<Settings>>) {
        let NewSettings { settings, update } = new_settings;
        self.watch_settings.set(watch_settings(&settings));
        let replaced = self.server.replace_settings(settings.clone());
        let _ = retired.send(replaced);
        let replacement = SettingsReplacement { settings, update, retired };
        self.server.notify_dispatcher(DispatcherMessage::SettingsReplaced(replacement));
    }
}
