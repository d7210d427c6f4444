//! Requests on new connections while other clients hold every connection slot. Their time runs from when they
//! are sent, not from when the proxy accepts their connection.

use crate::support::{
    config, ok_response, ready_endpoints, request, send_request, wait_until, Backend, Client,
    ConnectingClients, Discovery, Faults, Message, ProxyProcess, Reply, PAY_WITH_PARTIAL_BODY,
};
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// File descriptors of the proxy, and number of other clients, who would use all of them.
const DESCRIPTORS: usize = 256;
/// Descriptors with which the proxy can accept several hundred connections.
const MANY_DESCRIPTORS: usize = 1024;
const REQUESTS: usize = 20;
const BACKENDS: usize = 9;
/// Time after its deadline by which a request must have its response.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(400);
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// How long a connection waits to be accepted while accepts fail.
const FAILED_ACCEPTS_TIME: Duration = Duration::from_millis(600);
/// Maximum by which the time left that a backend receives may exceed the client's actual time left.
const MAX_TIME_LEFT_EXCESS: Duration = Duration::from_millis(150);
/// How long the proxy accepts connections after SIGTERM.
const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// Number of connections that clients who keep connecting have open at once.
const MAX_CONNECTING_CLIENTS: usize = 300;

const PARTIAL_HEAD: &str = "GET /read HTTP/1.1\r\nHost: back";

/// The response to a request, if any, and how long it took.
#[derive(Debug)]
struct Answer {
    status: Option<u16>,
    after: Duration,
}

/// Sends the requests at the same time, each on a new connection, and returns their answers.
fn send_requests(address: SocketAddr, time_left: Duration) -> Vec<Answer> {
    let send = move || {
        let mut client = Client::open(address);
        let sent = Instant::now();
        client.send(&request("read", time_left.as_millis() as u64));
        client.set_read_timeout(time_left + MAX_RESPONSE_DELAY);
        let status = client.read_response().map(|response| response.status());
        Answer { status, after: sent.elapsed() }
    };
    let threads: Vec<_> = (0..REQUESTS).map(|_| std::thread::spawn(send)).collect();
    threads.into_iter().map(|thread| thread.join().unwrap()).collect()
}

/// Asserts that every request was answered at most half a second after its deadline.
fn assert_answered(answers: &[Answer], time_left: Duration, case: &str) {
    for answer in answers {
        assert!(
            answer.status.is_some() && answer.after <= time_left + MAX_RESPONSE_DELAY,
            "{case}, {time_left:?} left: {answers:?}"
        );
    }
}

/// Asserts that every request was served before its deadline.
fn assert_served(answers: &[Answer], time_left: Duration, case: &str) {
    for answer in answers {
        assert!(
            answer.status == Some(200) && answer.after <= time_left,
            "{case}, {time_left:?} left: {answers:?}"
        );
    }
}

/// A proxy and its environment.
struct Fleet {
    proxy: ProxyProcess,
    backends: Vec<Backend>,
    faults: Faults,
    _discovery: Discovery,
}

impl Fleet {
    /// Starts a proxy with backends that respond to requests of class `pay` as given, and to others in
    /// [`SERVICE_TIME`].
    fn start(descriptors: usize, respond_to_pay: fn() -> Reply) -> Fleet {
        let respond = move |message: &Message| match message.start_line.contains("/pay/") {
            true => respond_to_pay(),
            false => {
                std::thread::sleep(SERVICE_TIME);
                ok_response("x")
            }
        };
        let backends: Vec<Backend> = (0..BACKENDS).map(|_| Backend::start(respond)).collect();
        let discovery = Discovery::start();
        let mut config = config(discovery.address, &ready_endpoints(backends.iter()));
        config["limits"]["sockets"] = json!(descriptors);
        for class in config["settings"]["profiles"].as_array_mut().unwrap() {
            // The balancer rejects requests with less time left than it assumes a class to need.
            class["aim_us"] = json!(LATENCY_OBJECTIVE.as_micros() as u64);
        }
        let faults = Faults::none();
        let proxy = ProxyProcess::spawn_with_faults(&faults, &config);
        wait_until("the proxy to be ready", || proxy.readiness_status() == 200);
        Fleet { proxy, backends, faults, _discovery: discovery }
    }
}

