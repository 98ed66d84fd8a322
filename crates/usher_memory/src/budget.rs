//! What the connections of callers may take together. Not for: who takes it.

use crate::cost;

/// Share of the memory of a VM that data of callers may take. The rest is for the state of the
/// process, answers, targets and the fragmentation of the heap.
const CALLER_SHARE: (u64, u64) = (1, 3);

/// Share of the descriptors that connections of callers may take. The rest is for targets,
/// registrars, checks and files.
const CONNECTION_SHARE: (usize, usize) = (3, 4);

/// Share of the bytes that connections without a request may take.
const SILENT_SHARE: usize = 4;

/// Bytes of a body that count as a small one.
const SMALL_BODY_BYTES: usize = 64 * 1_024;

usher_types::value_type! {
    /// What the connections of callers may take together.
    #[derive(Copy)]
    pub struct MemoryBudget {
        /// Bytes.
        pub bytes: usize,
        /// Connections.
        pub connections: usize,
    }
}

/// Bytes of a connection and its head above which the head counts as a long one.
const LARGE_BASE_BYTES: usize = cost::PhaseCost::idle() + 16 * 1_024;

/// Bytes of a run and its answer above which it counts as a large one.
const LARGE_ANSWER_BYTES: usize = 256 * 1_024;

/// Memory and descriptors of a process that states none: a small VM.
const DEFAULT_MEMORY: u64 = 256_000_000;
const DEFAULT_DESCRIPTORS: usize = 1_024;

impl Default for MemoryBudget {
    fn default() -> Self {
        Self::of_process(DEFAULT_MEMORY, DEFAULT_DESCRIPTORS)
    }
}

impl MemoryBudget {
    /// Returns the budget of a process that may use this much memory and this many descriptors.
    ///
    /// ```
    /// let budget = usher_memory::MemoryBudget::of_process(120_000_000, 4_000);
    /// assert_eq!(budget.bytes, 40_000_000);
    /// assert_eq!(budget.connections, 3_000);
    /// ```
    pub fn of_process(memory: u64, descriptors: usize) -> Self {
        let (share, of) = CALLER_SHARE;
        let (connections, of_all) = CONNECTION_SHARE;
        let budget = Self {
            bytes: 0,
            connections: (descriptors / of_all * connections).max(1),
        };
        budget.with_bytes(usize::try_from(memory / of * share).unwrap_or(usize::MAX))
    }

    /// Returns the budget with another number of bytes, and with no more connections than they
    /// allow.
    #[must_use]
    pub fn with_bytes(mut self, bytes: usize) -> Self {
        let connections = bytes / SILENT_SHARE / cost::PhaseCost::silent();
        self.bytes = bytes;
        self.connections = self.connections.min(connections.max(1));
        self
    }

    /// Returns the bytes up to which a call that takes `bytes` for its run and its answer may fill
    /// the budget. Calls are accepted, so that they find room behind bodies that still arrive.
    pub(crate) const fn answer_limit(&self, bytes: usize) -> usize {
        if bytes > LARGE_ANSWER_BYTES {
            self.bytes / 4 * 3
        } else {
            self.bytes / 16 * 15
        }
    }

    /// Returns the bytes up to which a connection with its head may fill the budget, so that long heads
    /// leave room for connections with ordinary ones.
    pub(crate) const fn base_limit(&self, base: usize) -> usize {
        if base > LARGE_BASE_BYTES {
            self.bytes / 8 * 7
        } else {
            self.bytes
        }
    }

    /// Returns the bytes up to which a body that holds `body` bytes may fill the budget, so that
    /// large bodies leave room for small ones.
    pub(crate) const fn body_limit(&self, body: usize) -> usize {
        if body > SMALL_BODY_BYTES {
            self.bytes / 4 * 3
        } else {
            self.bytes / 8 * 7
        }
    }
}
