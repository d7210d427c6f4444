//! The socket of a connection to a backend. It tells how far the present request has come, and lets nothing pass for
//! the proper end of an answer but the backend's own close.

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

/// Bytes read at once.
const CHUNK: usize = 8 << 10;

/// What has been done with a connection since the present request was given to it.
#[derive(Default)]
pub struct Progress {
    /// Some byte was handed to the socket.
    pub begun: Cell<bool>,
    /// The last byte was: hyper flushes the socket only after its buffer is empty.
    pub whole: Cell<bool>,
}

/// A socket that tells how far the request has come: what was not handed over whole has never run.
pub struct UpstreamSocket {
    io: TokioIo<TcpStream>,
    progress: Rc<Progress>,
    /// Some call on it has failed: the system tells an error once, and what looks like an end after it is none.
    failed: bool,
}

impl UpstreamSocket {
    pub fn new(stream: TcpStream, progress: Rc<Progress>) -> UpstreamSocket {
        UpstreamSocket { io: TokioIo::new(stream), progress, failed: false }
    }

    fn note<T>(&mut self, done: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.failed |= matches!(done, Poll::Ready(Err(_)));
        done
    }

    fn note_written(&mut self, wrote: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(wrote, Poll::Ready(Ok(n)) if n > 0) {
            self.progress.begun.set(true);
        }
        self.note(wrote)
    }

    /// Where nothing more can be read: whether the backend has closed the connection, rather than lost it.
    fn proper_end(&self) -> io::Result<()> {
        match self.io.inner().take_error()? {
            None if !self.failed => Ok(()),
            _ => Err(io::ErrorKind::ConnectionReset.into()),
        }
    }
}

impl Read for UpstreamSocket {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, mut to: ReadBufCursor) -> Poll<io::Result<()>> {
        let mut chunk = [const { MaybeUninit::uninit() }; CHUNK];
        let room = to.remaining().min(CHUNK);
        let mut read = ReadBuf::uninit(&mut chunk[..room]);
        let mut done = ready!(Pin::new(self.io.inner_mut()).poll_read(cx, &mut read));
        if done.is_ok() && room > 0 && read.filled().is_empty() {
            done = self.proper_end();
        }
        to.put_slice(read.filled());
        self.note(Poll::Ready(done))
    }
}

impl Write for UpstreamSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.io).poll_write(cx, buf);
        self.note_written(wrote)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context, bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.note_written(wrote)
    }
    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.progress.whole.set(self.progress.begun.get());
        let flushed = Pin::new(&mut self.io).poll_flush(cx);
        self.note(flushed)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let shut = Pin::new(&mut self.io).poll_shutdown(cx);
        self.note(shut)
    }
}
