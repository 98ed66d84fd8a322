//! The `fake-service` program.

fn main() {}
