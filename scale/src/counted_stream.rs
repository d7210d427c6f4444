//! TCP streams that count the bytes read and written.

use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Numbers of bytes read and written, summed over all streams that share these counters.
#[derive(Debug, Default)]
pub struct ByteCounters {
    read: AtomicU64,
    written: AtomicU64,
}

impl ByteCounters {
    /// Returns the number of bytes read.
    pub fn read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes written.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }
}

/// A TCP stream that adds the bytes it transfers to [`ByteCounters`].
pub struct CountedStream {
    stream: TcpStream,
    counters: Arc<ByteCounters>,
}

impl CountedStream {
    /// Wraps `stream`; bytes transferred before this call are not counted.
    pub fn new(stream: TcpStream, counters: Arc<ByteCounters>) -> CountedStream {
        CountedStream { stream, counters }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - filled_before;
        self.counters.read.fetch_add(count as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, data: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, data);
        if let Poll::Ready(Ok(count)) = &polled {
            self.counters.written.fetch_add(*count as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
