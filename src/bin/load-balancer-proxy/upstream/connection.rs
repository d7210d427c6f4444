//! One connection to a backend, which carries one request at a time.

use super::attempt::UpstreamResult;
use super::response::{self, ExchangeError};
use super::socket::{UpstreamSocket, WriteProgress};
use super::socket_budget::SocketSlot;
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

/// A connection, polled only by the attempt that uses it: dropping it closes the socket at once.
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<http1::Connection<UpstreamSocket, Full<Bytes>>>>,
    write_progress: Rc<Cell<WriteProgress>>,
    /// The driver has run to its end and is not polled again.
    is_closed: bool,
    _slot: SocketSlot,
}

impl Connection {
    /// Starts HTTP on a connected socket.
    pub async fn open(stream: TcpStream, slot: SocketSlot) -> hyper::Result<Connection> {
        let write_progress = Rc::new(Cell::new(WriteProgress::default()));
        let socket = UpstreamSocket::new(stream, write_progress.clone());
        let (sender, driver) = http1::handshake(socket).await?;
        Ok(Connection { sender, driver: Box::pin(driver), write_progress, is_closed: false, _slot: slot })
    }

    /// How much of the present request was written, also while an exchange runs.
    pub fn write_progress(&self) -> Rc<Cell<WriteProgress>> {
        self.write_progress.clone()
    }

    /// Sends the request and reads the response to its end. A connection that breaks shows in the result.
    pub async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<UpstreamResult, ExchangeError> {
        self.write_progress.set(WriteProgress::NotStarted);
        let mut exchange = pin!(response::send_and_read(&mut self.sender, request));
        poll_fn(|context| {
            if !self.is_closed {
                self.is_closed = self.driver.as_mut().poll(context).is_ready();
            }
            exchange.as_mut().poll(context)
        })
        .await
    }

    /// Whether it can take a request: the backend has not closed it and the last response is done.
    pub async fn is_reusable(&mut self) -> bool {
        // One poll, which never waits. A closed connection is not polled again: it would never be ready, and
        // what waits on it would be held back until the deadline.
        if !self.is_closed {
            self.is_closed =
                poll_fn(|context| Poll::Ready(self.driver.as_mut().poll(context).is_ready())).await;
        }
        !self.is_closed && self.sender.is_ready()
    }
}
