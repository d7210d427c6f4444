//! What a failed system call says: of one connection, of the means of this machine, or of the other side.

use std::io;

/// A failed accept was over one connection, which is gone; the next may be taken at once. Otherwise the means of this
/// machine are short.
pub fn concerns_one_connection(failure: &io::Error) -> bool {
    let codes = [
        libc::ECONNABORTED,
        libc::ECONNRESET,
        libc::EINTR,
        libc::EPERM,
        libc::EPROTO,
        libc::ENOPROTOOPT,
        libc::EOPNOTSUPP,
        libc::ENETDOWN,
        libc::ENETUNREACH,
        libc::EHOSTDOWN,
        libc::EHOSTUNREACH,
        libc::ENONET,
        libc::ETIMEDOUT,
    ];
    failure.raw_os_error().is_some_and(|code| codes.contains(&code))
}

/// A failed dial was for want of this machine's own means: it says nothing of the other side.
pub fn is_of_this_machine(failure: &io::Error) -> bool {
    let codes = [
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::ENOSPC,
        libc::EAGAIN,
        libc::EINTR,
        libc::EADDRINUSE,
        libc::EADDRNOTAVAIL,
        libc::ENETDOWN,
        libc::ENETUNREACH,
    ];
    failure.raw_os_error().is_some_and(|code| codes.contains(&code))
}
