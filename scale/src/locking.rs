//! Locks that outlive a panic of another thread.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex whose holders never leave what it guards half changed: a panic of one must not stop the
/// others.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
