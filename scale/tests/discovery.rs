//! Protocol of the simulated discovery service, and its failures as a client sees them.

use scale_test::discovery::{CallCosts, Discovery, DiscoveryBehavior};
use scale_test::endpoint_list::{EndpointList, EndpointStatus};
use scale_test::naming::backend_address;
use scale_test::plan_file::parse;
use scale_test::platform::read_endpoint_list;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const BACKEND_COUNT: u32 = 5;

/// Much longer than any response in these tests takes.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

fn start(per_call: Duration, capacity: usize) -> Discovery {
    let head = "name = \"x\"\nkind = \"real\"\nover = \"backends\"\nlongest_s = 60\n";
    let plan = parse(&format!("{head}[[points]]\nbackends = {BACKEND_COUNT}\n")).expect("invalid plan");
    let addresses: Vec<SocketAddr> = (0..BACKEND_COUNT).map(|number| backend_address(number, 80)).collect();
    let costs =
        CallCosts { per_call, per_entry: Duration::ZERO, queue_capacity: capacity, has_local_agents: false };
    Discovery::start(EndpointList::new(&plan.points[0], &addresses), costs).expect("cannot start discovery")
}

/// Runs a future to completion on this thread.
fn block_on<T>(work: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("cannot create a runtime")
        .block_on(work)
}

fn send_request(address: SocketAddr, path: &str) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(address).expect("cannot connect");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("cannot set the read timeout");
    write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").expect("cannot send the request");
    BufReader::new(stream)
}

/// Reads the status and body of a response; `None` if the connection closes or times out first.
fn read_response(connection: &mut BufReader<TcpStream>) -> Option<(u16, Vec<u8>)> {
    let (mut status, mut length) = (0, 0);
    loop {
        let mut line = String::new();
        connection.read_line(&mut line).ok().filter(|bytes_read| *bytes_read > 0)?;
        let line = line.trim_end().to_lowercase();
        if line.is_empty() {
            break;
        }
        if line.starts_with("http/1.1 ") {
            status = line[9..12].parse().expect("invalid status");
        }
        length = line
            .strip_prefix("content-length: ")
            .map_or(length, |value| value.parse().expect("invalid content length"));
    }
    let mut body = vec![0; length];
    connection.read_exact(&mut body).ok()?;
    Some((status, body))
}

fn fetch_list(address: SocketAddr, path: &str) -> Value {
    let (status, body) = read_response(&mut send_request(address, path)).expect("no response");
    assert_eq!(status, 200);
    serde_json::from_slice(&body).expect("invalid JSON")
}

#[test]
fn list_returns_all_endpoints_and_watch_returns_changes() {
    let discovery = start(Duration::from_micros(100), 100);
    let snapshot = fetch_list(discovery.address(), "/api/targets");
    assert_eq!((snapshot["snapshot"].as_bool(), snapshot["index"].as_u64()), (Some(true), Some(1)));
    let endpoints = snapshot["endpoints"].as_array().expect("no endpoints");
    assert_eq!(endpoints.len(), BACKEND_COUNT as usize);
    let decoded = read_endpoint_list(&snapshot);
    assert_eq!(
        decoded.map(|backends| backends.len()),
        Ok(BACKEND_COUNT as usize),
        "the proxy's decoder accepts the list"
    );
    let started_at = Instant::now();
    let mut watch = send_request(discovery.address(), "/api/targets?after=1&wait_ms=9000");
    std::thread::sleep(Duration::from_millis(100));
    discovery.update_list(|list| list.set_status(3, EndpointStatus::Draining, 0));
    let (status, body) = read_response(&mut watch).expect("no response");
    let delta: Value = serde_json::from_slice(&body).expect("invalid JSON");
    assert!(
        started_at.elapsed() < Duration::from_secs(5),
        "the watch returns at the change, not at the end of the wait"
    );
    assert_eq!((status, delta["snapshot"].as_bool(), delta["index"].as_u64()), (200, Some(false), Some(2)));
    assert_eq!(delta["endpoints"].as_array().map(Vec::len), Some(1));
    assert_eq!(delta["endpoints"][0]["status"], "draining");
    assert_eq!(delta["endpoints"][0]["name"], endpoints[3]["name"]);
}

