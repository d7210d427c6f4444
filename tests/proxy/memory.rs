//! Memory under peers that send long messages, in small pieces, in part or all at once, with the smallest
//! limits that the platform gives to a proxy.

use crate::support::{
    endpoint, ok_response, refusing_address, request, send_request, start_proxy_with_limits, Backend, Client,
    Discovery, Message, ProxyProcess, Reply,
};
use serde_json::json;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Memory limit of the proxy, beyond which the platform kills it.
const MEMORY_LIMIT_MB: u64 = 32;
/// Descriptor limit of the proxy.
const DESCRIPTOR_LIMIT: usize = 256;
/// Time within which a peer that sends no proper request must receive an error response or be disconnected.
const BAD_PEER_LIMIT: Duration = Duration::from_secs(3);
/// Longest body that the protocol allows.
const MAX_BODY_BYTES: usize = 65_536;
/// Length of the pieces in which a slow peer sends a message, in bytes.
const PIECE_BYTES: usize = 16;
const ONE_BYTE_CHUNK: &str = "1\r\nx\r\n";
/// Number of chunks of one byte that a slow peer sends.
const CHUNKS: usize = 3500;

/// Starts a proxy with the smallest limits, and its discovery service.
fn start_proxy(backends: &[Backend]) -> (ProxyProcess, Discovery) {
    start_proxy_with_limits(backends, MEMORY_LIMIT_MB, DESCRIPTOR_LIMIT)
}

fn assert_memory_is_within_limit(proxy: &ProxyProcess) {
    let peak_mb = proxy.peak_memory_kib() as f64 / 1024.0;
    assert!(peak_mb < MEMORY_LIMIT_MB as f64, "peak memory: {peak_mb:.1} MB");
}

/// Returns the head of a request without the empty line that ends it.
fn request_head(class: &str, time_left_ms: u64) -> String {
    request(class, time_left_ms).split_once("\r\n\r\n").unwrap().0.to_string() + "\r\n"
}

/// Returns header fields that make a head nearly as long as the proxy allows, with nearly as many fields.
fn long_fields() -> String {
    (0..90).map(|number| format!("X-Facts-{number:02}-{}: x\r\n", "n".repeat(65))).collect()
}

/// Returns a request whose body has the greatest length.
fn long_request() -> String {
    let length = format!("Content-Length: {MAX_BODY_BYTES}");
    request("pay", 7000).replace("Content-Length: 4", &length).replace("body", &"x".repeat(MAX_BODY_BYTES))
}

/// Sends a text in small pieces on a new connection, in the background; returns the status of the response.
fn send_in_pieces(proxy: &ProxyProcess, text: String, piece_bytes: usize) -> JoinHandle<Option<u16>> {
    let address = proxy.address;
    std::thread::spawn(move || {
        let mut client = Client::open(address);
        client.send_in_pieces(&text, piece_bytes);
        client.read_response().map(|response| response.status())
    })
}

/// Sends requests concurrently, each on a new connection; returns the responses.
fn send_concurrently(proxy: &ProxyProcess, text: &str, count: usize) -> Vec<Option<Message>> {
    let mut clients: Vec<_> = (0..count).map(|_| Client::open(proxy.address)).collect();
    clients.iter_mut().for_each(|client| client.send(text));
    clients.iter_mut().map(Client::read_response).collect()
}

/// Opens connections on which all of the longest request but its last byte is sent.
fn open_stalled_clients(proxy: &ProxyProcess, count: usize) -> Vec<Client> {
    let text = long_request();
    let mut clients: Vec<_> = (0..count).map(|_| Client::open(proxy.address)).collect();
    clients.iter_mut().for_each(|client| client.send(&text[..text.len() - 1]));
    clients
}

/// Expects that each of the clients gets an error because its request is incomplete.
fn assert_timed_out(clients: &mut [Client]) {
    for client in clients {
        assert_eq!(client.read_response().map(|response| response.status()), Some(408));
    }
}

/// Sends requests one after the other, each on a new connection, and expects that they are served.
fn assert_requests_are_served(proxy: &ProxyProcess, count: usize) {
    for _ in 0..count {
        assert_eq!(send_request(proxy, &request("read", 1200)).status(), 200);
    }
}

