//! Idle clients that fill the descriptors, new ones coming all the time.

use crate::support::{
    ask, config, line, ok, refusing_address, request, until, Backend, Client, Discovery, HeldPort, Proxy,
};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Clients that connect all the time, send nothing and stay until the proxy ends them.
struct Crowd {
    stop: Arc<AtomicBool>,
    coming: Option<std::thread::JoinHandle<()>>,
}

impl Crowd {
    /// So many a second.
    fn start(to: SocketAddr, per_s: u32) -> Crowd {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let coming = std::thread::spawn(move || {
            let mut staying = Vec::new();
            while !stopped.load(Ordering::SeqCst) {
                staying.extend(Client::try_open(to));
                std::thread::sleep(Duration::from_secs(1) / per_s);
            }
        });
        Crowd { stop, coming: Some(coming) }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.coming.take().map(std::thread::JoinHandle::join);
    }
}

/// On the return of discovery the call goes out, the backend that it names is dialled, and clients with requests get
/// in. Silent ones were let go only after the 2 s for a head, so that their queue grew for ever.
#[test]
fn a_crowd_of_idle_clients_keeps_out_neither_news_nor_backends_nor_requests() {
    let backend = Backend::start(|_| ok("x"));
    let address = refusing_address();
    let down = HeldPort::bind();
    let mut config = config(down.address, &[line("a", address, "ready", 0)]);
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start(&config);
    let _crowd = Crowd::start(proxy.address, 25);
    until("all places are taken", || proxy.ready() == 200 && proxy.log().contains("discovery call failed "));
    std::thread::sleep(Duration::from_secs(3));
    let discovery = Discovery::start_on(down);
    discovery.tell(true, &[line("b", backend.address, "ready", 0)]);
    let began = Instant::now();
    for n in 0..20 {
        assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200, "request {n}");
    }
    // Twenty requests waited for a place of sixteen, each taken for two seconds, behind 25 new clients a second.
    assert!(began.elapsed() < Duration::from_secs(20), "{:?}", began.elapsed());
    assert!(!proxy.log().contains("accept failed "), "descriptors were left");
}
