//! The watch on the list of backends, against a stand-in of discovery on loopback.

use load_balancer::discovery::start_times::StartTimes;
use load_balancer::discovery::{Target, Terms, Watch};
use load_balancer::{DiscoveryMode, EndpointListUpdate, Micros, Time};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::LocalSet;

/// What the watch tells, as the driver would hear it.
type News = mpsc::UnboundedReceiver<(EndpointListUpdate, Vec<Target>)>;

/// A watch in a fleet that asks, on this address, with what the module would see and say.
fn watching(at: SocketAddr) -> (watch::Sender<SocketAddr>, News, Rc<Notify>) {
    let (sender, news) = mpsc::unbounded_channel();
    let (moved, address) = watch::channel(at);
    let follow = Rc::new(Notify::new());
    let (dial_timeout, stop_sending) = (Duration::from_millis(100), Duration::from_secs(1));
    let watch = Watch {
        address,
        mode: DiscoveryMode::Subscribe(Micros(10_000_000)),
        terms: Rc::new(Cell::new(Terms { dial_timeout, stop_sending, place: 0.0 })),
        index: Some(1),
        follow: follow.clone(),
        now: Box::new(Time::default),
        starts: StartTimes::default(),
        tell: Box::new(move |update, targets| {
            let _ = sender.send((update, targets));
        }),
    };
    tokio::task::spawn_local(watch.run());
    (moved, news, follow)
}

/// The next call at this service, and its head.
async fn called(service: &TcpListener) -> (TcpStream, String) {
    let (caller, _) = service.accept().await.expect("a call");
    let mut head = [0; 1024];
    loop {
        match caller.try_read(&mut head) {
            Ok(n) => return (caller, String::from_utf8_lossy(&head[..n]).into_owned()),
            Err(_) => caller.readable().await.expect("its head"),
        }
    }
}

fn refuse(caller: &TcpStream) {
    caller.try_write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n").expect("sent");
}

async fn lost(news: &mut News) {
    assert!(matches!(news.recv().await, Some((EndpointListUpdate::SubscriptionLost, _))));
}

/// The module repeats its wish while a call is out. Kept until that failed, the wish called again at once,
/// past the wait that spreads the calls of a fleet.
#[tokio::test]
async fn a_wish_repeated_while_a_call_is_out_is_not_kept_for_after_it() {
    let scene = async {
        let service = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (_moved, mut news, follow) = watching(service.local_addr().expect("an address"));
        follow.notify_one();
        let (caller, _) = called(&service).await;
        follow.notify_one();
        tokio::task::yield_now().await;
        refuse(&caller);
        lost(&mut news).await;
        let early = tokio::time::timeout(Duration::from_millis(200), service.accept()).await;
        assert!(early.is_err(), "called again before the module asked");
        follow.notify_one();
        service.accept().await.expect("the call that it asked for");
    };
    LocalSet::new().run_until(scene).await;
}

/// Discovery is moved most likely when it refuses calls: the wait after one must not outlast the move, for
/// what the new service reports counts as reported 4 s after the signal.
#[tokio::test]
async fn a_move_ends_the_wait_after_a_refused_call_and_asks_for_the_whole_list() {
    let scene = async {
        let old = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let new = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (moved, mut news, follow) = watching(old.local_addr().expect("an address"));
        follow.notify_one();
        let (caller, head) = called(&old).await;
        assert!(head.starts_with("GET /api/targets?after=1&"), "{head}");
        refuse(&caller);
        lost(&mut news).await;
        moved.send(new.local_addr().expect("an address")).expect("still watched");
        let soon = tokio::time::timeout(Duration::from_secs(4), called(&new)).await;
        let (caller, head) = soon.expect("a call within the 4 s");
        assert!(head.starts_with("GET /api/targets HTTP"), "{head}");
        // Refused there too, it is asked once more before the fleet's wait.
        refuse(&caller);
        let again = tokio::time::timeout(Duration::from_secs(4), called(&new)).await;
        refuse(&again.expect("a second call").0);
        lost(&mut news).await;
    };
    LocalSet::new().run_until(scene).await;
}

/// A service that starts again may count from anew. What changed before its start is in none of its changes then,
/// and a backend that began to drain meanwhile would be sent requests for ever.
#[tokio::test]
async fn a_version_that_counts_from_anew_brings_a_call_for_the_whole_list() {
    let scene = async {
        let service = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (_moved, mut news, follow) = watching(service.local_addr().expect("an address"));
        follow.notify_one();
        let (caller, head) = called(&service).await;
        assert!(head.starts_with("GET /api/targets?after=1&"), "{head}");
        let body = r#"{"index":0,"snapshot":false,"endpoints":[]}"#;
        let answer =
            format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        caller.try_write(answer.as_bytes()).expect("sent");
        drop(caller);
        let (caller, head) = called(&service).await;
        assert!(head.starts_with("GET /api/targets HTTP"), "{head}");
        let body = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        caller.try_write(answer.as_bytes()).expect("sent");
        assert!(matches!(news.recv().await, Some((EndpointListUpdate::Snapshot, _))));
    };
    LocalSet::new().run_until(scene).await;
}

/// Where the way is cut no connection comes up; the wait for one was as long as that for news, 21.5 s.
#[tokio::test]
async fn a_connection_that_does_not_come_up_fails_the_call_soon() {
    let scene = async {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let service = socket.listen(1).expect("a short queue");
        let at = service.local_addr().expect("an address");
        let mut queued = Vec::new();
        let full = Duration::from_millis(100);
        while let Ok(taken) = tokio::time::timeout(full, TcpStream::connect(at)).await {
            queued.push(taken.expect("a place in the queue"));
        }
        let (_moved, mut news, follow) = watching(at);
        follow.notify_one();
        let soon = tokio::time::timeout(Duration::from_secs(20), lost(&mut news)).await;
        assert!(soon.is_ok(), "the call still waits for its connection");
    };
    LocalSet::new().run_until(scene).await;
}
