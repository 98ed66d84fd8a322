//! Reads the answers of targets into memory, within limits. Not for: streams.

use std::sync;

use usher_answer::AnswerFault;
use usher_memory::PhaseCost;

use crate::{call, pool};

/// Largest answer that is buffered, in bytes; plain answers have a few kilobytes.
const MAX_ANSWER_BYTES: usize = 8 * 1_024 * 1_024;

/// Stated length up to which a buffer is made at once; a longer one grows with what arrives.
const MAX_STATED_BYTES: usize = 256 * 1_024;

/// Largest answer that only the gateway itself reads, in bytes: refusals and handles.
pub(crate) const MAX_OWN_ANSWER_BYTES: usize = 64 * 1_024;

/// Bytes of an answer that don't count towards those of all larger ones.
const FREE_BYTES: usize = 64 * 1_024;

/// Bytes that all larger answers may take together until they are written, whatever memory the
/// process has. Targets that send without end would otherwise take the room of all callers.
const MAX_TOTAL_BYTES: usize = 24 * 1_024 * 1_024;

/// The bytes of all larger answers; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct AnswerTotal {
    held: sync::Arc<sync::atomic::AtomicUsize>,
    limit: usize,
}

impl AnswerTotal {
    /// Makes the total of a process whose callers may take `caller_bytes`.
    pub(crate) fn new(caller_bytes: usize) -> Self {
        Self {
            held: sync::Arc::default(),
            limit: MAX_TOTAL_BYTES.min(caller_bytes / 2),
        }
    }
}

/// The part of one answer in the total, which is given back when it is dropped.
struct HeldBytes {
    total: AnswerTotal,
    bytes: usize,
}

impl HeldBytes {
    /// Raises the part for a buffer of so many bytes; returns whether there is room.
    fn grow(&mut self, buffer: usize) -> bool {
        let added = buffer.saturating_sub(FREE_BYTES);
        let added = added.saturating_sub(self.bytes);
        let relaxed = sync::atomic::Ordering::Relaxed;
        let before = self.total.held.fetch_add(added, relaxed);
        self.bytes += added;
        added == 0 || before + added <= self.total.limit
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let relaxed = sync::atomic::Ordering::Relaxed;
        self.total.held.fetch_sub(self.bytes, relaxed);
    }
}

/// A complete answer, which counts until its last part is dropped.
struct HeldContent {
    content: bytes::Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for HeldContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

/// Reads an answer into one buffer, which is charged to the caller before it grows.
pub(crate) struct AnswerBuffer<'c> {
    memory: &'c usher_intake::ConnectionMemory,
    /// Cost of the run that gives the answer.
    run_cost: usize,
    held: HeldBytes,
    content: bytes::BytesMut,
}

impl<'c> AnswerBuffer<'c> {
    /// Makes a buffer for the answer to a call.
    pub(crate) fn new(call: &'c call::RoutedCall, total: &AnswerTotal) -> Self {
        Self {
            memory: &call.memory,
            run_cost: call.run_cost,
            held: HeldBytes {
                total: total.clone(),
                bytes: 0,
            },
            content: bytes::BytesMut::new(),
        }
    }

    /// Reads a complete body.
    ///
    /// # Errors
    ///
    /// Fails when the answer was broken off or is too long, or when other calls leave no room for
    /// it.
    pub(crate) async fn read(
        mut self,
        body: &mut pool::TargetBody,
    ) -> Result<bytes::Bytes, AnswerFault> {
        let stated = body.stated_length().map_or(0, |length| {
            usize::try_from(length).map_or(0, |length| length.min(MAX_STATED_BYTES))
        });
        while let Some(bytes) = body.next().await? {
            let length = self.content.len() + bytes.len();
            if length > MAX_ANSWER_BYTES {
                return Err(AnswerFault::TooLong {
                    limit: MAX_ANSWER_BYTES,
                });
            }
            if length > self.content.capacity() {
                self.grow(length.max(stated)).await?;
            }
            self.content.extend_from_slice(&bytes);
        }
        let content = self.content.freeze();
        if self.held.bytes == 0 {
            return Ok(content);
        }
        Ok(bytes::Bytes::from_owner(HeldContent {
            content,
            _held: self.held,
        }))
    }

    /// Makes room for `length` bytes. Both buffers exist while the bytes are copied.
    async fn grow(&mut self, length: usize) -> Result<(), AnswerFault> {
        let old = self.content.capacity();
        let capacity = old.saturating_mul(2).max(length);
        if !self.held.grow(capacity) {
            return Err(AnswerFault::NoRoom { bytes: capacity });
        }
        self.charge(old + capacity).await?;
        let mut content = bytes::BytesMut::with_capacity(capacity);
        content.extend_from_slice(&self.content);
        self.content = content;
        self.charge(capacity).await
    }

    /// Charges the run and so many bytes of the answer; a small one was charged before the run.
    async fn charge(&self, bytes: usize) -> Result<(), AnswerFault> {
        if bytes <= PhaseCost::SMALL_ANSWER {
            return Ok(());
        }
        let cost = self.run_cost + PhaseCost::plain_answer(bytes);
        if self.memory.charge_answer(cost).await {
            return Ok(());
        }
        Err(AnswerFault::NoRoom { bytes })
    }
}
