//! TCP streams that count their bytes.

use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that went through streams.
#[derive(Debug, Default)]
pub struct ByteCounters {
    read: AtomicU64,
    written: AtomicU64,
}

impl ByteCounters {
    /// Bytes read so far.
    pub fn read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }
}

/// A stream whose bytes are counted.
pub struct CountedStream {
    stream: TcpStream,
    counters: Arc<ByteCounters>,
}

impl CountedStream {
    /// Counts what goes through `stream` from now on.
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