/// Opens connections that send the text and stay.
fn open_clients(address: SocketAddr, text: &str) -> Vec<Client> {
    let open = |_| {
        let mut client = Client::open(address);
        client.send(text);
        client
    };
    (0..DESCRIPTORS).map(open).collect()
}

/// Guards against requests that are answered too late, or not at all, because their connection waits in the
/// listen queue until the proxy has given up on other clients.
#[test]
fn requests_behind_stalled_clients_are_answered_in_time() {
    for (case, text) in
        [("silent", ""), ("partial head", PARTIAL_HEAD), ("partial body", PAY_WITH_PARTIAL_BODY)]
    {
        for time_left in [Duration::from_millis(200), Duration::from_secs(1)] {
            let fleet = Fleet::start(DESCRIPTORS, || ok_response("x"));
            let _stalled_clients = open_clients(fleet.proxy.address, text);
            let answers = send_requests(fleet.proxy.address, time_left);
            assert_answered(&answers, time_left, case);
            // The others have little time for an attempt, and may be rejected.
            if time_left == Duration::from_secs(1) {
                assert_served(&answers, time_left, case);
            }
        }
    }
}

/// Guards against clients that do not close their connection when the proxy ends it, and so occupy its slot.
#[test]
fn requests_behind_clients_that_stay_after_their_response_are_served_in_time() {
    let fleet = Fleet::start(DESCRIPTORS, || ok_response("x"));
    let time_left = Duration::from_secs(1);
    let mut served_clients = Vec::new();
    for number in 0..DESCRIPTORS {
        let mut client = Client::open(fleet.proxy.address);
        let began = Instant::now();
        client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(client.read_response().map(|response| response.status()), Some(200), "probe {number}");
        assert!(began.elapsed() < time_left, "probe {number} took {:?}", began.elapsed());
        served_clients.push(client);
    }
    let answers = send_requests(fleet.proxy.address, time_left);
    assert_served(&answers, time_left, "served before");
}

/// Guards against requests that wait in the listen queue while all slots have pending requests.
#[test]
fn requests_behind_pending_requests_are_answered_in_time() {
    let fleet = Fleet::start(DESCRIPTORS, || Reply::NoResponse);
    let pending = request("pay", 5000);
    let _pending_clients = open_clients(fleet.proxy.address, &pending);
    let time_left = Duration::from_millis(200);
    let answers = send_requests(fleet.proxy.address, time_left);
    assert_answered(&answers, time_left, "pending requests");
}

/// Guards against requests that wait in the listen queue while other clients keep connecting.
#[test]
fn requests_among_clients_that_keep_connecting_are_answered_in_time() {
    let fleet = Fleet::start(DESCRIPTORS, || ok_response("x"));
    let _connecting_clients =
        ConnectingClients::start(fleet.proxy.address, Duration::ZERO, MAX_CONNECTING_CLIENTS);
    let time_left = Duration::from_millis(500);
    let answers: Vec<Answer> = (0..10).flat_map(|_| send_requests(fleet.proxy.address, time_left)).collect();
    assert_answered(&answers, time_left, "clients that keep connecting");
}

/// Sends the text on this many new connections while accepts fail, for [`FAILED_ACCEPTS_TIME`], and returns
/// the answers.
fn send_before_accept(fleet: &Fleet, text: &str, connections: usize) -> Vec<Answer> {
    fleet.faults.fail_accepts(100);
    let open = |_| {
        let mut client = Client::open(fleet.proxy.address);
        client.send(text);
        (client, Instant::now())
    };
    let clients: Vec<(Client, Instant)> = (0..connections).map(open).collect();
    std::thread::sleep(FAILED_ACCEPTS_TIME);
    fleet.faults.fail_accepts(0);
    let read = |(mut client, sent): (Client, Instant)| {
        let status = client.read_response().map(|response| response.status());
        Answer { status, after: sent.elapsed() }
    };
    clients.into_iter().map(read).collect()
}

