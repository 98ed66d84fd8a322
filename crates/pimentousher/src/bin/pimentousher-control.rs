//! The `pimentousher-control` program.

fn main() {}
