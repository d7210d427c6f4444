//! Calls to discovery, over one connection that is opened as a call needs it.

use crate::net::connect::{connect, ConnectError};
use crate::wire::endpoint_list::EndpointList;
use crate::wire::WireError;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinHandle;

/// The longest list that is read: some thousand entries.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why a call brought no list.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// No connection came up.
    #[error("{0}")]
    Connect(ConnectError),
    /// The address or the path makes no request.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The connection failed.
    #[error("{0}")]
    Connection(#[from] hyper::Error),
    /// The body broke off or is too long.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// Discovery refused the call.
    #[error("status {0}")]
    Status(StatusCode),
    /// The body is no JSON document.
    #[error("expected JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The document is no list.
    #[error(transparent)]
    List(#[from] WireError),
    /// Nothing came in the time of the call.
    #[error("no answer in time")]
    TimedOut,
}

/// The way to discovery.
#[derive(Default)]
pub(super) struct Client {
    connection: Option<Connection>,
}

impl Client {
    /// Calls for a list, on the connection held if it still stands.
    pub(super) async fn call(
        &mut self, address: SocketAddr, connect_timeout: Duration, path: &str,
    ) -> Result<EndpointList, DiscoveryError> {
        let connection = match &mut self.connection {
            Some(held) if !held.sender.is_closed() => held,
            // Without its own limit a cut route would use up the time for the answer.
            replaced => replaced.insert(Connection::open(address, connect_timeout).await?),
        };
        connection.call(address, path).await
    }

    /// Closes the connection: it may be why a call failed.
    pub(super) fn disconnect(&mut self) {
        self.connection = None;
    }
}

/// One connection to discovery; dropping it closes it.
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
    /// Connects within that time; while this machine is short of resources the call waits.
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
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "discovery connection failed");
            }
        });
        Ok(Connection { sender, driver })
    }

    async fn call(&mut self, address: SocketAddr, path: &str) -> Result<EndpointList, DiscoveryError> {
        self.sender.ready().await?;
        let request = Request::get(path).header(header::HOST, address.to_string()).body(Empty::new())?;
        let response = self.sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
        let body = body.map_err(DiscoveryError::Body)?.to_bytes();
        if status != StatusCode::OK {
            return Err(DiscoveryError::Status(status));
        }
        let document = serde_json::from_slice(&body)?;
        Ok(EndpointList::from_value(&document)?)
    }
}
