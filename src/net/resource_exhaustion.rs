//! Detects I/O errors that are caused by exhausted local resources, rather than by one connection or the
//! remote side. Retries operations that fail with such errors.

use std::io;
use std::time::{Duration, Instant};

/// How long operations are retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Transient errors: no file descriptor, memory or buffer was available, or the call was interrupted.
const EXHAUSTION_ERRORS: [i32; 7] =
    [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::ENOSPC, libc::EAGAIN, libc::EINTR];
/// Errors of a connect for which this machine has no local address, port or route.
const LOCAL_ADDRESS_ERRORS: [i32; 4] =
    [libc::EADDRINUSE, libc::EADDRNOTAVAIL, libc::ENETDOWN, libc::ENETUNREACH];

/// Returns whether an error means that local resources were exhausted.
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    is_one_of(error, &EXHAUSTION_ERRORS)
}

/// Returns whether a connect failed for a local reason, which says nothing about the remote side.
pub fn is_local_failure(error: &io::Error) -> bool {
    is_resource_exhaustion(error) || is_one_of(error, &LOCAL_ADDRESS_ERRORS)
}

/// Retries an operation for up to two seconds while local resources are exhausted. Blocks the thread between
/// attempts.
///
/// # Errors
///
/// Returns the error of the last attempt.
pub fn retry_blocking<T>(operation: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let end = Instant::now() + RETRY_TIMEOUT;
    loop {
        match operation() {
            Err(error) if is_resource_exhaustion(&error) && Instant::now() < end => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

/// Like [`retry_blocking`], but yields to the runtime between attempts.
///
/// # Errors
///
/// Returns the error of the last attempt.
pub async fn retry<T>(operation: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let end = tokio::time::Instant::now() + RETRY_TIMEOUT;
    loop {
        match operation() {
            Err(error) if is_resource_exhaustion(&error) && tokio::time::Instant::now() < end => {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

fn is_one_of(error: &io::Error, codes: &[i32]) -> bool {
    error.raw_os_error().is_some_and(|code| codes.contains(&code))
}
