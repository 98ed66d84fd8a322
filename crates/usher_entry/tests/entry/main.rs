//! The entry over real HTTP on loopback, against fake targets that fail.
//!
//! The clock of the entry stands still unless a test moves it, so that no routing right runs out
//! because the machine is busy. Each mechanism is also removed once, and the failure shown.

mod accounts;
mod announce;
mod basics;
mod callers;
mod failover;
mod handover;
mod hostile;
mod lifecycle;
mod plain;
mod run_state;
mod streams;
mod support;
