//! The socket of a connection to a backend. It records how much of the current request was written, and
//! reports an end of stream only if the backend closed the connection.

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

/// Maximum number of bytes per read.
const READ_CHUNK_BYTES: usize = 8 << 10;

/// How much of the current request was written to the socket. A request that was not fully written has not
/// been executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// No byte.
    #[default]
    NotStarted,
    /// Some bytes.
    Partial,
    /// All bytes: hyper flushes the socket only once its write buffer is empty.
    Complete,
}

impl WriteProgress {
    fn after_write(self) -> WriteProgress {
        match self {
            WriteProgress::NotStarted => WriteProgress::Partial,
            started => started,
        }
    }

    fn after_flush(self) -> WriteProgress {
        match self {
            WriteProgress::Partial => WriteProgress::Complete,
            unchanged => unchanged,
        }
    }
}

/// A socket that records the write progress of the current request.
pub(super) struct UpstreamSocket {
    io: TokioIo<TcpStream>,
    progress: Rc<Cell<WriteProgress>>,
    /// Whether a call on the socket has failed. The operating system reports a socket error only once, so an
    /// end of stream after it does not mean that the backend closed the connection.
    has_failed: bool,
}

impl UpstreamSocket {
    /// Wraps a connected socket. `progress` is shared with the connection, which resets it for each request.
    pub fn new(stream: TcpStream, progress: Rc<Cell<WriteProgress>>) -> UpstreamSocket {
        UpstreamSocket { io: TokioIo::new(stream), progress, has_failed: false }
    }

    fn record_failure<T>(&mut self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.has_failed |= matches!(result, Poll::Ready(Err(_)));
        result
    }

    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(count)) if count > 0) {
            self.progress.set(self.progress.get().after_write());
        }
        self.record_failure(written)
    }

    /// Called at the end of the stream. Fails unless the stream ended because the backend closed the
    /// connection.
    fn check_end_of_stream(&self) -> io::Result<()> {
        match self.io.inner().take_error()? {
            None if !self.has_failed => Ok(()),
            _ => Err(io::ErrorKind::ConnectionReset.into()),
        }
    }
}

impl Read for UpstreamSocket {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context, mut target: ReadBufCursor,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [const { MaybeUninit::uninit() }; READ_CHUNK_BYTES];
        let wanted = target.remaining().min(READ_CHUNK_BYTES);
        let mut buffer = ReadBuf::uninit(&mut chunk[..wanted]);
        let mut result = ready!(Pin::new(self.io.inner_mut()).poll_read(context, &mut buffer));
        if result.is_ok() && wanted > 0 && buffer.filled().is_empty() {
            result = self.check_end_of_stream();
        }
        target.put_slice(buffer.filled());
        self.record_failure(Poll::Ready(result))
    }
}

impl Write for UpstreamSocket {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context, buffers: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(context, buffers);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        self.progress.set(self.progress.get().after_flush());
        let flushed = Pin::new(&mut self.io).poll_flush(context);
        self.record_failure(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        let shut_down = Pin::new(&mut self.io).poll_shutdown(context);
        self.record_failure(shut_down)
    }
}
