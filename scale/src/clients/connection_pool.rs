//! The connections of the clients of one proxy.

use super::counters::{RequestOutcome, SharedCounters};
use super::schedule::PlannedRequest;
use crate::naming::{class_name, is_idempotent, tenant_name};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// The longest answer that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

type Connection = SendRequest<Full<Bytes>>;

/// The connections to one proxy: idle ones are used again.
pub(super) struct ConnectionPool {
    address: SocketAddr,
    max_connections: u32,
    /// Time in which a client expects its answer.
    deadline: Duration,
    counters: SharedCounters,
    open_count: Cell<u32>,
    idle: RefCell<Vec<Connection>>,
}

impl ConnectionPool {
    pub fn new(
        address: SocketAddr, max_connections: u32, deadline: Duration, counters: SharedCounters,
    ) -> ConnectionPool {
        ConnectionPool {
            address,
            max_connections,
            deadline,
            counters,
            open_count: Cell::default(),
            idle: RefCell::default(),
        }
    }

    /// Sends a request and reads its answer; sends it once more on a new connection where the proxy closed an
    /// idle one at the same moment.
    pub async fn exchange(self: Rc<Self>, request: &PlannedRequest) -> RequestOutcome {
        if let Some(connection) = self.take_idle() {
            match self.send(connection, request).await {
                Err(error) if was_closed_before_response(&error) => self.counters.lock().resent += 1,
                sent => return outcome_or_lost(request, sent),
            }
        }
        match self.open().await {
            Some(connection) => outcome_or_lost(request, self.send(connection, request).await),
            None => RequestOutcome::Unsent,
        }
    }

    async fn send(
        &self, mut connection: Connection, planned: &PlannedRequest,
    ) -> Result<RequestOutcome, hyper::Error> {
        let Some(request) = http_request(planned, self.deadline) else { return Ok(RequestOutcome::Unsent) };
        let response = connection.send_request(request).await?;
        let status = response.status();
        let Ok(body) = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await else {
            return Ok(RequestOutcome::Lost);
        };
        if connection.ready().await.is_ok() {
            self.idle.borrow_mut().push(connection);
        }
        let service_time = Duration::from_micros(service_time_us(&body.to_bytes()).unwrap_or(0));
        Ok(RequestOutcome::Responded { status, service_time })
    }

    /// An idle connection that still stands.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| !connection.is_closed());
        idle.pop()
    }

    /// A new connection; none where as many as allowed are open, or the proxy takes none.
    async fn open(self: &Rc<Self>) -> Option<Connection> {
        if self.open_count.get() >= self.max_connections {
            return None;
        }
        self.open_count.set(self.open_count.get() + 1);
        let opened = self.handshake().await;
        if opened.is_none() {
            self.connection_closed();
        }
        opened
    }

    async fn handshake(self: &Rc<Self>) -> Option<Connection> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            if connection.await.is_err_and(|error| is_unexpected_message(&error)) {
                pool.counters.lock().unexpected_messages += 1;
            }
            pool.connection_closed();
        });
        Some(sender)
    }

    fn connection_closed(&self) {
        self.open_count.set(self.open_count.get() - 1);
    }
}

/// Nothing of an answer came: the proxy need not have read the request.
fn was_closed_before_response(error: &hyper::Error) -> bool {
    error.is_canceled() || error.is_closed() || error.is_incomplete_message()
}

/// The proxy sent what no request had asked for.
fn is_unexpected_message(error: &hyper::Error) -> bool {
    error.is_parse() || error.to_string().contains("unexpected message")
}

/// The time that the backend took, from the body of its answer.
fn service_time_us(body: &[u8]) -> Option<u64> {
    std::str::from_utf8(body).ok()?.parse().ok()
}

fn outcome_or_lost(request: &PlannedRequest, sent: Result<RequestOutcome, hyper::Error>) -> RequestOutcome {
    sent.unwrap_or_else(|error| {
        tracing::info!("request {}: {error}", request.id);
        RequestOutcome::Lost
    })
}

fn http_request(planned: &PlannedRequest, deadline: Duration) -> Option<Request<Full<Bytes>>> {
    let class = class_name(planned.class);
    let (method, body) = if is_idempotent(planned.class) { ("GET", "") } else { ("POST", "body") };
    let time_left_ms = deadline.saturating_sub(planned.planned_at.elapsed()).as_millis();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("/{class}/a"))
        .header("host", "backend.local")
        .header("x-correlation-id", format!("{:016x}", planned.id))
        .header("x-time-left-ms", time_left_ms.to_string());
    if let Some(tenant) = planned.tenant {
        request = request.header("x-account", tenant_name(tenant));
    }
    request.header("x-service-class", class).body(Full::new(Bytes::from(body))).ok()
}
