//! The limit on sockets to backends, so that they leave file descriptors to the rest of the process.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the sockets in use against their limit.
pub(super) struct SocketBudget {
    in_use: Rc<Cell<usize>>,
    limit: usize,
}

/// One socket of the budget, given back when dropped.
pub(super) struct SocketSlot(Rc<Cell<usize>>);

impl SocketBudget {
    /// A budget of `limit` sockets.
    pub fn new(limit: usize) -> SocketBudget {
        SocketBudget { in_use: Rc::default(), limit }
    }

    /// How many sockets there may be.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Whether all sockets are in use.
    pub fn is_exhausted(&self) -> bool {
        self.in_use.get() >= self.limit
    }

    /// Takes a slot; the caller has checked that the budget is not exhausted.
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
