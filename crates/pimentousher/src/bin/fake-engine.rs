//! The `fake-engine` program.

fn main() {}
