//! One connection to a backend, which carries one request at a time.

use super::attempt::UpstreamResult;
use super::response::{self, ExchangeError};
use super::socket::{UpstreamSocket, WriteProgress};
use super::socket_budget::SocketSlot;
use crate::headers::MAX_HEAD_BYTES;
use crate::memory::BodyBudget;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::Request;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use tokio::net::TcpStream;

/// Length by which the head that is sent to a backend may exceed that of the client's request: hyper writes a
/// space behind each colon and states the length of the body.
const HEAD_GROWTH_BYTES: usize = 1 << 10;
/// Size of the buffers of a connection, in bytes. hyper flushes a head that fills its buffer before it writes
/// the body, which would count as the end of the request ([`WriteProgress::Complete`]); the longest head does
/// not.
const BUFFER_BYTES: usize = MAX_HEAD_BYTES + HEAD_GROWTH_BYTES;

/// An HTTP/1 connection. It has no task of its own but is polled by the attempt that uses it, so that
/// dropping it closes the socket immediately.
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<http1::Connection<UpstreamSocket, Full<Bytes>>>>,
    write_progress: Rc<Cell<WriteProgress>>,
    /// Whether the driver has completed, after which it must not be polled again.
    is_closed: bool,
    _slot: SocketSlot,
}

impl Connection {
    /// Performs hyper's HTTP/1 handshake on a connected socket. The head of a response and its trailers are
    /// limited to [`MAX_HEAD_BYTES`].
    pub async fn open(stream: TcpStream, slot: SocketSlot) -> hyper::Result<Connection> {
        let write_progress = Rc::new(Cell::new(WriteProgress::default()));
        let socket = UpstreamSocket::new(stream, write_progress.clone());
        let mut http = http1::Builder::new();
        http.max_buf_size(BUFFER_BYTES).max_header_size(MAX_HEAD_BYTES);
        let (sender, driver) = http.handshake(socket).await?;
        Ok(Connection { sender, driver: Box::pin(driver), write_progress, is_closed: false, _slot: slot })
    }

    /// Returns a shared handle to the write progress of the current request, which is updated during an
    /// exchange.
    pub fn write_progress(&self) -> Rc<Cell<WriteProgress>> {
        self.write_progress.clone()
    }

    /// Sends the request and reads the complete response. A connection failure is returned as an error.
    pub async fn exchange(
        &mut self, request: Request<Full<Bytes>>, response_bodies: &BodyBudget,
    ) -> Result<UpstreamResult, ExchangeError> {
        self.write_progress.set(WriteProgress::NotStarted);
        let mut exchange = pin!(response::send_and_read(&mut self.sender, request, response_bodies));
        poll_fn(|context| {
            if !self.is_closed {
                self.is_closed = self.driver.as_mut().poll(context).is_ready();
            }
            exchange.as_mut().poll(context)
        })
        .await
    }

    /// Returns whether the connection can carry another request: the backend has not closed it, and the last
    /// response is complete.
    pub async fn is_reusable(&mut self) -> bool {
        // Polls the driver once, without waiting. A closed connection is not polled again: it would never
        // become ready, and its attempt would wait until the deadline.
        if !self.is_closed {
            self.is_closed =
                poll_fn(|context| Poll::Ready(self.driver.as_mut().poll(context).is_ready())).await;
        }
        !self.is_closed && self.sender.is_ready()
    }
}