/// Guards against deadlines that count from the accept: the requests are then answered too late.
#[test]
fn the_deadline_of_a_request_counts_from_before_its_connection_is_accepted() {
    let fleet = Fleet::start(MANY_DESCRIPTORS, || Reply::NoResponse);
    let time_left = Duration::from_millis(500);
    let text = request("pay", time_left.as_millis() as u64);
    for connections in [1, 300] {
        let answers = send_before_accept(&fleet, &text, connections);
        assert!(answers.iter().all(|answer| answer.after > FAILED_ACCEPTS_TIME), "{answers:?}");
        assert_answered(&answers, time_left, "failed accepts");
    }
}

/// Guards against a time left sent to a backend that includes the whole or a part of the wait for the accept.
#[test]
fn the_time_left_sent_to_a_backend_excludes_the_whole_wait_for_the_accept() {
    let fleet = Fleet::start(DESCRIPTORS, || ok_response("x"));
    let answers = send_before_accept(&fleet, &request("pay", 2000), 1);
    assert_eq!(answers[0].status, Some(200), "{answers:?}");
    let requests: Vec<Message> = fleet.backends.iter().flat_map(Backend::requests).collect();
    let [received] = &requests[..] else { panic!("expected one request, got {}", requests.len()) };
    let time_left_ms: u64 = received.header("x-time-left-ms").unwrap().parse().unwrap();
    let most = Duration::from_secs(2) - FAILED_ACCEPTS_TIME + MAX_TIME_LEFT_EXCESS;
    assert!(Duration::from_millis(time_left_ms) <= most, "{time_left_ms} ms, expected at most {most:?}");
}

/// Guards against attempts of requests whose client has left before its connection is accepted.
#[test]
fn a_request_whose_client_left_before_the_accept_is_not_sent_to_a_backend() {
    let fleet = Fleet::start(MANY_DESCRIPTORS, || ok_response("x"));
    for text in [request("pay", 2000), request("read", 2000)] {
        fleet.faults.fail_accepts(100);
        for _ in 0..REQUESTS {
            Client::open(fleet.proxy.address).send(&text);
        }
        std::thread::sleep(FAILED_ACCEPTS_TIME);
        fleet.faults.fail_accepts(0);
        assert_eq!(send_request(&fleet.proxy, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
        std::thread::sleep(SERVICE_TIME);
        let attempts: usize = fleet.backends.iter().map(|backend| backend.requests().len()).sum();
        assert_eq!(attempts, 0, "{text}");
    }
}

/// Guards against a graceful shutdown that accepts the whole listen queue at once, with more connections than
/// the proxy may have descriptors.
#[test]
fn the_descriptor_limit_holds_while_the_listen_queue_is_served_during_shutdown() {
    let mut fleet = Fleet::start(DESCRIPTORS, || Reply::NoResponse);
    let mut clients = Vec::new();
    fleet.proxy.terminate();
    std::thread::sleep(ACCEPT_PERIOD - Duration::from_millis(50));
    // The connections wait in the queue when the proxy stops accepting new ones.
    fleet.proxy.stall(Duration::from_millis(100), || {
        clients = open_clients(fleet.proxy.address, &request("pay", 2000));
    });
    let began = Instant::now();
    let mut most = 0;
    while began.elapsed() < Duration::from_millis(500) {
        most = most.max(fleet.proxy.open_descriptors());
    }
    assert!(most <= DESCRIPTORS, "{most} descriptors of {DESCRIPTORS}");
    for client in &mut clients {
        assert!(client.read_response().is_some());
    }
    assert!(fleet.proxy.wait_for_exit().success());
}
