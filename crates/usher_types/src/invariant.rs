//! Counts and logs violated invariants in every build. Not for: errors of callers.

use std::sync::atomic;

static VIOLATIONS: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Records that an invariant was violated; called by [`invariant!`](crate::invariant).
pub fn record_violation(name: &'static str, message: &str) {
    VIOLATIONS.fetch_add(1, atomic::Ordering::Relaxed);
    tracing::error!(invariant = name, "invariant violated: {message}");
}

/// Returns how many violations this process has recorded.
pub fn violation_count() -> u64 {
    VIOLATIONS.load(atomic::Ordering::Relaxed)
}
