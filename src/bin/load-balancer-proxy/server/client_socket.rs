//! A client's socket. While a request awaits its response, the connection's task reads ahead from the socket
//! to detect that the client has disconnected.
//!
//! hyper does not always detect this itself: if it receives a byte of the next request while a request awaits
//! its response, it stops reading. It then does not see the end of the stream.

use super::client_connection::ReadTimes;
use crate::headers::MAX_BODY_BYTES;
use bytes::{Buf, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io::{self, Read as _};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that are read ahead and buffered, more than a valid request has. Further bytes are
/// still read, to detect the end of the stream, but dropped.
const MAX_READ_AHEAD_BYTES: usize = 2 * MAX_BODY_BYTES;
const READ_BUFFER_BYTES: usize = 4096;
/// How long to wait for the end of a client's stream after the last response. A client closes the connection
/// once it has read that response; a peer that does not close it occupies a descriptor for this long.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The same after a 408 response to an incomplete request, whose peer has usually stopped sending. Also
/// limits the time for writing that response.
const STALLED_PEER_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Response to a request whose head was never completed; hyper does not know about the request yet.
const TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// The last response on a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LastResponse {
    /// Any response other than [`Timeout`](LastResponse::Timeout).
    Regular,
    /// A 408 response to an incomplete request, after the connection was asked to close with
    /// [`CloseMode::TimeOutRequest`](super::client_connection::CloseMode::TimeOutRequest).
    Timeout,
}

struct Socket {
    io: TokioIo<TcpStream>,
    /// Bytes that were read ahead and not passed to hyper yet.
    read_ahead: BytesMut,
    /// Whether bytes were dropped because the buffer was full. All later bytes are then dropped too.
    is_truncated: bool,
    has_written: bool,
    read_times: Rc<ReadTimes>,
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
    /// Wraps a connected stream; reads by hyper are recorded in `read_times`.
    pub fn new(stream: TcpStream, read_times: Rc<ReadTimes>) -> ClientSocket {
        ClientSocket(Rc::new(RefCell::new(Socket {
            io: TokioIo::new(stream),
            read_ahead: BytesMut::new(),
            is_truncated: false,
            has_written: false,
            read_times,
        })))
    }

    /// Answers a request whose head is incomplete with 408.
    pub async fn send_timeout_response(&self) {
        let written = poll_fn(|cx| Pin::new(&mut self.0.borrow_mut().io).poll_write(cx, TIMEOUT_RESPONSE));
        let _ = tokio::time::timeout(STALLED_PEER_CLOSE_TIMEOUT, written).await;
        self.0.borrow_mut().has_written = true;
    }

    /// Ends the connection after its last response: shuts down the sending side and reads up to the end of
    /// the client's stream, without keeping what it reads. Closing a socket with unread bytes resets the connection, and the client may lose
    /// the response. Does nothing if no response was written.
    pub async fn lingering_close(&self, last_response: LastResponse) {
        if !self.0.borrow().has_written {
            return;
        }
        let timeout = match last_response {
            LastResponse::Regular => LINGERING_CLOSE_TIMEOUT,
            LastResponse::Timeout => STALLED_PEER_CLOSE_TIMEOUT,
        };
        let end = async {
            let shutdown = poll_fn(|cx| Pin::new(&mut self.0.borrow_mut().io).poll_shutdown(cx)).await;
            if shutdown.is_ok() {
                poll_fn(|cx| self.poll_discard(cx)).await;
            }
        };
        let _ = tokio::time::timeout(timeout, end).await;
    }

    /// Reads ahead what has arrived, without waiting for the runtime to be notified of it. Returns whether the
    /// client has closed the connection, at least for sending, or reset it.
    pub fn is_disconnected(&self) -> bool {
        let socket = &mut *self.0.borrow_mut();
        for _ in 0..MAX_READ_AHEAD_BYTES / READ_BUFFER_BYTES {
            let mut buffer = [0; READ_BUFFER_BYTES];
            let read = (&*SockRef::from(socket.io.inner())).read(&mut buffer);
            match read {
                Ok(0) => return true,
                Ok(length) => socket.buffer(&buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return true,
            }
        }
        false
    }

    /// Reads ahead. Ready once the client has reset the connection or closed it, at least for sending, even
    /// if it sent further bytes before.
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

impl ClientSocket {
    /// Reads and discards. Ready once the client has reset the connection or closed it, at least for sending.
    fn poll_discard(&self, cx: &mut Context) -> Poll<()> {
        let socket = &mut *self.0.borrow_mut();
        loop {
            let mut buffer = [0; READ_BUFFER_BYTES];
            let mut read = ReadBuf::new(&mut buffer);
            let result = ready!(Pin::new(socket.io.inner_mut()).poll_read(cx, &mut read));
            if result.is_err() || read.filled().is_empty() {
                return Poll::Ready(());
            }
        }
    }
}

impl Read for ClientSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, mut buffer: ReadBufCursor) -> Poll<io::Result<()>> {
        let socket = &mut *self.0.borrow_mut();
        // Reads from the stream if no byte was read ahead; otherwise passes the read-ahead bytes to hyper.
        if socket.read_ahead.is_empty() && !socket.is_truncated {
            let read = Pin::new(&mut socket.io).poll_read(cx, buffer);
            match read {
                Poll::Ready(Ok(())) => socket.read_times.record_read(),
                Poll::Ready(Err(_)) => {}
                Poll::Pending => socket.read_times.record_empty_read(),
            }
            return read;
        }
        if !socket.read_ahead.is_empty() {
            socket.read_times.record_read();
        }
        // If bytes were dropped, hyper gets 0 bytes once the buffer is empty. It takes that for the end of
        // the stream and closes the connection after the current response.
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
