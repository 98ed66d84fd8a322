//! Command line and daemons of the pimentousher serving system.
//!
//! For: turning command lines and settings into calls of the libraries. Not for: decisions.

pub mod args;
pub mod client;
pub mod command;
pub mod cpu_time;
pub mod daemon;
pub mod demo;
pub mod error;
pub mod file;
pub mod leader;
pub mod overhead;
pub mod scale;