/// Starts backends that reply to each request with this text, in pieces of this many bytes.
fn start_backends(count: usize, text: &str, piece_bytes: usize) -> Vec<Backend> {
    let start = |_| {
        let text = text.to_string();
        Backend::start(move |_| Reply::SendInPieces(text.clone(), piece_bytes))
    };
    (0..count).map(start).collect()
}

/// Sends requests that no backend answers completely; expects that each of them fails.
fn assert_requests_fail(proxy: &ProxyProcess, time_left_ms: u64, count: usize) {
    for response in send_concurrently(proxy, &request("pay", time_left_ms), count) {
        assert_eq!(response.map(|response| response.status()), Some(502));
    }
}

/// Guards against a read buffer that is kept for each piece of a request's body.
#[test]
fn long_requests_in_small_pieces_are_served_within_the_memory_limit() {
    let backends: Vec<_> = (0..8).map(|_| Backend::start(|_| ok_response("x"))).collect();
    let (proxy, _discovery) = start_proxy(&backends);
    let clients: Vec<_> = (0..16).map(|_| send_in_pieces(&proxy, long_request(), PIECE_BYTES)).collect();
    let statuses: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    assert_eq!(statuses, [Some(200); 16]);
    assert_memory_is_within_limit(&proxy);
}

/// Guards against a read buffer that is kept for each chunk of a request's body.
#[test]
fn requests_in_chunks_of_one_byte_are_served_within_the_memory_limit() {
    let backends: Vec<_> = (0..8).map(|_| Backend::start(|_| ok_response("x"))).collect();
    let (proxy, _discovery) = start_proxy(&backends);
    let head = request("pay", 7000).replace("Content-Length: 4", "Transfer-Encoding: chunked");
    let text = head.replace("body", &format!("{}0\r\n\r\n", ONE_BYTE_CHUNK.repeat(CHUNKS)));
    let send = |_| send_in_pieces(&proxy, text.clone(), ONE_BYTE_CHUNK.len());
    let clients: Vec<_> = (0..16).map(send).collect();
    let statuses: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    assert_eq!(statuses, [Some(200); 16]);
    assert_memory_is_within_limit(&proxy);
}

/// Guards against a read buffer that is kept for each piece of a response's body.
#[test]
fn long_responses_in_small_pieces_are_served_within_the_memory_limit() {
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n{}", "x".repeat(50_000));
    let (proxy, _discovery) = start_proxy(&start_backends(16, &text, PIECE_BYTES));
    for response in send_concurrently(&proxy, &request("pay", 7000), 16) {
        let response = response.expect("a complete response");
        assert_eq!((response.status(), response.body.len()), (200, 50_000));
    }
    assert_memory_is_within_limit(&proxy);
}

/// Guards against memory that grows with each piece of a response that never ends.
#[test]
fn responses_that_never_end_are_given_up_within_the_memory_limit() {
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n{}", "x".repeat(59_000));
    let (proxy, _discovery) = start_proxy(&start_backends(16, &text, PIECE_BYTES));
    assert_requests_fail(&proxy, 3000, 16);
    assert_memory_is_within_limit(&proxy);
}

/// Guards against clients that stop in a long head and stay, each with all the bytes that it has sent.
#[test]
fn clients_that_stop_in_a_long_head_get_an_error_within_the_memory_limit() {
    let backend = Backend::start(|_| ok_response("x"));
    let (proxy, _discovery) = start_proxy(&[backend]);
    let text = format!("{}X-Facts: {}", request_head("read", 1200), "x".repeat(400_000));
    let began = Instant::now();
    let mut peers: Vec<_> = (0..DESCRIPTOR_LIMIT / 3).map(|_| Client::open(proxy.address)).collect();
    peers.iter_mut().for_each(|peer| peer.send(&text));
    assert_requests_are_served(&proxy, 20);
    for peer in &mut peers {
        let response = peer.read_response();
        assert!(response.as_ref().is_none_or(|response| response.status() >= 400), "{response:?}");
    }
    assert!(began.elapsed() < BAD_PEER_LIMIT, "the last peer was closed after {:?}", began.elapsed());
    assert_memory_is_within_limit(&proxy);
}

