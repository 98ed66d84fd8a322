//! Measures the memory and time of routing and fair shares in an entry. Not for: the quality of
//! decisions (`usher_bench`).

use std::time;

use usher_policy::{
    CallRequest, FairShare, LoadReport, RegistryChange, RoutePolicy, RouteSettings, TargetInfo,
    TargetTable,
};
use usher_types::{FirmName, PieceCount, TargetName, TeamName, TokenCount};

use crate::scale::{report, resident_memory};

/// Engines and teams at the target size.
const TARGET_ENGINES: f64 = 760.0;
const TARGET_TEAMS: f64 = 11_000.0;

/// Decisions measured at each size.
const DECISIONS: u32 = 5_000;

/// Time between decisions of one entry: 4,900 requests per second over 340 entries is one
/// every 69 ms.
const DECISION_INTERVAL: time::Duration = time::Duration::from_millis(69);

const REGIONS: [&str; 3] = ["south-a", "north-a", "west-a"];
const FIRM_COUNT: usize = 400;

/// Policy state that grows during the measurement.
pub(crate) struct PolicyStates {
    table: TargetTable,
    share: FairShare,
}

impl PolicyStates {
    pub(crate) fn new() -> Self {
        Self {
            table: TargetTable::new(RouteSettings::new("south-a")),
            share: FairShare::new(),
        }
    }

    pub(crate) fn measure(&mut self) -> Vec<report::ScaleRow> {
        vec![
            table_memory(&mut self.table),
            share_memory(&mut self.share),
            decision_time(),
            share_time(),
        ]
    }
}

fn add_engine(table: &mut TargetTable, number: usize) {
    let region = REGIONS[number % REGIONS.len()];
    let text = format!("engine-{number}");
    let info = TargetInfo::engine(&text, "assist", region)
        .with_model("m")
        .with_pieces(384);
    table.on_registry(RegistryChange::Put(info));
    let report = LoadReport {
        taken_at: time::Instant::now(),
        running: (number % 40) as u32,
        waiting: 0,
        prefill_waiting: TokenCount::new(number as u64 % 900),
        pieces_used: PieceCount::new(number as u64 % 300),
    };
    table.on_report(&TargetName::new(text), &report);
}

fn decision_time() -> report::ScaleRow {
    let points = [21, 100, 760, 2_000].map(|engines| {
        let mut table = TargetTable::new(RouteSettings::new("south-a"));
        (0..engines).for_each(|number| add_engine(&mut table, number));
        let mut policy = RoutePolicy::new(1);
        let mut now = time::Instant::now();
        let request = CallRequest::new("r", "assist", now)
            .with_model("m")
            .with_tokens(TokenCount::new(4_000), TokenCount::new(300));
        let start = time::Instant::now();
        for _ in 0..DECISIONS {
            now += DECISION_INTERVAL;
            let decision = policy.choose(&request, &mut table, now);
            std::hint::black_box(decision);
        }
        let time_per_decision = start.elapsed() / DECISIONS;
        (engines as f64, time_per_decision.as_secs_f64() * 1e6)
    });
    report::ScaleRow::new(
        "entry",
        "time of a routing decision",
        "us",
        "engines",
        points.to_vec(),
        TARGET_ENGINES,
    )
}

fn table_memory(table: &mut TargetTable) -> report::ScaleRow {
    let sizes = [4_000, 8_000, 16_000, 32_000];
    let points = resident_memory::measure_growth(table, &sizes, add_engine);
    report::ScaleRow::new(
        "entry",
        "memory of the route table",
        "KiB",
        "engines",
        points,
        TARGET_ENGINES,
    )
}

fn account(number: usize) -> (FirmName, TeamName) {
    (
        FirmName::new(format!("firm-{}", number % FIRM_COUNT)),
        TeamName::new(format!("team-{number}")),
    )
}

fn share_memory(share: &mut FairShare) -> report::ScaleRow {
    let now = time::Instant::now();
    let sizes = [22_000, 44_000, 88_000, 176_000];
    let points = resident_memory::measure_growth(share, &sizes, |share, number| {
        let (firm, team) = account(number);
        share.on_demand(&firm, &team, 0.1, now);
        share.on_accepted(&firm, &team, 0.1, now);
    });
    report::ScaleRow::new(
        "entry",
        "memory of the fair shares",
        "KiB",
        "teams",
        points,
        TARGET_TEAMS,
    )
}

fn share_time() -> report::ScaleRow {
    let points = [1_375, 2_750, 5_500, 11_000].map(|teams| {
        let mut now = time::Instant::now();
        let mut share = FairShare::new();
        let accounts: Vec<_> = (0..teams).map(account).collect();
        for (firm, team) in &accounts {
            share.on_demand(firm, team, 0.1, now);
        }
        let start = time::Instant::now();
        for number in 0..DECISIONS as usize {
            now += DECISION_INTERVAL;
            let (firm, team) = &accounts[number * 7 % teams];
            share.on_demand(firm, team, 0.1, now);
            std::hint::black_box(share.overuse(firm, team, now));
            share.on_accepted(firm, team, 0.1, now);
        }
        let time_per_decision = start.elapsed() / DECISIONS;
        (teams as f64, time_per_decision.as_secs_f64() * 1e6)
    });
    report::ScaleRow::new(
        "entry",
        "time of a fair-share decision",
        "us",
        "teams",
        points.to_vec(),
        TARGET_TEAMS,
    )
}
