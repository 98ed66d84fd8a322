//! The memory of the current call of a connection, for handlers. Not for: connections without a call.

use usher_memory::{HeadShape, PhaseCost};

use crate::caller_memory;

/// The memory of a call whose head is complete and charged; cheap to clone.
#[derive(Clone, Debug)]
pub struct CallMemory {
    connection: caller_memory::ConnectionMemory,
    shape: HeadShape,
}

impl CallMemory {
    /// Makes the memory of the current call of a connection, whose head has a shape.
    pub fn new(connection: caller_memory::ConnectionMemory, shape: HeadShape) -> Self {
        Self { connection, shape }
    }

    /// Returns the memory of the connection.
    pub fn connection(&self) -> &caller_memory::ConnectionMemory {
        &self.connection
    }

    /// Charges what a call holds while it runs, with so many bytes for its answer; returns whether
    /// there is room.
    pub async fn charge_run(&self, answer: usize) -> bool {
        let run = PhaseCost::run(self.shape);
        self.connection.charge_answer(run + answer).await
    }
}
