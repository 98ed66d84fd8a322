//! Measures the CPU time and traffic that entries cost a control node. Not for: claims
//! (`state_cost`).

use std::{fs, io, net, time};

use prost::Message as _;
use usher_control::{ControlNode, ControlOptions};
use usher_wire::{
    message::{self, envelope},
    CallClient, WireIdentity,
};

use crate::{
    cpu_time,
    scale::{report, state_cost},
};

/// Entries that one of 8 control nodes serves at the target size.
const TARGET_ENTRIES: f64 = 43.0;

/// Engines and plain services at the target size.
const TARGET_TARGETS: f64 = 760.0;

/// Interval between heartbeats of an entry.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Duration of the measurement at each size, after all entries have the registry.
const MEASURE_TIME: time::Duration = time::Duration::from_secs(4);

/// Time allowed for connections and the registry to settle before the measurement.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(3);

/// Time allowed for the node to become leader and respond.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Thread-name prefix of the control node's runtime, by which its CPU time is measured.
const CONTROL_THREADS: &str = "scale-control";

/// Bytes that a frame adds to its message.
const FRAME_OVERHEAD_BYTES: usize = 12;

pub(crate) fn measure() -> io::Result<Vec<report::ScaleRow>> {
    let mut bytes = Vec::new();
    for targets in [21_usize, 100, 300, 760] {
        // As at the target size, about two targets announce themselves to each entry, and there are
        // at most 340 entries.
        let traffic = measure_traffic(targets.div_ceil(2).min(340), targets)?;
        bytes.push((targets as f64, traffic.bytes_per_second));
    }
    let mut cpu = Vec::new();
    for entries in [20, 40, 80, 160] {
        let traffic = measure_traffic(entries, 100)?;
        cpu.push((entries as f64, traffic.core_percent));
    }
    Ok(vec![
        report::ScaleRow::new(
            "entry",
            "control traffic of an entry, both ways",
            "bytes/s",
            "targets",
            bytes,
            TARGET_TARGETS,
        ),
        report::ScaleRow::new(
            "control",
            "processor time of a node for its entries",
            "% of a core",
            "entries",
            cpu,
            TARGET_ENTRIES,
        ),
    ])
}

struct EntryTraffic {
    bytes_per_second: f64,
    core_percent: f64,
}

/// Runs one control node and simulated entries on separate runtimes, and measures their traffic.
fn measure_traffic(entries: usize, targets: usize) -> io::Result<EntryTraffic> {
    let runtime = |name: &str| {
        tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name(name)
            .enable_all()
            .build()
    };
    let control_runtime = runtime(CONTROL_THREADS)?;
    let entry_runtime = runtime("scale-entry")?;
    let folder = std::env::temp_dir().join(format!("pimentousher-scale-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    let node = ControlNode::new(ControlOptions::new("control-1", &folder));
    let running = control_runtime
        .block_on(node.start())
        .map_err(|error| io::Error::other(error.to_string()))?;
    let address = running.wire_address();
    let tasks: Vec<_> = (0..entries)
        .map(|number| entry_runtime.spawn(run_entry(number, entries, targets, address)))
        .collect();
    std::thread::sleep(SETTLE_TIME);
    let before = cpu_time::of_threads(CONTROL_THREADS)?;
    std::thread::sleep(MEASURE_TIME);
    let cpu_time_used = cpu_time::of_threads(CONTROL_THREADS)? - before;
    let mut bytes = 0.0;
    for task in tasks {
        bytes += entry_runtime.block_on(task).map_err(io::Error::other)?;
    }
    control_runtime.block_on(running.stop());
    fs::remove_dir_all(&folder)?;
    Ok(EntryTraffic {
        bytes_per_second: bytes / entries as f64,
        core_percent: 100.0 * cpu_time_used.as_secs_f64() / MEASURE_TIME.as_secs_f64(),
    })
}

/// Sends the heartbeats of one entry; returns its bytes per second during the measurement.
async fn run_entry(number: usize, entries: usize, targets: usize, address: net::SocketAddr) -> f64 {
    let entry = message::NodeIdentity {
        name: format!("entry-{number}"),
        incarnation: 1,
    };
    let identity = WireIdentity {
        cluster: "pimentousher".to_owned(),
        node: usher_types::NodeName::new(entry.name.clone()),
        incarnation: usher_types::IncarnationId::new(1),
    };
    let client = CallClient::new(address, identity);
    let own_targets: Vec<_> = (0..targets)
        .filter(|target| target % entries == number)
        .collect();
    tokio::time::sleep(HEARTBEAT_INTERVAL * number as u32 / entries as u32).await;
    let start = time::Instant::now();
    let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
    let (mut registry, mut bytes) = (0, 0);
    for sequence in 1_u64.. {
        ticks.tick().await;
        if start.elapsed() > SETTLE_TIME + MEASURE_TIME {
            break;
        }
        let request = heartbeat(&entry, &own_targets, registry, sequence);
        let request_bytes = request.encoded_len();
        let body = envelope::Body::SyncRequest(request);
        let Ok(envelope::Body::SyncReply(reply)) = client.call(body, CALL_TIMEOUT).await else {
            continue;
        };
        registry = reply.registry_version;
        if start.elapsed() > SETTLE_TIME {
            bytes += request_bytes + reply.encoded_len() + 2 * FRAME_OVERHEAD_BYTES;
        }
    }
    bytes as f64 / MEASURE_TIME.as_secs_f64()
}

fn heartbeat(
    entry: &message::NodeIdentity,
    own_targets: &[usize],
    registry_version: u64,
    sequence: u64,
) -> message::SyncRequest {
    let records = own_targets
        .iter()
        .map(|target| state_cost::engine_record(*target));
    let loads = own_targets.iter().map(|target| message::LoadReport {
        target: state_cost::engine_record(*target).name,
        incarnation: *target as u64 + 1,
        age_ms: 120,
        running: 25,
        waiting: 3,
        prefill_tokens_waiting: 50_000 + sequence,
        kv_pieces_used: 700,
    });
    // Targets report their load every second, that is with every other heartbeat; their records are
    // sent only with the first four heartbeats.
    let reporting = sequence.is_multiple_of(2);
    message::SyncRequest {
        entry: Some(entry.clone()),
        region: "south-a".to_owned(),
        domain: "south-a-1".to_owned(),
        registry_version,
        announced: if sequence <= 4 {
            records.collect()
        } else {
            Vec::new()
        },
        loads: if reporting {
            loads.collect()
        } else {
            Vec::new()
        },
        sequence,
        takes_delta: true,
        ..message::SyncRequest::default()
    }
}
