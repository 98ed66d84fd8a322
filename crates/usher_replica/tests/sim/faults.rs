//! Kinds and rates of the faults that a schedule injects.

use usher_consensus::CoreFaults;

#[derive(Clone, Debug)]
pub struct FaultProfile {
    pub voters: usize,
    pub spares: usize,
    /// Duration of the phase with faults, in ms of virtual time.
    pub fault_ms: u64,
    /// Mean time between two faults, in ms.
    pub fault_every_ms: u64,
    /// Relative weights of crash, wipe, freeze, cut, one-way cut, fsync failure and slow disk.
    pub weights: [u32; 7],
    /// Maximum deviation of a clock's rate, in parts per million.
    pub drift_ppm: i64,
    /// Mean time between two operations of callers, in ms.
    pub operation_every_ms: u64,
    pub repair: bool,
    /// Probability that a second node is lost right after a repair, in percent.
    pub second_loss_percent: u32,
    pub core: CoreFaults,
}

impl Default for FaultProfile {
    fn default() -> Self {
        Self {
            voters: 3,
            spares: 2,
            fault_ms: 15_000,
            fault_every_ms: 900,
            weights: [5, 3, 3, 3, 3, 1, 2],
            // Keeps the drift between any two clocks below the bound of 10 %.
            drift_ppm: 47_000,
            operation_every_ms: 30,
            repair: true,
            second_loss_percent: 50,
            core: CoreFaults::default(),
        }
    }
}
