//! Measures the CPU time of an entry for requests and tokens. Not for: its control traffic
//! (`control_cost`).

use std::io;

use crate::{overhead, scale::report};

/// Requests per second of one entry at the target size: 4,900 over 340 entries.
const TARGET_REQUESTS_PER_SECOND: f64 = 14.4;

/// Tokens of a request at the target size: 1.4 million tokens per second over 4,900 requests.
const TARGET_TOKENS_PER_REQUEST: f64 = 286.0;

pub(crate) fn measure() -> io::Result<Vec<report::ScaleRow>> {
    let mut points = Vec::new();
    for tokens in [1, 64, 128, 256] {
        let options = overhead::OverheadOptions {
            calls: 400,
            rounds: 2,
            callers: 8,
            tokens,
            stream: true,
        };
        let report = overhead::measure_overhead(&options)?;
        points.push((tokens as f64, report.entry_time.as_secs_f64() * 1e6));
    }
    let request = report::ScaleRow::new(
        "entry",
        "processor time of a streamed request",
        "us",
        "tokens",
        points,
        TARGET_TOKENS_PER_REQUEST,
    );
    let core_percent = request.at_target * TARGET_REQUESTS_PER_SECOND / 1e6 * 100.0;
    let rates = [0.25, 0.5, 0.75, 1.0].map(|fraction| {
        let rate = TARGET_REQUESTS_PER_SECOND * fraction;
        (rate, core_percent * fraction)
    });
    let daemon = report::ScaleRow::new(
        "entry",
        "processor time of a daemon's requests, worked out",
        "% of a core",
        "requests/s",
        rates.to_vec(),
        TARGET_REQUESTS_PER_SECOND,
    );
    Ok(vec![request, daemon])
}