#[test]
fn unchanged_watch_returns_no_endpoints_and_outdated_watch_a_snapshot() {
    let discovery = start(Duration::from_micros(100), 100);
    let unchanged = fetch_list(discovery.address(), "/api/targets?after=1&wait_ms=50");
    assert_eq!(
        (unchanged["endpoints"].as_array().map(Vec::len), unchanged["index"].as_u64()),
        (Some(0), Some(1))
    );
    discovery.update_list(|list| {
        for change in 0..20 {
            list.toggle_weight(change % 5);
        }
    });
    let outdated = fetch_list(discovery.address(), "/api/targets?after=1&wait_ms=50");
    assert_eq!(outdated["snapshot"].as_bool(), Some(true), "the version is too old for a delta");
}

#[test]
fn calls_run_sequentially_and_are_rejected_when_the_queue_is_full() {
    let discovery = start(Duration::from_millis(200), 3);
    let mut calls: Vec<_> = (0..6).map(|_| send_request(discovery.address(), "/api/targets")).collect();
    let started_at = Instant::now();
    let mut statuses: Vec<u16> =
        calls.iter_mut().map(|call| read_response(call).expect("no response").0).collect();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 200, 200, 503, 503, 503]);
    assert!(
        started_at.elapsed() >= Duration::from_millis(400),
        "three calls of 200 ms each, run one after another, took less than 400 ms"
    );
    let counters = discovery.counters();
    assert_eq!((counters.calls, counters.lists, counters.rejected, counters.longest_queue), (6, 3, 3, 3));
    assert!(counters.bytes_out > counters.bytes_in && counters.bytes_in > 0);
}

#[test]
fn discovery_can_reject_calls_stall_go_down_and_recover() {
    let discovery = start(Duration::from_micros(100), 100);
    let address = discovery.address();
    let mut watch = send_request(address, "/api/targets?after=1&wait_ms=9000");
    std::thread::sleep(Duration::from_millis(100));
    block_on(discovery.set_behavior(DiscoveryBehavior::Reject));
    assert_eq!(
        read_response(&mut watch).map(|response| response.0),
        Some(503),
        "the waiting watch is rejected"
    );
    assert_eq!(
        read_response(&mut send_request(address, "/api/targets")).map(|response| response.0),
        Some(503)
    );
    block_on(discovery.set_behavior(DiscoveryBehavior::Unresponsive));
    let mut unanswered = send_request(address, "/api/targets");
    unanswered
        .get_mut()
        .set_read_timeout(Some(Duration::from_millis(300)))
        .expect("cannot set the read timeout");
    assert_eq!(read_response(&mut unanswered), None, "the call is accepted but not answered");
    block_on(discovery.set_behavior(DiscoveryBehavior::Down));
    assert!(TcpStream::connect(address).is_err(), "connections are refused while discovery is down");
    block_on(discovery.set_behavior(DiscoveryBehavior::Serve));
    assert_eq!(fetch_list(address, "/api/targets")["index"].as_u64(), Some(1));
}

#[test]
fn relocation_opens_a_new_port_and_closes_the_old_one() {
    let discovery = start(Duration::from_micros(100), 100);
    let old_address = discovery.address();
    let mut watch = send_request(old_address, "/api/targets?after=1&wait_ms=9000");
    std::thread::sleep(Duration::from_millis(100));
    let new_address = block_on(discovery.relocate()).expect("cannot relocate");
    assert_ne!(old_address, new_address);
    assert_eq!(fetch_list(new_address, "/api/targets")["index"].as_u64(), Some(1));
    assert!(TcpStream::connect(old_address).is_err(), "the old port refuses connections");
    assert_eq!(read_response(&mut watch), None, "the open connection is closed");
}
