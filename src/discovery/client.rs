//! HTTP client for discovery, with one connection that is opened on demand and reused.

use crate::net::body::{self, BodyError};
use crate::net::connect::{connect, ConnectError};
use crate::wire::endpoint_list::EndpointList;
use crate::wire::WireError;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Longest response body that is read, enough for thousands of endpoints.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Size of the read buffer, in bytes; also limits the head of a response.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Why a call to discovery returned no endpoint list.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The connection could not be established.
    #[error("cannot connect to discovery: {0}")]
    Connect(ConnectError),
    /// The address or the path is not valid in an HTTP request.
    #[error("invalid discovery request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The HTTP exchange failed.
    #[error("discovery connection failed: {0}")]
    Connection(#[from] hyper::Error),
    /// The response body is truncated or too long.
    #[error("cannot read the response of discovery: {0}")]
    Body(#[from] BodyError),
    /// The response status is not 200.
    #[error("discovery answered with status {0}")]
    Status(StatusCode),
    /// The response body is not valid JSON.
    #[error("expected JSON in the response of discovery: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The JSON document is not an endpoint list.
    #[error(transparent)]
    List(#[from] WireError),
    /// Discovery did not answer within the timeout of the call.
    #[error("discovery did not answer in time")]
    TimedOut,
}

/// Client for discovery; connects on the first call.
#[derive(Default)]
pub(super) struct Client {
    connection: Option<Connection>,
}

impl Client {
    /// Requests the endpoint list at `path`, on the existing connection if it is still open.
    pub(super) async fn fetch_list(
        &mut self, address: SocketAddr, connect_timeout: Duration, path: &str,
    ) -> Result<EndpointList, DiscoveryError> {
        let connection = match &mut self.connection {
            Some(open) if !open.sender.is_closed() => open,
            // Without a separate connect timeout, an unreachable address would use up the time for the
            // response.
            connection => connection.insert(Connection::open(address, connect_timeout).await?),
        };
        connection.fetch_list(address, path).await
    }

    /// Closes the connection, so that the next call opens a new one.
    pub(super) fn disconnect(&mut self) {
        self.connection = None;
    }
}

/// A connection to discovery, closed on drop.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects within `timeout`. If this machine lacks a socket, an address or a route, retries until the
    /// timeout of the call drops this future.
    async fn open(address: SocketAddr, timeout: Duration) -> Result<Connection, DiscoveryError> {
        let stream = loop {
            match connect(address, timeout, || Some(())).await {
                Ok(connected) => break connected.stream,
                Err(error @ ConnectError::ResourcesExhausted) => {
                    tracing::debug!(%error, "discovery connect failed");
                }
                Err(error) => return Err(DiscoveryError::Connect(error)),
            }
        };
        let handshake = http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "discovery connection failed");
            }
        });
        Ok(Connection { sender, driver })
    }

    async fn fetch_list(&mut self, address: SocketAddr, path: &str) -> Result<EndpointList, DiscoveryError> {
        self.sender.ready().await?;
        let request = Request::get(path).header(header::HOST, address.to_string()).body(Empty::new())?;
        let response = self.sender.send_request(request).await?;
        let status = response.status();
        let body = body::read(response.into_body(), MAX_LIST_BYTES).await?;
        if status != StatusCode::OK {
            return Err(DiscoveryError::Status(status));
        }
        let document = serde_json::from_slice(&body)?;
        Ok(EndpointList::from_value(&document)?)
    }
}
