//! Clients that keep connecting to the proxy.

use super::Client;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Clients that keep connecting, send nothing and stay. If there are too many, the oldest ones leave.
pub struct ConnectingClients {
    stop: Arc<AtomicBool>,
    connecting: Option<std::thread::JoinHandle<()>>,
}

impl ConnectingClients {
    /// Starts opening a connection after each interval, of which at most `max_open` stay.
    pub fn start(address: SocketAddr, interval: Duration, max_open: usize) -> ConnectingClients {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = stop.clone();
        let connecting = std::thread::spawn(move || {
            let mut clients = VecDeque::new();
            while !stop_requested.load(Ordering::SeqCst) {
                clients.extend(Client::try_open(address));
                if clients.len() > max_open {
                    clients.pop_front();
                }
                std::thread::sleep(interval);
            }
        });
        ConnectingClients { stop, connecting: Some(connecting) }
    }
}

impl Drop for ConnectingClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(connecting) = self.connecting.take() {
            let _ = connecting.join();
        }
    }
}
