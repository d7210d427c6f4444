//! A mock discovery service on loopback whose responses are chosen by the test.

use super::{ok_response, read_message, wait_until, Reply, ReservedPort};
use serde_json::{json, Value};
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Interval at which a pending call checks whether the proxy has closed the connection.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Default)]
struct State {
    /// Version of the last published list.
    version: u64,
    /// Reply to the pending call or, if there is none, to the next one.
    pending_reply: Option<Reply>,
    /// Number of calls received when the last reply was sent.
    calls_before_reply: usize,
}

/// A mock discovery service. A call is answered when the test provides a reply, or after the wait that the
/// call requests. A call without a wait is answered only by a reply from the test.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    request_lines: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    pub fn start() -> Discovery {
        Discovery::start_on(ReservedPort::bind())
    }

    pub fn start_on(port: ReservedPort) -> Discovery {
        let listener = port.listen();
        let address = listener.local_addr().unwrap();
        let discovery = Discovery { address, state: Arc::default(), request_lines: Arc::default() };
        let shared = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let discovery = shared.clone();
                std::thread::spawn(move || discovery.serve_connection(stream));
            }
        });
        discovery
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(call) = read_message(&mut reader) {
            let request_line = call.start_line.clone();
            self.request_lines.lock().unwrap().push(call.start_line);
            let reply = self.reply_to(&request_line, &stream);
            if !reply.is_some_and(|reply| reply.write_to(&mut stream)) {
                return;
            }
        }
    }

    /// Returns the reply provided by the test, or an empty delta once the call's wait is over; `None` if the
    /// proxy has closed the connection.
    fn reply_to(&self, request_line: &str, stream: &TcpStream) -> Option<Reply> {
        let wait = query_number(request_line, "wait_ms=");
        let end = wait.map(|wait_ms| Instant::now() + Duration::from_millis(wait_ms));
        let mut state = self.state.0.lock().unwrap();
        loop {
            if is_closed_by_peer(stream) {
                return None;
            }
            if let Some(reply) = state.pending_reply.take() {
                state.calls_before_reply = self.call_count();
                return Some(reply);
            }
            if end.is_some_and(|end| Instant::now() >= end) {
                let version = query_number(request_line, "after=");
                let delta = json!({"index": version, "snapshot": false, "endpoints": []});
                return Some(ok_response(&delta.to_string()));
            }
            state = self.state.1.wait_timeout(state, CLOSE_POLL_INTERVAL).unwrap().0;
        }
    }

    /// Publishes a list of all endpoints and waits until the proxy has called again, after it has received
    /// the list.
    pub fn publish_snapshot(&self, endpoints: &[Value]) {
        self.publish(true, endpoints);
    }

    /// Publishes the changed endpoints and waits until the proxy has called again, after it has received
    /// them.
    pub fn publish_delta(&self, endpoints: &[Value]) {
        self.publish(false, endpoints);
    }

    fn publish(&self, is_snapshot: bool, endpoints: &[Value]) {
        let version = self.state.0.lock().unwrap().version + 1;
        self.state.0.lock().unwrap().version = version;
        let list = json!({"index": version, "snapshot": is_snapshot, "endpoints": endpoints});
        self.respond_with_body(&list.to_string());
    }

    /// Answers a call with a 200 response and waits until the proxy has called again.
    pub fn respond_with_body(&self, body: &str) {
        self.respond(ok_response(body));
    }

    /// Replies to a call and waits until the proxy has called again.
    pub fn respond(&self, reply: Reply) {
        self.state.0.lock().unwrap().pending_reply = Some(reply);
        self.state.1.notify_all();
        wait_until("the next call to discovery", || {
            let state = self.state.0.lock().unwrap();
            state.pending_reply.is_none() && self.call_count() > state.calls_before_reply
        });
    }

    /// Returns the number of calls received so far.
    pub fn call_count(&self) -> usize {
        self.request_lines().len()
    }

    /// Returns the request lines of all calls received so far.
    pub fn request_lines(&self) -> Vec<String> {
        self.request_lines.lock().unwrap().clone()
    }
}

/// Returns the number that follows `key` in a request line.
fn query_number(request_line: &str, key: &str) -> Option<u64> {
    let digits = request_line.split_once(key)?.1;
    digits.split(|character: char| !character.is_ascii_digit()).next()?.parse().ok()
}

fn is_closed_by_peer(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let is_closed = matches!(stream.peek(&mut [0]), Ok(0));
    stream.set_nonblocking(false).unwrap();
    is_closed
}
