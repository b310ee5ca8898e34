//! Memory use of this process.

use {stats_alloc::INSTRUMENTED_SYSTEM, std::fs};

/// Page size of every supported platform.
const PAGE_BYTES: f64 = 4_096.0;

/// Returns the bytes that are currently allocated on the heap.
pub fn heap_bytes() -> f64 {
    let stats = INSTRUMENTED_SYSTEM.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}

/// Returns the resident set size in bytes, or 0 when `/proc/self/statm` cannot be read.
pub fn resident_bytes() -> f64 {
    fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split(' ').nth(1)?.parse::<f64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}
