//! Mutex access for stand-ins, which go on after a panic of another task.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also when a holder panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
