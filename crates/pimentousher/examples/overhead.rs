//! Prints the latency and CPU time that an entry adds to a short request:
//! `cargo run --release --example overhead`.
//!
//! The arguments are the numbers of tokens per answer:
//! `cargo run --release --example overhead -- 1 64`.

use pimentousher::overhead::{measure_overhead, OverheadOptions};

fn main() -> std::io::Result<()> {
    let mut counts: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    if counts.is_empty() {
        counts.push(OverheadOptions::default().tokens);
    }
    for tokens in counts {
        for (stream, callers) in [(true, 1), (true, 8), (false, 8)] {
            let options = OverheadOptions {
                callers,
                stream,
                tokens,
                ..OverheadOptions::default()
            };
            let kind = if stream { "stream" } else { "JSON" };
            println!("{kind}, {tokens} tokens, {callers} callers");
            println!("{}", measure_overhead(&options)?);
        }
    }
    Ok(())
}
