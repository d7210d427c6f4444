//! Client connections to one proxy.

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

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

type Connection = SendRequest<Full<Bytes>>;

/// Pool of connections to one proxy that reuses idle connections.
pub(super) struct ConnectionPool {
    address: SocketAddr,
    max_connections: u32,
    /// Time from the planned send within which a client expects the response.
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

    /// Sends a request and reads its response. If the proxy closes a reused connection before it responds,
    /// the request is sent once more on a new connection.
    pub async fn exchange(self: Rc<Self>, request: &PlannedRequest) -> RequestOutcome {
        if let Some(connection) = self.take_idle() {
            match self.send(connection, request).await {
                Err(error) if was_closed_before_response(&error) => self.counters.lock().resent += 1,
                result => return outcome_or_lost(request, result),
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
        let Some(request) = build_request(planned, self.deadline) else { return Ok(RequestOutcome::Unsent) };
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

    /// Takes an idle connection that is still open.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| !connection.is_closed());
        idle.pop()
    }

    /// Opens a connection; returns `None` at the connection limit or if the proxy does not accept.
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

/// Returns whether the connection closed before any byte of a response, so that the proxy may not have read
/// the request.
fn was_closed_before_response(error: &hyper::Error) -> bool {
    error.is_canceled() || error.is_closed() || error.is_incomplete_message()
}

/// Returns whether the proxy sent data that is not a response to a request.
fn is_unexpected_message(error: &hyper::Error) -> bool {
    error.is_parse() || error.to_string().contains("unexpected message")
}

/// Parses the service time that the backend writes into the response body.
fn service_time_us(body: &[u8]) -> Option<u64> {
    std::str::from_utf8(body).ok()?.parse().ok()
}

fn outcome_or_lost(request: &PlannedRequest, result: Result<RequestOutcome, hyper::Error>) -> RequestOutcome {
    result.unwrap_or_else(|error| {
        tracing::info!("request {} failed: {error}", request.id);
        RequestOutcome::Lost
    })
}

fn build_request(planned: &PlannedRequest, deadline: Duration) -> Option<Request<Full<Bytes>>> {
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
