//! Tests the entry over real HTTP on loopback against fake targets that fail.
//!
//! The clock of the entry stands still unless a test advances it, so that no routing right expires
//! because the machine is busy. For each mechanism, a test also shows the failure without it.

mod accounts;
mod announce;
mod basics;
mod callers;
mod cut_answers;
mod failover;
mod handover;
mod hostile;
mod late_answers;
mod lifecycle;
mod notices;
mod plain;
mod quarantine;
mod run_state;
mod streams;
mod support;
