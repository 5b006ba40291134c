//! Locking of state that the duties of one process share.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks the mutex. A poisoned one means that a duty has panicked, which ends the process
/// anyway.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
