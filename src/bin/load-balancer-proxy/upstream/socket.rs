//! The socket of a connection to a backend. It records how much of the present request was written, and
//! accepts as the end of a response only a close by the backend.

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

/// The most that is read at once.
const READ_CHUNK_BYTES: usize = 8 << 10;

/// How much of the present request was written to the socket. A request that was not fully written has not
/// been executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// No byte.
    #[default]
    NotStarted,
    /// Some bytes.
    Partial,
    /// The last byte too: hyper flushes the socket only after its buffer is empty.
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

/// A socket that records the progress of a request.
pub(super) struct UpstreamSocket {
    io: TokioIo<TcpStream>,
    progress: Rc<Cell<WriteProgress>>,
    /// Some call on it has failed: the system reports an error only once, and an end of stream after it is
    /// not the backend's.
    has_failed: bool,
}

impl UpstreamSocket {
    /// The progress is shared with the connection, which resets it for each request.
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

    /// At the end of the stream: fails unless the backend has closed the connection, rather than lost it.
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
