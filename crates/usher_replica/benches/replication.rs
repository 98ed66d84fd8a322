//! Measures replication over loopback with real fsyncs; see docs/measure-replication.md.
//!
//! `cargo bench -p usher_replica --bench replication`

#[path = "../tests/common/mod.rs"]
mod common;

use std::{sync, time};

use common::{leader_of, propose, wait_for, Group, Handle, Node};
use usher_replica::{ProposeError, ReplicaRole};

const COMMAND_BYTES: usize = 200;
/// Duration of each measurement of the commit rate.
const MEASUREMENT_DURATION: time::Duration = time::Duration::from_secs(3);

fn command(number: u64) -> Vec<u8> {
    let mut bytes = number.to_le_bytes().to_vec();
    bytes.resize(COMMAND_BYTES, 1);
    bytes
}

fn handles(nodes: &[Node]) -> Vec<&Handle> {
    nodes.iter().map(|node| &node.handle).collect()
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or(0)
        * 1_024
}

/// Proposes commands with a number of concurrent callers; returns commands per second, and p50 and
/// p99 in ms.
async fn commit_rate(leader: &Handle, callers: usize) -> (f64, f64, f64) {
    let times = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let start = time::Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for caller in 0..callers as u64 {
        let (leader, times) = (leader.clone(), times.clone());
        tasks.spawn(async move {
            while start.elapsed() < MEASUREMENT_DURATION {
                let sent = time::Instant::now();
                if leader.propose(command(caller)).await.is_ok() {
                    times.lock().unwrap().push(sent.elapsed());
                }
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    let seconds = start.elapsed().as_secs_f64();
    let mut times = std::mem::take(&mut *times.lock().unwrap());
    times.sort_unstable();
    let at = |share: usize| {
        let rank = times.len() * share / 100;
        times.get(rank).map_or(0.0, |time| time.as_secs_f64() * 1e3)
    };
    (times.len() as f64 / seconds, at(50), at(99))
}

async fn measure_rate(count: usize) {
    let group = Group::new(&format!("bench-rate-{count}"), count, count);
    let nodes = group.start_all().await;
    let handles = handles(&nodes);
    propose(&handles, &command(0)).await;
    let leader = handles[leader_of(&handles).await];
    for callers in [1, 16, 256] {
        let (rate, p50, p99) = commit_rate(leader, callers).await;
        println!("{count} node(s), {callers:>3} callers: {rate:>8.0} commits/s, p50 {p50:.2} ms, p99 {p99:.2} ms");
    }
    for node in nodes {
        node.stop().await;
    }
}

/// Stops the leader repeatedly and measures the time until the next command is accepted.
async fn measure_leader_loss(rounds: usize) {
    let group = Group::new("bench-loss", 3, 3);
    let mut nodes: Vec<Option<Node>> = group.start_all().await.into_iter().map(Some).collect();
    let mut times = Vec::new();
    for round in 0..rounds {
        let running: Vec<&Handle> = nodes.iter().flatten().map(|node| &node.handle).collect();
        propose(&running, &command(round as u64)).await;
        let leads = |node: &Option<Node>| {
            let node = node.as_ref();
            node.is_some_and(|node| node.handle.status().role == ReplicaRole::Leader)
        };
        let node_index = nodes.iter().position(leads).unwrap();
        let start = time::Instant::now();
        let lost = nodes[node_index].take().unwrap();
        lost.stop().await;
        let running: Vec<&Handle> = nodes.iter().flatten().map(|node| &node.handle).collect();
        propose(&running, &command(0)).await;
        times.push(start.elapsed().as_secs_f64());
        let index = running.iter().map(|node| node.status().applied).max();
        nodes[node_index] = Some(group.start(node_index).await);
        let back = nodes[node_index].as_ref().unwrap().handle.clone();
        wait_for("the node that returned", || {
            Some(back.status().applied) >= index
        })
        .await;
    }
    times.sort_by(f64::total_cmp);
    println!(
        "leader loss to next accepted command, {rounds} rounds: min {:.2} s, median {:.2} s, max {:.2} s",
        times[0],
        times[rounds / 2],
        times[rounds - 1]
    );
    for node in nodes.into_iter().flatten() {
        node.stop().await;
    }
}

/// Stops a follower, commits entries without it and measures the time it takes to catch up.
async fn measure_restart(missed: u64) {
    let group = Group::new(&format!("bench-restart-{missed}"), 3, 3);
    let mut nodes = group.start_all().await;
    let all = handles(&nodes);
    propose(&all, &command(0)).await;
    let leader = leader_of(&all).await;
    let node_index = (leader + 1) % 3;
    let mut remaining = Vec::new();
    for (other, node) in nodes.drain(..).enumerate() {
        if other == node_index {
            node.stop().await;
        } else {
            remaining.push(node);
        }
    }
    let running = handles(&remaining);
    let leader = running[leader_of(&running).await].clone();
    let mut tasks = tokio::task::JoinSet::new();
    let callers = 256.min(missed);
    for caller in 0..callers {
        let leader = leader.clone();
        let share = missed / callers + u64::from(caller < missed % callers);
        tasks.spawn(async move {
            for number in 0..share {
                while let Err(ProposeError::Busy) = leader.propose(command(number)).await {}
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    let target = leader.status().applied;
    let start = time::Instant::now();
    let back = group.start(node_index).await;
    let opened = start.elapsed();
    wait_for("the missed entries", || {
        back.handle.status().applied >= target
    })
    .await;
    println!(
        "restart with {missed} missed entries: {:.3} s until applied ({:.3} s to open the log)",
        start.elapsed().as_secs_f64(),
        opened.as_secs_f64()
    );
    back.stop().await;
    for node in remaining {
        node.stop().await;
    }
}

/// Measures the memory of one node for entries that stay in its log; the state machine also holds a
/// copy of each command.
async fn measure_memory(entries: u64) {
    let mut group = Group::new("bench-memory", 1, 1);
    group.adjust = |settings| {
        settings
            .with_repair(None)
            .with_snapshot_entries(u64::MAX / 2)
    };
    let node = group.start(0).await;
    propose(&[&node.handle], &command(0)).await;
    let before = resident();
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..100 {
        let handle = node.handle.clone();
        tasks.spawn(async move {
            for number in 0..entries / 100 {
                let _ = handle.propose(command(number)).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    let grown = resident().saturating_sub(before);
    println!(
        "memory of one node per 1,000 entries of {COMMAND_BYTES} bytes: {} KiB, of which {} KiB are the state's copy",
        grown * 1_000 / entries / 1_024,
        COMMAND_BYTES * 1_000 / 1_024
    );
    node.stop().await;
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        measure_memory(100_000).await;
        measure_rate(1).await;
        measure_rate(3).await;
        measure_leader_loss(10).await;
        measure_restart(1_000).await;
        measure_restart(100_000).await;
    });
}
