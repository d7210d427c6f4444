//! What a failed system call says: of one connection, of the means of this machine, or of the other side.

use std::io;
use std::time::{Duration, Instant};

/// Means that are short for a moment are waited for so long, and looked for this often.
pub const MEANS_WITHIN: Duration = Duration::from_secs(2);
/// See [`MEANS_WITHIN`].
pub const MEANS_PAUSE: Duration = Duration::from_millis(5);

/// Descriptors, memory or buffers are short; they may be there again in a moment.
const SHORT_OF_MEANS: [i32; 7] =
    [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::ENOSPC, libc::EAGAIN, libc::EINTR];
/// This machine has no address or route for a connection.
const NO_WAY_OUT: [i32; 4] = [libc::EADDRINUSE, libc::EADDRNOTAVAIL, libc::ENETDOWN, libc::ENETUNREACH];

fn is_one_of(failure: &io::Error, codes: &[i32]) -> bool {
    failure.raw_os_error().is_some_and(|code| codes.contains(&code))
}

/// The means of this machine were short.
pub fn is_short_of_means(failure: &io::Error) -> bool {
    is_one_of(failure, &SHORT_OF_MEANS)
}

/// A failed dial was for want of this machine's own: it says nothing of the other side.
pub fn is_of_this_machine(failure: &io::Error) -> bool {
    is_short_of_means(failure) || is_one_of(failure, &NO_WAY_OUT)
}

/// Tries again for a while what fails because the means of this machine are short. Blocks its thread.
pub fn with_means<T>(attempt: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let end = Instant::now() + MEANS_WITHIN;
    loop {
        match attempt() {
            Err(failure) if is_short_of_means(&failure) && Instant::now() < end => {
                std::thread::sleep(MEANS_PAUSE)
            }
            done => return done,
        }
    }
}
