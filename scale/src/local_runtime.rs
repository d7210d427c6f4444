//! Threads with a single-threaded runtime of their own.

use std::future::Future;
use std::io;
use std::thread::JoinHandle;

/// Why a thread could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ThreadError {
    /// Its runtime could not be made.
    #[error("{thread}: runtime: {source}")]
    Runtime {
        /// Name of the thread.
        thread: String,
        /// What the system said.
        source: io::Error,
    },
    /// The system gave no thread.
    #[error("{thread}: thread: {source}")]
    Spawn {
        /// Name of the thread.
        thread: String,
        /// What the system said.
        source: io::Error,
    },
}

/// Runs the future that `work` makes on a thread of its own; it may spawn local tasks there.
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

/// Runs `work` on a thread of its own.
pub fn spawn_thread<T: Send + 'static>(
    name: &str, work: impl FnOnce() -> T + Send + 'static,
) -> Result<JoinHandle<T>, ThreadError> {
    std::thread::Builder::new()
        .name(name.into())
        .spawn(work)
        .map_err(|source| ThreadError::Spawn { thread: name.into(), source })
}
