//! SIGHUP: the file is read and checked on a thread of its own, beside the requests, and comes into force in one step.

use crate::clock::duration;
use crate::config::{self, Config, Settings};
use crate::messages::{DispatcherMessage, SettingsReplacement};
use crate::server::Server;
use load_balancer::discovery::WatchSettings;
use load_balancer::net::failures;
use load_balancer::{ConfigUpdate, DiscoveryMode};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use tokio::signal::unix::Signal;
use tokio::sync::{oneshot, watch};

/// Holders of the settings in force: the server and the dispatcher.
const HOLDERS: usize = 2;

/// What keeps its value until a restart.
#[derive(Clone, Copy)]
pub struct Fixed {
    listen: SocketAddr,
    seed: u64,
    sockets: usize,
    asks: bool,
}

impl Fixed {
    pub fn of(config: &Config) -> Fixed {
        let Config { listen, seed, max_file_descriptors: sockets, .. } = *config;
        Fixed { listen, seed, sockets, asks: config.settings.balancer.discovery != DiscoveryMode::Push }
    }

    /// The keys with the values that they keep, where another file has others.
    fn kept(&self, other: &Fixed) -> Vec<KeptKey> {
        let mode = |asks| if asks { "subscribe" } else { "automatic" };
        let each = [
            (self.listen == other.listen, "listen", self.listen.to_string()),
            (self.seed == other.seed, "seed", format!("{:016x}", self.seed)),
            (self.sockets == other.sockets, "limits.sockets", self.sockets.to_string()),
            (self.asks == other.asks, "settings.discovery", mode(self.asks).into()),
        ];
        each.into_iter().filter(|(same, ..)| !same).map(|(_, key, value)| KeptKey { key, value }).collect()
    }
}

/// A key that keeps its value until a restart, where the file has another one.
struct KeptKey {
    key: &'static str,
    value: String,
}

/// How the watch on discovery goes by the settings.
pub fn watch_terms(settings: &Settings) -> WatchSettings {
    WatchSettings {
        connect_timeout: duration(settings.connect_timeout),
        stop_sending: duration(settings.stop_sending),
        fleet_position: f64::from(settings.balancer.proxy_index) / f64::from(settings.balancer.proxy_count),
    }
}

/// A file that can be used.
struct Loaded {
    discovery: SocketAddr,
    /// What of it needs a restart.
    kept: Vec<KeptKey>,
    /// `None`: the settings in force say the same.
    new: Option<(Arc<Settings>, Box<ConfigUpdate>)>,
    /// Where the settings replaced are freed.
    retired: SyncSender<Arc<Settings>>,
}

/// Reads the file and sets it against what is in force.
fn load(fixed: Fixed, held: &Settings, retired: SyncSender<Arc<Settings>>) -> Result<Loaded, String> {
    let mut config = config::load().map_err(|e| e.to_string())?;
    let kept = fixed.kept(&Fixed::of(&config));
    let discovery = config.discovery;
    let settings = Arc::get_mut(&mut config.settings).ok_or("settings: held elsewhere")?;
    settings.version = held.version;
    if (settings.balancer.discovery == DiscoveryMode::Push) == fixed.asks {
        settings.balancer.discovery = held.balancer.discovery;
    }
    let mut new = None;
    if settings != held {
        settings.version += 1;
        let update = settings.names.update(&held.names, settings.balancer.clone());
        new = Some((config.settings, Box::new(update)));
    }
    Ok(Loaded { discovery, kept, new, retired })
}

/// Keeps a thread until those who held the settings have given them back: many names are freed there.
fn free(held: Arc<Settings>, retired: Receiver<Arc<Settings>>) {
    drop(held);
    retired.into_iter().for_each(drop);
}

/// What follows SIGHUP.
pub struct Reload {
    pub fixed: Fixed,
    pub server: Rc<Server>,
    pub moved: watch::Sender<SocketAddr>,
    pub terms: Rc<Cell<WatchSettings>>,
}

impl Reload {
    /// One file after another. Signals that come during a read bring one more read, after it: the last file wins.
    pub async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.read().await {
                Ok(loaded) => self.put_in_force(loaded),
                Err(text) => tracing::error!(error = %text, "SIGHUP: configuration rejected"),
            }
        }
    }

    /// Reads the file without keeping the requests waiting. The end of the process does not wait for it.
    async fn read(&self) -> Result<Loaded, String> {
        let end = tokio::time::Instant::now() + failures::MEANS_WITHIN;
        let loaded = loop {
            match self.begin_to_read() {
                Ok(loaded) => break loaded,
                Err(e) if failures::is_short_of_means(&e) && tokio::time::Instant::now() < end => {
                    tokio::time::sleep(failures::MEANS_PAUSE).await;
                }
                Err(e) => return Err(format!("no thread to read it: {e}")),
            }
        };
        loaded.await.map_err(|_| "the thread that read it ended")?
    }

    /// Begins the thread that reads the file.
    fn begin_to_read(&self) -> io::Result<oneshot::Receiver<Result<Loaded, String>>> {
        let (fixed, held) = (self.fixed, self.server.settings.borrow().clone());
        let (told, loaded) = oneshot::channel();
        let (retired, given_back) = sync_channel(HOLDERS);
        let read = move || {
            let _ = told.send(load(fixed, &held, retired));
            free(held, given_back);
        };
        std::thread::Builder::new().name("reload".into()).spawn(read)?;
        Ok(loaded)
    }

    /// Requests before and after this step each find one configuration: no task runs meanwhile, and the dispatcher hears of
    /// it in turn.
    fn put_in_force(&self, loaded: Loaded) {
        for kept in loaded.kept {
            tracing::warn!(key = %kept.key, value = %kept.value, "SIGHUP: key needs a restart");
        }
        tracing::info!(address = %loaded.discovery, "SIGHUP: discovery in force");
        self.moved.send_if_modified(|held| std::mem::replace(held, loaded.discovery) != loaded.discovery);
        if let Some((settings, update)) = loaded.new {
            self.terms.set(watch_terms(&settings));
            let old = self.server.settings.replace(settings.clone());
            let _ = loaded.retired.send(old);
            let retired = loaded.retired;
            let _ = self.server.inputs.send(DispatcherMessage::SettingsReplaced(SettingsReplacement {
                settings,
                update,
                retired,
            }));
        }
        let settings = self.server.settings.borrow();
        let (version, balancer) = (settings.version, &settings.balancer);
        let (classes, tenants) = (balancer.classes.len(), balancer.tenants.len());
        tracing::info!(version, classes, tenants, "SIGHUP: configuration in force");
    }
}
