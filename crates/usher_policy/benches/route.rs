//! Measures the cost of one routing decision by the number of engines.

use std::time;

use criterion::{BenchmarkId, Criterion};
use usher_policy::{
    CallRequest, LoadReport, PromptPrefix, RegistryChange, RoutePolicy, RouteSettings, TargetInfo,
    TargetTable,
};
use usher_types::{PieceCount, TargetName, TokenCount};

const SIZES: [usize; 4] = [21, 100, 760, 2_000];
const REGIONS: [&str; 3] = ["south-a", "north-a", "west-a"];
/// Time between decisions: 4,900 calls per second over 340 daemons are one call in 69 ms per
/// daemon.
const STEP: time::Duration = time::Duration::from_millis(69);

fn table(engines: usize, now: time::Instant) -> TargetTable {
    let mut table = TargetTable::new(RouteSettings::new("south-a"));
    for at in 0..engines {
        let region = REGIONS[at % REGIONS.len()];
        let info = TargetInfo::engine(&format!("engine-{at}"), "assist", region)
            .with_model("m")
            .with_pieces(384);
        let name = TargetName::new(format!("engine-{at}"));
        table.on_registry(RegistryChange::Put(info));
        let report = LoadReport {
            taken_at: now,
            running: (at % 40) as u32,
            waiting: 0,
            prefill_waiting: TokenCount::new(at as u64 % 900),
            pieces_used: PieceCount::new(at as u64 % 300),
        };
        table.on_report(&name, &report);
    }
    table
}

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route_decision");
    for engines in SIZES {
        let mut now = time::Instant::now();
        let mut table = table(engines, now);
        let mut policy = RoutePolicy::new(1);
        let prefixes = [128, 1_024, 3_072].map(|tokens| PromptPrefix {
            hash: tokens,
            tokens: TokenCount::new(tokens),
        });
        let request = CallRequest::new("r", "assist", now)
            .with_model("m")
            .with_tokens(TokenCount::new(4_000), TokenCount::new(300))
            .with_prefixes(prefixes.to_vec());
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                now += STEP;
                policy.choose(&request, &mut table, now)
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decide(&mut criterion);
    criterion.final_summary();
}
