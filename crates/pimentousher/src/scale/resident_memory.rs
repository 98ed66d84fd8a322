//! Measures the growth of this process's resident memory.

use std::fs;

/// Page size of the supported Linux machines, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Returns the resident memory in KiB, or 0 if `/proc` can't be read.
pub(crate) fn resident_kib() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|pages| pages.parse().ok()).unwrap_or(0);
    (pages * PAGE_BYTES) as f64 / 1_024.0
}

/// Grows `state` through `sizes` and returns the memory added up to each size, in KiB.
///
/// One state grows through all sizes, because freed memory isn't always returned to the system.
pub(crate) fn measure_growth<S, F>(state: &mut S, sizes: &[usize], mut add: F) -> Vec<(f64, f64)>
where
    F: FnMut(&mut S, usize),
{
    let before = resident_kib();
    let mut built = 0;
    let mut points = Vec::new();
    for size in sizes {
        for number in built..*size {
            add(state, number);
        }
        built = *size;
        points.push((*size as f64, resident_kib() - before));
    }
    points
}
