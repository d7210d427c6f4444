//! Threads with a runtime of their own, and streams that count their bytes.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Runs what the function makes on a thread of its own, as local tasks.
pub fn thread<F, W>(name: &str, work: F) -> Result<std::thread::JoinHandle<W::Output>, String>
where
    F: FnOnce() -> W + Send + 'static,
    W: Future + 'static,
    W::Output: Send,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("{name}: runtime: {e}"))?;
    let run = move || tokio::task::LocalSet::new().block_on(&runtime, async { work().await });
    std::thread::Builder::new().name(name.into()).spawn(run).map_err(|e| format!("{name}: thread: {e}"))
}

/// Bytes that went through streams.
#[derive(Debug, Default)]
pub struct Bytes {
    read: AtomicU64,
    written: AtomicU64,
}

impl Bytes {
    /// Bytes read so far.
    pub fn read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }
    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }
}

/// A stream that counts.
pub struct Counted {
    stream: TcpStream,
    bytes: Arc<Bytes>,
}

impl Counted {
    /// Counts what goes through a stream.
    pub fn new(stream: TcpStream, bytes: Arc<Bytes>) -> Counted {
        Counted { stream, bytes }
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.bytes.read.fetch_add((buf.filled().len() - before) as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, data);
        if let Poll::Ready(Ok(count)) = &polled {
            self.bytes.written.fetch_add(*count as u64, Ordering::Relaxed);
        }
        polled
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
