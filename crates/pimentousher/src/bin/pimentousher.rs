//! The `pimentousher` program.

fn main() {}
