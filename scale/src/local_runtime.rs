//! Threads that run a single-threaded tokio runtime.

use std::future::Future;
use std::io;
use std::thread::JoinHandle;

/// Error while starting a thread.
#[derive(Debug, thiserror::Error)]
pub enum ThreadError {
    /// The runtime could not be created.
    #[error("thread {thread}: cannot create the runtime: {source}")]
    Runtime {
        /// Name of the thread.
        thread: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The operating system did not create the thread.
    #[error("cannot start thread {thread}: {source}")]
    Spawn {
        /// Name of the thread.
        thread: String,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Runs the future that `work` returns on a new thread, inside a `LocalSet`, so that it may spawn local
/// tasks.
pub fn spawn_local_runtime<F, W>(name: &str, work: F) -> Result<JoinHandle<W::Output>, ThreadError>
where
    F: FnOnce() -> W + Send + 'static,
    W: Future + 'static,
    W::Output: Send,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| ThreadError::Runtime { thread: name.into(), source })?;
    spawn_thread(name, move || tokio::task::LocalSet::new().block_on(&runtime, async { work().await }))
}

/// Runs `work` on a new thread of this name.
pub fn spawn_thread<T: Send + 'static>(
    name: &str, work: impl FnOnce() -> T + Send + 'static,
) -> Result<JoinHandle<T>, ThreadError> {
    std::thread::Builder::new()
        .name(name.into())
        .spawn(work)
        .map_err(|source| ThreadError::Spawn { thread: name.into(), source })
}
