//! A client's socket. While a request awaits its response, the connection's task reads ahead from the socket
//! to detect that the client has disconnected.
//!
//! hyper does not always detect this itself: if it receives a byte of the next request while a request awaits
//! its response, it stops reading. It then does not see the end of the stream.

use super::read_ahead::{ReadAhead, STEP_BYTES};
use super::read_times::ReadTimes;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::io::{self, Read as _};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Number of steps after which [`ClientSocket::is_disconnected`] leaves the rest to the next poll.
const MAX_IMMEDIATE_READS: usize = 32;
/// While there is no memory for reading ahead, the end of the stream is checked for in this interval. No
/// attempt may begin later than 0.1 s after its client has left.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(25);
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
    read_ahead: ReadAhead,
    /// When to check for the end of the stream next; `None` while the connection reads ahead.
    next_end_check: Option<Pin<Box<Sleep>>>,
    has_written: bool,
    read_times: Rc<ReadTimes>,
}

impl Socket {
    /// Ready once the client has closed the connection, at least for sending, or reset it, although the bytes
    /// before the end are not read. Also ready, with `false`, when the connection may try to read ahead
    /// again.
    fn poll_end_without_reading(&mut self, cx: &mut Context) -> Poll<bool> {
        if is_read_closed(self.io.inner()) {
            return Poll::Ready(true);
        }
        let next_check =
            self.next_end_check.get_or_insert_with(|| Box::pin(tokio::time::sleep(END_CHECK_INTERVAL)));
        ready!(next_check.as_mut().poll(cx));
        self.next_end_check = None;
        Poll::Ready(false)
    }
}

/// Returns whether the runtime was notified that the peer has closed the connection, at least for sending, or
/// reset it.
fn is_read_closed(stream: &TcpStream) -> bool {
    let readiness = pin!(stream.ready(Interest::READABLE));
    let readiness = readiness.poll(&mut Context::from_waker(Waker::noop()));
    matches!(readiness, Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

/// A client's socket, shared by hyper and the connection's task.
#[derive(Clone)]
pub struct ClientSocket(Rc<RefCell<Socket>>);

impl ClientSocket {
    /// Wraps a connected stream; reads by hyper are recorded in `read_times`.
    pub(super) fn new(stream: TcpStream, read_ahead: ReadAhead, read_times: Rc<ReadTimes>) -> ClientSocket {
        ClientSocket(Rc::new(RefCell::new(Socket {
            io: TokioIo::new(stream),
            read_ahead,
            next_end_check: None,
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
    /// the client's stream, without keeping what it reads. Closing a socket with unread bytes resets the
    /// connection, and the client may lose the response. Does nothing if no response was written.
    pub async fn lingering_close(&self, last_response: LastResponse) {
        if !self.0.borrow().has_written {
            return;
        }
        self.0.borrow_mut().read_ahead.discard();
        let timeout = match last_response {
            LastResponse::Regular => LINGERING_CLOSE_TIMEOUT,
            LastResponse::Timeout => STALLED_PEER_CLOSE_TIMEOUT,
        };
        let end = async {
            let shutdown = poll_fn(|cx| Pin::new(&mut self.0.borrow_mut().io).poll_shutdown(cx)).await;
            if shutdown.is_ok() {
                poll_fn(|cx| self.poll_disconnected(cx)).await;
            }
        };
        let _ = tokio::time::timeout(timeout, end).await;
    }

    /// Reads ahead what has arrived, without waiting for the runtime to be notified of it. Returns whether
    /// the client has closed the connection, at least for sending, or reset it.
    pub fn is_disconnected(&self) -> bool {
        let socket = &mut *self.0.borrow_mut();
        for _ in 0..MAX_IMMEDIATE_READS {
            let mut buffer = [0; STEP_BYTES];
            let Some(length) = socket.read_ahead.readable_length() else {
                return is_read_closed(socket.io.inner());
            };
            let read = (&*SockRef::from(socket.io.inner())).read(&mut buffer[..length]);
            match read {
                Ok(0) => return true,
                Ok(length) => socket.read_ahead.push(&buffer[..length]),
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
            let mut buffer = [0; STEP_BYTES];
            let Some(length) = socket.read_ahead.readable_length() else {
                if ready!(socket.poll_end_without_reading(cx)) {
                    return Poll::Ready(());
                }
                continue;
            };
            let mut read = ReadBuf::new(&mut buffer[..length]);
            let result = ready!(Pin::new(socket.io.inner_mut()).poll_read(cx, &mut read));
            if result.is_err() || read.filled().is_empty() {
                return Poll::Ready(());
            }
            socket.read_ahead.push(read.filled());
        }
    }
}

impl Read for ClientSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buffer: ReadBufCursor) -> Poll<io::Result<()>> {
        let socket = &mut *self.0.borrow_mut();
        // Reads from the stream if no byte was read ahead; otherwise passes the read-ahead bytes to hyper.
        if socket.read_ahead.is_empty() && !socket.read_ahead.is_truncated() {
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
        socket.read_ahead.take_into(buffer);
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
