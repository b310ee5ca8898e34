//! Memory of this process.

use {stats_alloc::INSTRUMENTED_SYSTEM, std::fs};

/// Bytes of a page on every platform that the system runs on.
const PAGE_BYTES: f64 = 4_096.0;

/// Returns the bytes that are allocated on the heap now.
pub fn heap_bytes() -> f64 {
    let stats = INSTRUMENTED_SYSTEM.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}

/// Returns the resident bytes of the process, or zero when the system does not tell.
pub fn resident_bytes() -> f64 {
    fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split(' ').nth(1)?.parse::<f64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}
