//! A client's socket that is read ahead while a request awaits its response.
//!
//! In that state, hyper reads no more than the next byte, so that further bytes sent by the client would hide
//! the end of its stream, and with it that the client has disconnected.

use super::client_connection::Activity;
use crate::headers::MAX_BODY_BYTES;
use bytes::{Buf, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that are read ahead and buffered; more than that is no valid request of a client.
/// Further bytes are still read, to detect the end of the stream, and dropped.
const MAX_READ_AHEAD_BYTES: usize = 2 * MAX_BODY_BYTES;
const READ_BUFFER_BYTES: usize = 4096;
/// How long to wait for the end of a client's stream after the last response. A client closes the connection
/// once it has read that response; a peer that does not close it occupies a descriptor for this long.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a peer whose request was never completed and that has stopped sending.
const STALLED_PEER_LINGER_TIMEOUT: Duration = Duration::from_millis(100);
/// Response to a request whose head was never completed; hyper does not know about the request yet.
const TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// The last response on a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LastResponse {
    /// The response to a complete request.
    Complete,
    /// A 408 response to an incomplete request.
    Timeout,
}

struct Socket {
    io: TokioIo<TcpStream>,
    /// Bytes that were read ahead and not passed to hyper yet.
    read_ahead: BytesMut,
    /// Whether bytes were dropped because the buffer was full.
    is_truncated: bool,
    has_written: bool,
    activity: Rc<Activity>,
}

impl Socket {
    fn buffer(&mut self, bytes: &[u8]) {
        self.is_truncated |= self.read_ahead.len() + bytes.len() > MAX_READ_AHEAD_BYTES;
        if !self.is_truncated {
            self.read_ahead.extend_from_slice(bytes);
        }
    }
}

/// A client's socket, shared by hyper and the connection's task.
#[derive(Clone)]
pub struct ClientSocket(Rc<RefCell<Socket>>);

impl ClientSocket {
    /// Wraps a connected stream; reads are recorded in `activity`.
    pub fn new(stream: TcpStream, activity: Rc<Activity>) -> ClientSocket {
        ClientSocket(Rc::new(RefCell::new(Socket {
            io: TokioIo::new(stream),
            read_ahead: BytesMut::new(),
            is_truncated: false,
            has_written: false,
            activity,
        })))
    }

    /// Answers the incomplete request with 408 and ends the connection.
    pub async fn send_timeout_response(&self) {
        let written = poll_fn(|cx| Pin::new(&mut self.0.borrow_mut().io).poll_write(cx, TIMEOUT_RESPONSE));
        let _ = tokio::time::timeout(STALLED_PEER_LINGER_TIMEOUT, written).await;
        self.0.borrow_mut().has_written = true;
        self.linger(LastResponse::Timeout).await;
    }

    /// Ends the connection after its last response: shuts down the sending side and reads up to the end of
    /// the client's stream. Closing a socket with unread bytes resets the connection, and the client may lose
    /// the response.
    pub async fn linger(&self, last_response: LastResponse) {
        if !self.0.borrow().has_written {
            return;
        }
        let timeout = match last_response {
            LastResponse::Complete => LINGER_TIMEOUT,
            LastResponse::Timeout => STALLED_PEER_LINGER_TIMEOUT,
        };
        let end = async {
            let shutdown = poll_fn(|cx| Pin::new(&mut self.0.borrow_mut().io).poll_shutdown(cx)).await;
            if shutdown.is_ok() {
                poll_fn(|cx| self.poll_disconnected(cx)).await;
            }
        };
        let _ = tokio::time::timeout(timeout, end).await;
    }

    /// Ready once the client has closed or reset the connection, even if it sent further bytes before.
    pub fn poll_disconnected(&self, cx: &mut Context) -> Poll<()> {
        let socket = &mut *self.0.borrow_mut();
        loop {
            let mut buffer = [0; READ_BUFFER_BYTES];
            let mut read = ReadBuf::new(&mut buffer);
            let result = ready!(Pin::new(socket.io.inner_mut()).poll_read(cx, &mut read));
            if result.is_err() || read.filled().is_empty() {
                return Poll::Ready(());
            }
            socket.buffer(read.filled());
        }
    }
}

impl Read for ClientSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, mut buffer: ReadBufCursor) -> Poll<io::Result<()>> {
        let socket = &mut *self.0.borrow_mut();
        if socket.read_ahead.is_empty() && !socket.is_truncated {
            let read = Pin::new(&mut socket.io).poll_read(cx, buffer);
            if matches!(read, Poll::Ready(Ok(()))) {
                socket.activity.record_read();
            }
            return read;
        }
        if !socket.read_ahead.is_empty() {
            socket.activity.record_read();
        }
        // hyper sees the end of a truncated stream here and closes the connection after the current response.
        let length = socket.read_ahead.len().min(buffer.remaining());
        buffer.put_slice(&socket.read_ahead[..length]);
        socket.read_ahead.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl Write for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let socket = &mut *self.0.borrow_mut();
        socket.has_written = true;
        Pin::new(&mut socket.io).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context, slices: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let socket = &mut *self.0.borrow_mut();
        socket.has_written = true;
        Pin::new(&mut socket.io).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().io.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().io).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().io).poll_shutdown(cx)
    }
}
