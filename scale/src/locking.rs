//! Locking of mutexes regardless of poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning, so that a panic of one thread does not stop the others. Only valid
/// for mutexes whose holders never leave the guarded value partially updated.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