/// Guards against a limit on heads that refuses those of ordinary length.
#[test]
fn a_request_with_a_head_of_over_seven_kib_is_served() {
    let backend = Backend::start(|_| ok_response("x"));
    let (proxy, _discovery) = start_proxy(&[backend]);
    let text = request_head("read", 1200) + &long_fields();
    assert_eq!(send_request(&proxy, &format!("{text}\r\n")).status(), 200);
    assert_eq!(send_request(&proxy, &format!("{text}X-Facts: {}\r\n\r\n", "x".repeat(1000))).status(), 431);
}

/// Guards against responses whose heads never end, each with all the bytes that its backend has sent.
#[test]
fn long_heads_of_responses_are_malformed_within_the_memory_limit() {
    let text = format!("HTTP/1.1 200 OK\r\nX-Facts: {}", "x".repeat(400_000));
    let (proxy, _discovery) = start_proxy(&start_backends(DESCRIPTOR_LIMIT / 6, &text, text.len()));
    assert_requests_fail(&proxy, 3000, DESCRIPTOR_LIMIT / 3);
    assert_memory_is_within_limit(&proxy);
}

/// Guards against interim responses that are kept until the final one.
#[test]
fn interim_responses_without_end_take_no_memory() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    let (proxy, _discovery) = start_proxy(&start_backends(16, &interim.repeat(4000), interim.len()));
    assert_requests_fail(&proxy, 1500, 16);
    assert_memory_is_within_limit(&proxy);
}

/// Guards against trailers that are kept without a limit, in requests and in responses.
#[test]
fn long_trailers_are_malformed_within_the_memory_limit() {
    let trailers = format!("1\r\nx\r\n0\r\nX-Facts: {}", "x".repeat(400_000));
    let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{trailers}");
    let (proxy, _discovery) = start_proxy(&start_backends(DESCRIPTOR_LIMIT / 6, &text, text.len()));
    assert_requests_fail(&proxy, 3000, DESCRIPTOR_LIMIT / 3);
    let head = request("pay", 3000).replace("Content-Length: 4", "Transfer-Encoding: chunked");
    for response in send_concurrently(&proxy, &head.replace("body", &trailers), DESCRIPTOR_LIMIT / 3) {
        assert_eq!(response.map(|response| response.status()), Some(400));
    }
    assert_memory_is_within_limit(&proxy);
}

/// Guards against a read buffer that is kept for each piece of an endpoint list.
#[test]
fn a_list_in_small_pieces_is_applied_within_the_memory_limit() {
    let backend = Backend::start(|_| ok_response("listed"));
    let (proxy, discovery) = start_proxy(&[Backend::start(|_| ok_response("cached"))]);
    let unreachable =
        (0..99).map(|number| endpoint(&format!("u{number}"), refusing_address(), "draining", 0));
    let ready = std::iter::once(endpoint("a", backend.address, "ready", 0));
    let endpoints: Vec<_> = unreachable.chain(ready).collect();
    let list = json!({"index": 1, "snapshot": true, "endpoints": endpoints}).to_string();
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    discovery.respond(Reply::SendInPieces(text, PIECE_BYTES));
    for _ in 0..5 {
        assert_eq!(send_request(&proxy, &request("read", 1200)).body, b"listed");
    }
    assert_memory_is_within_limit(&proxy);
}

/// Returns a response with a long head and a body of the greatest length, of which this many bytes are
/// missing.
fn long_response(missing_bytes: usize) -> String {
    let body = "x".repeat(MAX_BODY_BYTES - missing_bytes);
    format!("HTTP/1.1 200 OK\r\n{}Content-Length: {MAX_BODY_BYTES}\r\n\r\n{body}", long_fields())
}

/// Returns a request with a long head and a body of the greatest length.
fn longest_request() -> String {
    long_request().replace("Host:", &format!("{}Host:", long_fields()))
}

