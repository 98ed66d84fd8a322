//! Consensus core as a pure state machine
