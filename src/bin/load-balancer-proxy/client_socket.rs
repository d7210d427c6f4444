//! A client's socket. While a request is in hand hyper reads no further than the next byte, so that what a client
//! has sent beyond it hides that the client has left: the socket is then read ahead from here.

use crate::client_connection::Activity;
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

/// What is kept of that: clients send one request at a time, and more than the largest body at once is no request
/// of theirs. The rest is read, for the end behind it, and dropped.
const AHEAD_BYTES: usize = 2 * MAX_BODY_BYTES;
const CHUNK: usize = 4096;
/// A client closes once it has read the end: by then the answer has arrived, or never will. Peers that do not close
/// hold a descriptor for so long.
const LINGER: Duration = Duration::from_millis(500);
/// One whose request never came whole has less: it has ceased to send.
const REJECTED_LINGER: Duration = Duration::from_millis(100);
/// What a request that never came whole is answered.
const REJECTION: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

struct Socket {
    io: TokioIo<TcpStream>,
    ahead: BytesMut,
    /// More was sent than is kept: what comes after that cannot be told.
    cut: bool,
    wrote: bool,
    activity: Rc<Activity>,
}

impl Socket {
    fn keep(&mut self, bytes: &[u8]) {
        self.cut |= self.ahead.len() + bytes.len() > AHEAD_BYTES;
        if !self.cut {
            self.ahead.extend_from_slice(bytes);
        }
    }
}

/// The socket as hyper holds it and as the connection's own task does.
#[derive(Clone)]
pub struct ClientSocket(Rc<RefCell<Socket>>);

impl ClientSocket {
    /// `activity` is told whenever something has come.
    pub fn new(stream: TcpStream, activity: Rc<Activity>) -> ClientSocket {
        let (io, ahead) = (TokioIo::new(stream), BytesMut::new());
        ClientSocket(Rc::new(RefCell::new(Socket { io, ahead, cut: false, wrote: false, activity })))
    }

    /// Answers what has begun to come with an error, and ends the connection.
    pub async fn reject(&self) {
        let wrote = poll_fn(|cx| Pin::new(&mut self.0.borrow_mut().io).poll_write(cx, REJECTION));
        let _ = tokio::time::timeout(REJECTED_LINGER, wrote).await;
        self.0.borrow_mut().wrote = true;
        self.linger(true).await;
    }

    /// Ends the connection after its last answer. A socket closed with something unread in it resets the connection,
    /// which may destroy the answer on its way: what still comes is read first, up to the client's own end.
    pub async fn linger(&self, rejected: bool) {
        let longest = if rejected { REJECTED_LINGER } else { LINGER };
        if !self.0.borrow().wrote {
            return;
        }
        let end = async {
            let shut = poll_fn(|cx| Pin::new(&mut self.0.borrow_mut().io).poll_shutdown(cx)).await;
            if shut.is_ok() {
                poll_fn(|cx| self.poll_left(cx)).await;
            }
        };
        let _ = tokio::time::timeout(longest, end).await;
    }

    /// Ready once the client has closed or reset the connection, whatever it had sent before that.
    pub fn poll_left(&self, cx: &mut Context) -> Poll<()> {
        let socket = &mut *self.0.borrow_mut();
        loop {
            let mut chunk = [0; CHUNK];
            let mut read = ReadBuf::new(&mut chunk);
            let ended = ready!(Pin::new(socket.io.inner_mut()).poll_read(cx, &mut read)).is_err();
            if ended || read.filled().is_empty() {
                return Poll::Ready(());
            }
            socket.keep(read.filled());
        }
    }
}

impl Read for ClientSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, mut buf: ReadBufCursor) -> Poll<io::Result<()>> {
        let socket = &mut *self.0.borrow_mut();
        if socket.ahead.is_empty() && !socket.cut {
            let read = Pin::new(&mut socket.io).poll_read(cx, buf);
            if matches!(read, Poll::Ready(Ok(()))) {
                socket.activity.note();
            }
            return read;
        }
        if !socket.ahead.is_empty() {
            socket.activity.note();
        }
        // Cut off, it ends here for hyper, which closes the connection after the answer in hand.
        let some = socket.ahead.len().min(buf.remaining());
        buf.put_slice(&socket.ahead[..some]);
        socket.ahead.advance(some);
        Poll::Ready(Ok(()))
    }
}

impl Write for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let socket = &mut *self.0.borrow_mut();
        socket.wrote = true;
        Pin::new(&mut socket.io).poll_write(cx, buf)
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context, bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let socket = &mut *self.0.borrow_mut();
        socket.wrote = true;
        Pin::new(&mut socket.io).poll_write_vectored(cx, bufs)
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
