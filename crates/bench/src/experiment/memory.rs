//! Memory of this process.

use stats_alloc::INSTRUMENTED_SYSTEM;

/// Returns the bytes that are allocated on the heap now.
pub fn heap_bytes() -> f64 {
    let stats = INSTRUMENTED_SYSTEM.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}
