//! Measures the memory and time of the replicated fleet state. Not for: replication itself.

use std::time;

use usher_replica::StateMachine as _;
use usher_state::FleetState;
use usher_wire::message::{self, state_command};

use crate::scale::{report, resident_memory};

/// Engines and plain services at the target size.
const TARGET_TARGETS: f64 = 760.0;

/// Claims at the target size: one control group keeps them for a day, at 10 per second.
const TARGET_CLAIMS: f64 = 864_000.0;

/// Claims applied before the first measurement, to fill the bounded history of events
/// ([`usher_state::HISTORY_RECORDS`]).
const WARM_UP_CLAIMS: usize = 5_000;

/// Wall-clock time of all commands, in ms since 1970.
const COMMAND_TIME_MS: u64 = 1_796_342_400_000;

/// Fleet states that grow during the measurement.
pub(crate) struct FleetStates {
    targets: FleetState,
    claims: FleetState,
}

impl FleetStates {
    pub(crate) fn new() -> Self {
        Self {
            targets: FleetState::new(),
            claims: FleetState::new(),
        }
    }

    pub(crate) fn measure(&mut self) -> Vec<report::ScaleRow> {
        let mut rows = vec![target_memory(&mut self.targets)];
        rows.extend(claim_costs(&mut self.claims));
        rows
    }
}

fn apply(state: &mut FleetState, kind: state_command::Kind) {
    let command = message::StateCommand {
        at_ms: COMMAND_TIME_MS,
        kind: Some(kind),
    };
    let index = state.index().next();
    std::hint::black_box(state.apply_command(index, command));
}

fn add_claim(state: &mut FleetState, number: usize) {
    let entry = Some(message::NodeIdentity {
        name: "entry-1".to_owned(),
        incarnation: 1,
    });
    let (key, request_id) = (format!("key-{number}"), format!("request-{number}"));
    let call = message::ClaimCall {
        key: key.clone(),
        fingerprint: vec![1; 32],
        entry: entry.clone(),
        request_id: request_id.clone(),
    };
    apply(state, state_command::Kind::ClaimCall(call));
    let finish = message::FinishClaim {
        key,
        entry,
        request_id,
        kind: message::FinishKind::Answered.into(),
        answer: Some(message::RecordedAnswer {
            status: 200,
            ..message::RecordedAnswer::default()
        }),
    };
    apply(state, state_command::Kind::FinishClaim(finish));
}

fn claim_costs(state: &mut FleetState) -> Vec<report::ScaleRow> {
    (0..WARM_UP_CLAIMS).for_each(|number| add_claim(state, number));
    let before = resident_memory::resident_kib();
    let (mut memory, mut apply_time, mut snapshot) = (Vec::new(), Vec::new(), Vec::new());
    let mut applied = WARM_UP_CLAIMS;
    for size in [50_000, 100_000, 200_000, 400_000] {
        let start = time::Instant::now();
        (applied..size).for_each(|number| add_claim(state, number));
        let seconds_per_claim = start.elapsed().as_secs_f64() / (size - applied) as f64;
        applied = size;
        let claims = size as f64;
        memory.push((claims, resident_memory::resident_kib() - before));
        apply_time.push((claims, seconds_per_claim * 1e6));
        let start = time::Instant::now();
        std::hint::black_box(state.snapshot());
        snapshot.push((claims, start.elapsed().as_secs_f64() * 1e3));
    }
    let row = |figure, unit, points| {
        report::ScaleRow::new("control", figure, unit, "claims", points, TARGET_CLAIMS)
    };
    vec![
        row("memory of finished claims without body", "KiB", memory),
        row("time to apply a claim and its end", "us", apply_time),
        row("pause of a snapshot", "ms", snapshot),
    ]
}

fn target_memory(state: &mut FleetState) -> report::ScaleRow {
    // The registry accepts at most 10,000 targets.
    let sizes = [1_000, 2_000, 4_000, 8_000];
    let points = resident_memory::measure_growth(state, &sizes, |state, number| {
        let record = engine_record(number);
        apply(state, state_command::Kind::AnnounceTarget(record));
    });
    report::ScaleRow::new(
        "control",
        "memory of the target registry",
        "KiB",
        "targets",
        points,
        TARGET_TARGETS,
    )
}

/// Returns the record of a simulated engine.
pub(crate) fn engine_record(number: usize) -> message::TargetRecord {
    message::TargetRecord {
        name: format!("engine-south-a-{number:05}"),
        incarnation: number as u64 + 1,
        address: "10.20.30.40:8000".to_owned(),
        kind: "engine".to_owned(),
        service: "assist".to_owned(),
        shape: Some(message::EngineShape {
            model: "gum-8b".to_owned(),
            version: "2026.11".to_owned(),
            adapters: Vec::new(),
            role: "mixed".to_owned(),
        }),
        region: "south-a".to_owned(),
        domain: "south-a-1".to_owned(),
        kv_pieces: 512,
        fenced: true,
        leaving: false,
    }
}
