//! Limit on open sockets to backends, so that file descriptors remain for the rest of the process.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the open sockets against a limit.
pub(super) struct SocketBudget {
    in_use: Rc<Cell<usize>>,
    limit: usize,
}

/// A reserved socket, which is released when dropped.
pub(super) struct SocketSlot(Rc<Cell<usize>>);

impl SocketBudget {
    /// Creates a budget of `limit` sockets.
    pub fn new(limit: usize) -> SocketBudget {
        SocketBudget { in_use: Rc::default(), limit }
    }

    /// Maximum number of open sockets.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns whether the limit is reached.
    pub fn is_exhausted(&self) -> bool {
        self.in_use.get() >= self.limit
    }

    /// Reserves a socket. Does not check the limit: callers check
    /// [`is_exhausted`](SocketBudget::is_exhausted) first.
    pub fn take(&self) -> SocketSlot {
        self.in_use.set(self.in_use.get() + 1);
        SocketSlot(self.in_use.clone())
    }
}

impl Drop for SocketSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
