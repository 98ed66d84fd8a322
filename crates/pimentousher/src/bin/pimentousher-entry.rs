//! The `pimentousher-entry` program.

fn main() {}
