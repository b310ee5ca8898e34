//! Mutex access that ignores poisoning, so that a stand-in keeps running after one task panics.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if a thread panicked while holding it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
