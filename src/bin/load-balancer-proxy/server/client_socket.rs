//! A client's socket, read ahead while a request awaits its answer: hyper then reads no further than the next
//! byte, and bytes that a client has sent beyond it would hide that the client has disconnected.

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

/// Bytes read ahead that are kept: more than the largest body at once is no request of a client. The rest is
/// read, to see the end of the stream, and dropped.
const MAX_READ_AHEAD_BYTES: usize = 2 * MAX_BODY_BYTES;
const READ_BYTES: usize = 4096;
/// How long the end of a client's stream is waited for: a client closes once it has read the end of the
/// answer, and peers that do not close hold a descriptor for so long.
const LINGER: Duration = Duration::from_millis(500);
/// The same for a peer whose request was never complete: it has ceased to send.
const TIMEOUT_LINGER: Duration = Duration::from_millis(100);
/// The answer to a request whose head was never complete, of which hyper knows nothing yet.
const TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// What a connection ends with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LastResponse {
    /// The answer to a complete request.
    Answer,
    /// The answer 408 to a request whose head was never complete.
    Timeout,
}

struct Socket {
    io: TokioIo<TcpStream>,
    /// Bytes that were read ahead of hyper.
    read_ahead: BytesMut,
    /// More was sent than is kept; the rest is lost.
    is_truncated: bool,
    has_written: bool,
    activity: Rc<Activity>,
}

impl Socket {
    fn keep(&mut self, bytes: &[u8]) {
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
    /// Records in `activity` when bytes are read.
    pub fn new(stream: TcpStream, activity: Rc<Activity>) -> ClientSocket {
        ClientSocket(Rc::new(RefCell::new(Socket {
            io: TokioIo::new(stream),
            read_ahead: BytesMut::new(),
            is_truncated: false,
            has_written: false,
            activity,
        })))
    }

    /// Answers the request that has begun with 408, and ends the connection.
    pub async fn send_timeout_response(&self) {
        let written = poll_fn(|cx| Pin::new(&mut self.0.borrow_mut().io).poll_write(cx, TIMEOUT_RESPONSE));
        let _ = tokio::time::timeout(TIMEOUT_LINGER, written).await;
        self.0.borrow_mut().has_written = true;
        self.linger(LastResponse::Timeout).await;
    }

    /// Ends the connection after its last answer: reads what still comes, up to the end of the client's
    /// stream. A socket closed with unread bytes resets the connection, which may destroy the answer on its
    /// way.
    pub async fn linger(&self, last_response: LastResponse) {
        if !self.0.borrow().has_written {
            return;
        }
        let timeout = match last_response {
            LastResponse::Answer => LINGER,
            LastResponse::Timeout => TIMEOUT_LINGER,
        };
        let end = async {
            let shutdown = poll_fn(|cx| Pin::new(&mut self.0.borrow_mut().io).poll_shutdown(cx)).await;
            if shutdown.is_ok() {
                poll_fn(|cx| self.poll_disconnected(cx)).await;
            }
        };
        let _ = tokio::time::timeout(timeout, end).await;
    }

    /// Ready once the client has closed or reset the connection, whatever it sent before that.
    pub fn poll_disconnected(&self, cx: &mut Context) -> Poll<()> {
        let socket = &mut *self.0.borrow_mut();
        loop {
            let mut buffer = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut buffer);
            let result = ready!(Pin::new(socket.io.inner_mut()).poll_read(cx, &mut read));
            if result.is_err() || read.filled().is_empty() {
                return Poll::Ready(());
            }
            socket.keep(read.filled());
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
        // A truncated stream ends here for hyper, which closes the connection after the current answer.
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
