//! Formats the demo's result as a table or as JSON.

use crate::demo::count;

/// Formats the result as a table.
pub fn demo_table(count: &count::DemoCount) -> String {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(["figure", "value"]);
    let counts = [
        ("requests", count.requests),
        ("whole answers", count.whole),
        ("refusals", count.refused),
        ("doubled", count.doubled),
        ("lost", count.lost),
        ("resent", count.resent),
        ("invariants violated", count.invariants_violated),
    ];
    for (name, value) in counts {
        table.add_row([name.to_owned(), value.to_string()]);
    }
    let times = [
        ("TTFT p50/p95/p99 ms", count.first_token_ms),
        ("inter-token p50/p95/p99 ms", count.inter_token_ms),
    ];
    for (name, figures) in times {
        let cell = format!(
            "{:.1} / {:.1} / {:.1}",
            figures.p50, figures.p95, figures.p99
        );
        table.add_row([name.to_owned(), cell]);
    }
    let mut text = format!("{table}\n");
    for example in &count.examples {
        text.push_str(&format!("{example}\n"));
    }
    text
}

/// Formats the result as one JSON object.
pub fn demo_json(count: &count::DemoCount) -> String {
    serde_json::to_string(count).unwrap_or_default() + "\n"
}
