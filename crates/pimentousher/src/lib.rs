//! Command line and daemons of the pimentousher serving system.
//!
//! Translates command lines and settings files into calls of the workspace's libraries. Not for:
//! routing, admission and placement decisions, which the libraries make.

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
