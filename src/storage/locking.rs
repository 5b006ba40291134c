//! Locking of state that the background tasks of one process share.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks the mutex and ignores poisoning: a mutex is poisoned when a background task has
/// panicked, which ends the process anyway.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
