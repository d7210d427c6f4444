//! The watch on the endpoint list, against a stand-in of discovery on loopback.

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

/// An update as the dispatcher would receive it.
type Update = (EndpointListUpdate, Vec<Endpoint>);

/// A watch that polls, and both ends of what the dispatcher has of it.
struct RunningWatch {
    /// Moves the watch to another address.
    address: watch::Sender<SocketAddr>,
    updates: mpsc::UnboundedReceiver<Update>,
    /// Asks for a subscription, as the balancer does.
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

/// The next call at this service, and its headers.
async fn next_call(service: &TcpListener) -> (TcpStream, String) {
    let (caller, _) = service.accept().await.expect("a call");
    let mut headers = [0; 1024];
    loop {
        match caller.try_read(&mut headers) {
            Ok(length) => return (caller, String::from_utf8_lossy(&headers[..length]).into_owned()),
            Err(_) => caller.readable().await.expect("its headers"),
        }
    }
}

fn respond_unavailable(caller: &TcpStream) {
    caller.try_write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n").expect("sent");
}

/// Guards against a resubscription during a call that is kept, and skips the backoff after its failure.
#[tokio::test]
async fn a_resubscription_during_a_call_is_not_kept_for_after_it() {
    let scenario = async {
        let service = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut watch = start_watch(service.local_addr().expect("an address"));
        watch.resubscribe.notify_one();
        let (caller, _) = next_call(&service).await;
        watch.resubscribe.notify_one();
        tokio::task::yield_now().await;
        respond_unavailable(&caller);
        watch.expect_subscription_lost().await;
        let early = tokio::time::timeout(Duration::from_millis(200), service.accept()).await;
        assert!(early.is_err(), "called again before the balancer resubscribed");
        watch.resubscribe.notify_one();
        service.accept().await.expect("the call after the resubscription");
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a backoff that outlasts a move of discovery, or a call for changes from the new one.
#[tokio::test]
async fn a_move_ends_the_wait_after_a_rejected_call_and_calls_for_a_snapshot() {
    let scenario = async {
        let old = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let new = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut watch = start_watch(old.local_addr().expect("an address"));
        watch.resubscribe.notify_one();
        let (caller, headers) = next_call(&old).await;
        assert!(headers.starts_with("GET /api/targets?after=1&"), "{headers}");
        respond_unavailable(&caller);
        watch.expect_subscription_lost().await;
        watch.address.send(new.local_addr().expect("an address")).expect("still watched");
        let soon = tokio::time::timeout(Duration::from_secs(4), next_call(&new)).await;
        let (caller, headers) = soon.expect("a call within the 4 s");
        assert!(headers.starts_with("GET /api/targets HTTP"), "{headers}");
        // Rejected there too, it is called once more before the fleet's backoff.
        respond_unavailable(&caller);
        let again = tokio::time::timeout(Duration::from_secs(4), next_call(&new)).await;
        respond_unavailable(&again.expect("a second call").0);
        watch.expect_subscription_lost().await;
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a restarted service whose versions begin anew, and whose deltas lack what changed before.
#[tokio::test]
async fn a_version_that_went_back_brings_a_call_for_a_snapshot() {
    let scenario = async {
        let service = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut watch = start_watch(service.local_addr().expect("an address"));
        watch.resubscribe.notify_one();
        let (caller, headers) = next_call(&service).await;
        assert!(headers.starts_with("GET /api/targets?after=1&"), "{headers}");
        let body = r#"{"index":0,"snapshot":false,"endpoints":[]}"#;
        let answer =
            format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        caller.try_write(answer.as_bytes()).expect("sent");
        drop(caller);
        let (caller, headers) = next_call(&service).await;
        assert!(headers.starts_with("GET /api/targets HTTP"), "{headers}");
        let body = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        caller.try_write(answer.as_bytes()).expect("sent");
        assert!(matches!(watch.updates.recv().await, Some((EndpointListUpdate::Snapshot, _))));
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a wait for a connection that is as long as that for an update, where the network is cut.
#[tokio::test]
async fn a_connection_that_is_not_established_fails_the_call_soon() {
    let scenario = async {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let service = socket.listen(1).expect("a short queue");
        let address = service.local_addr().expect("an address");
        let mut queued = Vec::new();
        let connect_timeout = Duration::from_millis(100);
        while let Ok(taken) = tokio::time::timeout(connect_timeout, TcpStream::connect(address)).await {
            queued.push(taken.expect("a place in the queue"));
        }
        let mut watch = start_watch(address);
        watch.resubscribe.notify_one();
        let soon = tokio::time::timeout(Duration::from_secs(20), watch.expect_subscription_lost()).await;
        assert!(soon.is_ok(), "the call still waits for its connection");
    };
    LocalSet::new().run_until(scenario).await;
}
