//! Benchmarks of the control nodes: rate of claims, distribution of configuration changes, memory,
//! and bytes per entry.
//!
//! Run it with `cargo bench -p usher_control --bench measure_control -- [PART]...`; the parts are
//! `claims`, `config`, `memory` and `relay`, all by default.

#[path = "../tests/group/mod.rs"]
mod group;

use std::{
    env, fs,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use group::{ControlGroup, FakeEntry};
use prost::Message as _;
use usher_replica::StateMachine as _;
use usher_wire::message::{self, state_command, ClaimState};

/// Interval of the heartbeats of an entry.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Overhead of a frame: length, call number, and tag and length of the body.
const FRAME_BYTES: usize = 4 + 4 + 4;

#[tokio::main]
async fn main() {
    let parts: Vec<_> = env::args()
        .skip(1)
        .filter(|part| !part.starts_with("--"))
        .collect();
    let wanted = |part: &str| parts.is_empty() || parts.iter().any(|one| one == part);
    if wanted("memory") {
        measure_memory();
    }
    if wanted("claims") {
        measure_claims().await;
    }
    if wanted("config") {
        measure_config().await;
    }
    if wanted("relay") {
        measure_relay(760, 340).await;
        measure_relay(21, 8).await;
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * 4_096
}

/// Returns the CPU time of this process.
fn cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let field = |index: usize| {
        let field = after_name.split_whitespace().nth(index);
        field.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
    };
    // User and system time, in ticks of 10 ms.
    Duration::from_millis((field(11) + field(12)) * 10)
}

fn quantile(times: &mut [Duration], part: f64) -> Duration {
    times.sort();
    let index = ((times.len() as f64 - 1.0) * part).round() as usize;
    times.get(index).copied().unwrap_or_default()
}

fn measure_memory() {
    println!("# memory of the replicated state");
    let mut state = usher_state::FleetState::new();
    let mut index = 0;
    let mut apply = |state: &mut usher_state::FleetState, kind| {
        index += 1;
        let command = message::StateCommand {
            at_ms: 1_796_342_400_000,
            kind: Some(kind),
        };
        state.apply_command(usher_types::LogIndex::new(index), command);
    };
    // Fills the bounded history first, so that it isn't measured.
    for number in 0..5_000 {
        claim(&mut state, &mut apply, number);
    }
    let before = resident_bytes();
    for number in 5_000..205_000 {
        claim(&mut state, &mut apply, number);
    }
    let claims = resident_bytes() - before;
    let start = Instant::now();
    let bytes = state.snapshot().len();
    println!(
        "snapshot of 205,000 claims: {bytes} bytes in {:?}",
        start.elapsed()
    );
    println!(
        "200,000 finished claims without body: {claims} bytes, {} per 10,000",
        claims / 20
    );
    let before = resident_bytes();
    for number in 0..10_000 {
        let record = group::engine(&format!("engine-{number}"), number + 1, "10.0.0.1:8000");
        apply(&mut state, state_command::Kind::AnnounceTarget(record));
    }
    let targets = resident_bytes() - before;
    println!(
        "10,000 targets: {targets} bytes, {} per 1,000",
        targets / 10
    );
    let start = Instant::now();
    let bytes = state.snapshot();
    println!(
        "snapshot of both: {} bytes in {:?}",
        bytes.len(),
        start.elapsed()
    );
    let start = Instant::now();
    let restored = usher_state::FleetState::new().restore(&bytes);
    println!("restored in {:?}: {restored:?}", start.elapsed());
}

fn claim<A>(state: &mut usher_state::FleetState, apply: &mut A, number: u64)
where
    A: FnMut(&mut usher_state::FleetState, state_command::Kind),
{
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

async fn measure_claims() {
    println!("# claims, 3 nodes, loopback, fsync on");
    let group = ControlGroup::start("measure-claims", 3).await;
    let leader = group.leader().await;
    let follower = group.follower().await;
    for (name, index) in [("leader", leader), ("follower", follower)] {
        let (rate, times) = claim_load(&group, &[index], 1, Duration::from_secs(5)).await;
        report_claims(&format!("1 at a time at the {name}"), rate, times);
    }
    for count in [16, 64, 256, 1_024] {
        let indices = [0, 1, 2];
        let (rate, times) = claim_load(&group, &indices, count, Duration::from_secs(5)).await;
        report_claims(&format!("{count} at a time at all nodes"), rate, times);
    }
}

fn report_claims(name: &str, rate: f64, mut times: Vec<Duration>) {
    let quantiles = [0.5, 0.95, 0.99].map(|part| quantile(&mut times, part));
    println!("{name}: {rate:.0} claims/s, p50/p95/p99 {quantiles:?}");
}

async fn claim_load(
    group: &ControlGroup,
    indices: &[usize],
    count: usize,
    length: Duration,
) -> (f64, Vec<Duration>) {
    static NEXT_KEY: AtomicUsize = AtomicUsize::new(0);
    let start = Instant::now();
    // At most eight entries, each of which shares its connection between many calls.
    let entries: Vec<_> = (0..count.min(8))
        .map(|number| {
            let index = indices[number % indices.len()];
            let name = format!("e{number}");
            Arc::new(FakeEntry::new(&name, 1, group.wire_address(index)))
        })
        .collect();
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..count {
        let entry = entries[number % entries.len()].clone();
        tasks.spawn(async move {
            let mut times = Vec::new();
            while start.elapsed() < length {
                let key = format!("k{}", NEXT_KEY.fetch_add(1, Ordering::Relaxed));
                let asked = Instant::now();
                let state = entry.claim(&key, &key).await;
                assert!(matches!(state, Ok(ClaimState::Claimed)), "{state:?}");
                times.push(asked.elapsed());
            }
            times
        });
    }
    let times: Vec<_> = tasks.join_all().await.into_iter().flatten().collect();
    (times.len() as f64 / start.elapsed().as_secs_f64(), times)
}

async fn measure_config() {
    println!("# configuration: from its acceptance to the last entry's reply, 10 changes each");
    for count in [8, 50, 150, 340] {
        let group = ControlGroup::start(&format!("measure-config-{count}"), 3).await;
        let leader = group.leader().await;
        let (seen, mut acted) = tokio::sync::mpsc::unbounded_channel();
        let mut tasks = tokio::task::JoinSet::new();
        for number in 0..count {
            let address = group.wire_address(number % 3);
            let seen = seen.clone();
            tasks.spawn(async move {
                let mut entry = FakeEntry::new(&format!("e{number}"), 1, address);
                tokio::time::sleep(HEARTBEAT * number as u32 / count as u32).await;
                let mut ticks = tokio::time::interval(HEARTBEAT);
                loop {
                    ticks.tick().await;
                    let before = entry.config_version;
                    let answered = entry.sync().await.is_ok();
                    if answered && entry.config_version > before {
                        let _ = seen.send((entry.config_version, Instant::now()));
                    }
                }
            });
        }
        tokio::time::sleep(2 * HEARTBEAT).await;
        let mut lasts = Vec::new();
        for base in 0..10_u64 {
            // 170 rows, about 10 KB: 57 models, each in one service and three regions.
            let sheet = large_sheet(base);
            let body = group::config_change(&format!("r{base}"), base, &sheet);
            let address = group.operator_address(leader);
            let answer = group::send_operator_request(address, "POST", "/v1/config", body).await;
            let accepted = Instant::now();
            assert_eq!(answer.map(|answer| answer.0), Some(200));
            let mut last = Duration::ZERO;
            for _ in 0..count {
                let (version, at) = acted.recv().await.unwrap();
                assert_eq!(version, base + 1);
                last = last.max(at.saturating_duration_since(accepted));
            }
            lasts.push(last);
            tokio::time::sleep(Duration::from_millis(37 * base)).await;
        }
        let (median, worst) = (quantile(&mut lasts, 0.5), quantile(&mut lasts, 1.0));
        println!("{count} entries: last entry median {median:?}, worst {worst:?}");
        tasks.shutdown().await;
    }
}

fn large_sheet(floor: u64) -> String {
    let rows = (0..170).map(|row| {
        let (service, region) = (row / 3, ["south-a", "north-a", "west-a"][row % 3]);
        format!(
            "service-{service},engine,{region},model-{service},1,,0,0,4..9,{}\n",
            floor % 4
        )
    });
    format!("{}{}", group::HEADER, rows.collect::<String>())
}

/// Traffic of one entry.
#[derive(Clone, Copy, Default)]
struct EntryTraffic {
    sent: usize,
    received: usize,
    beats: usize,
    loads: usize,
}

async fn measure_relay(targets: usize, entries: usize) {
    println!("# relay with {targets} targets and {entries} entries");
    let group = ControlGroup::start(&format!("measure-relay-{targets}"), 3).await;
    group.leader().await;
    let memory_before = resident_bytes();
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..entries {
        let address = group.wire_address(number % 3);
        tasks.spawn(run_entry(number, entries, targets, address));
    }
    // The CPU time is measured after the registry has stopped changing.
    tokio::time::sleep(Duration::from_secs(12)).await;
    let before = (cpu_time(), Instant::now());
    tokio::time::sleep(Duration::from_secs(12)).await;
    let cpu = (cpu_time() - before.0).as_secs_f64() / before.1.elapsed().as_secs_f64();
    let memory = resident_bytes().saturating_sub(memory_before);
    let traffic = tasks.join_all().await;
    let beats: usize = traffic.iter().map(|one| one.beats).sum();
    let mean = |part: fn(&EntryTraffic) -> usize| {
        traffic.iter().map(part).sum::<usize>() as f64 / beats as f64
    };
    let (sent, received) = (mean(|one| one.sent), mean(|one| one.received));
    let per_second = (sent + received) / HEARTBEAT.as_secs_f64();
    println!(
        "per heartbeat and entry: {sent:.0} bytes sent, {received:.0} received, {:.1} loads; \
         {per_second:.0} bytes/s both ways",
        mean(|one| one.loads)
    );
    println!(
        "whole process with 3 control nodes: {:.1}% of a core, {memory} bytes more; divided by \
         the entries: {:.3}% of a core, {} bytes",
        100.0 * cpu,
        100.0 * cpu / entries as f64,
        memory / entries
    );
}

/// Runs an entry for 25 s and measures the last 15 s, when the registry no longer changes.
async fn run_entry(
    number: usize,
    entries: usize,
    targets: usize,
    address: std::net::SocketAddr,
) -> EntryTraffic {
    let mut entry = FakeEntry::new(&format!("entry-{number}"), 1, address);
    let own: Vec<_> = (0..targets).filter(|one| one % entries == number).collect();
    let name = |one: usize| format!("engine-south-a-{one:03}");
    entry.demands = (0..12)
        .filter(|service| (service + number).is_multiple_of(3))
        .map(|service| message::ServiceDemand {
            service: format!("service-{service}"),
            requests: 4.5,
            prefill_tokens: 9_000.5,
            output_tokens: 1_200.25,
        })
        .collect();
    tokio::time::sleep(HEARTBEAT * number as u32 / entries as u32).await;
    let start = Instant::now();
    let mut ticks = tokio::time::interval(HEARTBEAT);
    let mut traffic = EntryTraffic::default();
    for beat in 0_u64.. {
        ticks.tick().await;
        if start.elapsed() > Duration::from_secs(25) {
            break;
        }
        let unknown = own
            .iter()
            .filter(|one| !entry.targets.iter().any(|known| known.name == name(**one)));
        entry.announced = unknown
            .map(|one| group::engine(&name(*one), u64::MAX - *one as u64, "10.20.30.40:8000"))
            .collect();
        // Targets announce themselves and report their load every second.
        let reporting = own.iter().filter(|_| beat % 2 == 0);
        entry.loads = reporting
            .map(|one| message::LoadReport {
                target: name(*one),
                incarnation: u64::MAX - *one as u64,
                age_ms: 120,
                running: 25,
                waiting: 3,
                prefill_tokens_waiting: 50_000 + beat,
                kv_pieces_used: 700,
            })
            .collect();
        let sent = entry.request().encoded_len() + FRAME_BYTES;
        let Ok(reply) = entry.sync().await else {
            continue;
        };
        if start.elapsed() > Duration::from_secs(10) {
            traffic.sent += sent;
            traffic.received += reply.encoded_len() + FRAME_BYTES;
            traffic.beats += 1;
            traffic.loads += reply.loads.len();
        }
    }
    assert_eq!(
        entry.targets.len(),
        targets,
        "entry {number} misses targets"
    );
    traffic
}
