//! Tells errors that say that this machine's resources are exhausted from those that concern one connection
//! or the other side, and repeats operations that fail with the former.

use std::io;
use std::time::{Duration, Instant};

/// Exhausted resources are waited for this long.
const RETRY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two attempts of that.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Descriptors, memory or buffers are short; they may be there again in a moment.
const EXHAUSTED: [i32; 7] =
    [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::ENOSPC, libc::EAGAIN, libc::EINTR];
/// This machine has no address or route for a connection.
const UNROUTABLE: [i32; 4] = [libc::EADDRINUSE, libc::EADDRNOTAVAIL, libc::ENETDOWN, libc::ENETUNREACH];

/// Whether this machine's resources were exhausted.
pub fn is_exhausted(error: &io::Error) -> bool {
    is_one_of(error, &EXHAUSTED)
}

/// Whether a connect failed because of this machine: it says nothing of the other side.
pub fn is_local(error: &io::Error) -> bool {
    is_exhausted(error) || is_one_of(error, &UNROUTABLE)
}

/// Repeats an operation for a while as long as resources are exhausted. Blocks its thread.
///
/// # Errors
///
/// The last error of the operation.
pub fn retry_blocking<T>(operation: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let end = Instant::now() + RETRY_TIMEOUT;
    loop {
        match operation() {
            Err(error) if is_exhausted(&error) && Instant::now() < end => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

/// Repeats an operation like [`retry_blocking`]; other tasks run between its attempts.
///
/// # Errors
///
/// The last error of the operation.
pub async fn retry<T>(operation: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let end = tokio::time::Instant::now() + RETRY_TIMEOUT;
    loop {
        match operation() {
            Err(error) if is_exhausted(&error) && tokio::time::Instant::now() < end => {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

fn is_one_of(error: &io::Error, codes: &[i32]) -> bool {
    error.raw_os_error().is_some_and(|code| codes.contains(&code))
}
