//! The watch on the endpoint list, against a fake discovery service on loopback.

use load_balancer::discovery::start_times::StartTimes;
use load_balancer::discovery::{Endpoint, Watch, WatchSettings};
use load_balancer::{DiscoveryMode, EndpointListUpdate, Micros, Time};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::LocalSet;

/// An update as the dispatcher receives it.
type Update = (EndpointListUpdate, Vec<Endpoint>);

/// A running watch in subscribe mode, with the handles that the dispatcher has to it.
struct RunningWatch {
    /// Changes the address of discovery.
    address: watch::Sender<SocketAddr>,
    updates: mpsc::UnboundedReceiver<Update>,
    /// Requests a subscription, as the balancer does.
    resubscribe: Rc<Notify>,
}

fn start_watch(service: SocketAddr) -> RunningWatch {
    let (sender, updates) = mpsc::unbounded_channel();
    let (address_sender, address) = watch::channel(service);
    let resubscribe = Rc::new(Notify::new());
    let (connect_timeout, drain_notice_limit) = (Duration::from_millis(100), Duration::from_secs(1));
    let watch = Watch {
        address,
        mode: DiscoveryMode::Subscribe(Micros(10_000_000)),
        settings: Rc::new(Cell::new(WatchSettings {
            connect_timeout,
            drain_notice_limit,
            fleet_position: 0.0,
        })),
        version: Some(1),
        resubscribe: resubscribe.clone(),
        now: Box::new(Time::default),
        start_times: StartTimes::default(),
        on_update: Box::new(move |update, endpoints| {
            let _ = sender.send((update, endpoints));
        }),
    };
    tokio::task::spawn_local(watch.run());
    RunningWatch { address: address_sender, updates, resubscribe }
}

impl RunningWatch {
    async fn expect_subscription_lost(&mut self) {
        assert!(matches!(self.updates.recv().await, Some((EndpointListUpdate::SubscriptionLost, _))));
    }
}

/// Accepts the next call at `service` and returns it with its request headers.
async fn next_call(service: &TcpListener) -> (TcpStream, String) {
    let (connection, _) = service.accept().await.expect("an incoming call");
    let mut headers = [0; 1024];
    loop {
        match connection.try_read(&mut headers) {
            Ok(length) => return (connection, String::from_utf8_lossy(&headers[..length]).into_owned()),
            Err(_) => connection.readable().await.expect("a readable connection"),
        }
    }
}

fn respond_unavailable(connection: &TcpStream) {
    connection.try_write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n").expect("response written");
}

/// Guards against a resubscription during a call that bypasses the backoff after the call fails.
#[tokio::test]
async fn a_resubscription_during_a_call_causes_no_further_call() {
    let scenario = async {
        let service = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut watch = start_watch(service.local_addr().expect("an address"));
        watch.resubscribe.notify_one();
        let (connection, _) = next_call(&service).await;
        watch.resubscribe.notify_one();
        tokio::task::yield_now().await;
        respond_unavailable(&connection);
        watch.expect_subscription_lost().await;
        let early_call = tokio::time::timeout(Duration::from_millis(200), service.accept()).await;
        assert!(early_call.is_err(), "discovery called again before the balancer resubscribed");
        watch.resubscribe.notify_one();
        service.accept().await.expect("the call after the resubscription");
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a wait that outlasts a change of the discovery address, and a call to the new address that
/// asks for changes since a version of the old one.
#[tokio::test]
async fn an_address_change_ends_the_wait_and_requests_a_snapshot() {
    let scenario = async {
        let old = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let new = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut watch = start_watch(old.local_addr().expect("an address"));
        watch.resubscribe.notify_one();
        let (connection, headers) = next_call(&old).await;
        assert!(headers.starts_with("GET /api/targets?after=1&"), "{headers}");
        respond_unavailable(&connection);
        watch.expect_subscription_lost().await;
        watch.address.send(new.local_addr().expect("an address")).expect("a running watch");
        let call = tokio::time::timeout(Duration::from_secs(4), next_call(&new)).await;
        let (connection, headers) = call.expect("a call to the new address within 4 s");
        assert!(headers.starts_with("GET /api/targets HTTP"), "{headers}");
        // After this call fails too, the new address is called once more without waiting for the balancer.
        respond_unavailable(&connection);
        let second_call = tokio::time::timeout(Duration::from_secs(4), next_call(&new)).await;
        respond_unavailable(&second_call.expect("a second call to the new address within 4 s").0);
        watch.expect_subscription_lost().await;
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against applying deltas of a restarted service, whose versions start over, to the current list.
#[tokio::test]
async fn a_lower_version_leads_to_a_call_for_a_snapshot() {
    let scenario = async {
        let service = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut watch = start_watch(service.local_addr().expect("an address"));
        watch.resubscribe.notify_one();
        let (connection, headers) = next_call(&service).await;
        assert!(headers.starts_with("GET /api/targets?after=1&"), "{headers}");
        let body = r#"{"index":0,"snapshot":false,"endpoints":[]}"#;
        let response =
            format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        connection.try_write(response.as_bytes()).expect("response written");
        drop(connection);
        let (connection, headers) = next_call(&service).await;
        assert!(headers.starts_with("GET /api/targets HTTP"), "{headers}");
        let body = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        connection.try_write(response.as_bytes()).expect("response written");
        assert!(matches!(watch.updates.recv().await, Some((EndpointListUpdate::Snapshot, _))));
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a connection attempt to an unreachable address that takes as long as a call may wait for
/// changes.
#[tokio::test]
async fn a_connect_timeout_fails_the_call() {
    let scenario = async {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let service = socket.listen(1).expect("a listener with a short backlog");
        let address = service.local_addr().expect("an address");
        // Fills the backlog, so that the connection attempt of the watch is not answered.
        let mut queued = Vec::new();
        let connect_timeout = Duration::from_millis(100);
        while let Ok(connected) = tokio::time::timeout(connect_timeout, TcpStream::connect(address)).await {
            queued.push(connected.expect("a connection in the backlog"));
        }
        let mut watch = start_watch(address);
        watch.resubscribe.notify_one();
        let call = tokio::time::timeout(Duration::from_secs(20), watch.expect_subscription_lost()).await;
        assert!(call.is_ok(), "the call did not fail within 20 s");
    };
    LocalSet::new().run_until(scenario).await;
}