/// Guards against limits for each connection whose sum exceeds the memory limit: every connection holds the
/// longest request, the longest incomplete response, and what its client has sent behind the request.
#[test]
fn the_longest_messages_on_all_connections_stay_within_the_memory_limit() {
    let response = long_response(1);
    let (proxy, _discovery) = start_proxy(&start_backends(DESCRIPTOR_LIMIT / 6, &response, response.len()));
    let text = longest_request().replace("7000", "3000").repeat(4);
    let mut peers: Vec<_> = (0..DESCRIPTOR_LIMIT / 2).map(|_| Client::open(proxy.address)).collect();
    let send = |peer: &mut Client| peer.send_without_waiting(&text);
    peers.iter_mut().for_each(send);
    for peer in &mut peers {
        let response = peer.read_response();
        assert!(response.as_ref().is_none_or(|response| response.status() >= 400), "{response:?}");
    }
    assert_memory_is_within_limit(&proxy);
}

/// Guards against limits that refuse the clients that the platform allows: a third of the descriptors, with
/// the longest requests and responses, while other clients stop in their requests.
#[test]
fn as_many_long_requests_as_the_terms_allow_are_served_beside_stalled_clients() {
    let response = long_response(0);
    let (proxy, _discovery) = start_proxy(&start_backends(DESCRIPTOR_LIMIT / 6, &response, response.len()));
    let _stalled = open_stalled_clients(&proxy, 16);
    for response in send_concurrently(&proxy, &long_request(), DESCRIPTOR_LIMIT / 3) {
        let response = response.expect("a complete response");
        assert_eq!((response.status(), response.body.len()), (200, MAX_BODY_BYTES));
    }
    assert_memory_is_within_limit(&proxy);
}

/// Guards against bodies whose sum is limited only by the number of connections: with many descriptors and
/// little memory, they wait for each other and are all served.
#[test]
fn long_requests_wait_for_memory_and_are_served() {
    let response = long_response(0);
    let descriptors = 640;
    let backends = start_backends(descriptors / 12, &response, response.len());
    let (proxy, _discovery) = start_proxy_with_limits(&backends, MEMORY_LIMIT_MB, descriptors);
    let address = proxy.address;
    let send = |_| {
        std::thread::spawn(move || {
            let mut client = Client::open(address);
            client.send(&long_request());
            client.read_response().map(|response| (response.status(), response.body.len()))
        })
    };
    let clients: Vec<_> = (0..descriptors / 3).map(send).collect();
    for client in clients {
        assert_eq!(client.join().unwrap(), Some((200, MAX_BODY_BYTES)));
    }
    assert_memory_is_within_limit(&proxy);
}

/// Guards against a body that waits for memory beyond the time in which a bad peer must get an error.
#[test]
fn stalled_requests_without_memory_get_an_error_in_time() {
    let descriptors = 1024;
    let backend = Backend::start(|_| ok_response("x"));
    let (proxy, _discovery) = start_proxy_with_limits(&[backend], MEMORY_LIMIT_MB, descriptors);
    let began = Instant::now();
    let mut peers = open_stalled_clients(&proxy, descriptors / 3);
    assert_timed_out(&mut peers);
    assert!(began.elapsed() < BAD_PEER_LIMIT, "the last peer was closed after {:?}", began.elapsed());
    assert_requests_are_served(&proxy, 20);
    assert_memory_is_within_limit(&proxy);
}

/// Guards against clients that hold all memory for bodies with requests that they do not complete.
#[test]
fn a_long_request_is_served_while_stalled_requests_hold_the_memory() {
    let descriptors = 1024;
    let backend = Backend::start(|_| ok_response("x"));
    let (proxy, _discovery) = start_proxy_with_limits(&[backend], MEMORY_LIMIT_MB, descriptors);
    let mut peers = open_stalled_clients(&proxy, descriptors / 4);
    let began = Instant::now();
    assert_eq!(send_request(&proxy, &long_request()).status(), 200);
    // The stalled requests have their time of nearly 3 s otherwise.
    assert!(began.elapsed() < Duration::from_secs(2), "served after {:?}", began.elapsed());
    assert_timed_out(&mut peers);
}
