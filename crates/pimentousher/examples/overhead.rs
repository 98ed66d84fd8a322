//! Prints what an entry adds to a short request: `cargo run --release --example overhead`.

use pimentousher::overhead::{measure_overhead, OverheadOptions};

fn main() -> std::io::Result<()> {
    for stream in [true, false] {
        for callers in [1, 8] {
            let options = OverheadOptions {
                callers,
                stream,
                ..OverheadOptions::default()
            };
            let kind = if stream { "stream" } else { "JSON" };
            println!("{kind}, {callers} callers");
            println!("{}", measure_overhead(&options)?);
        }
    }
    Ok(())
}
