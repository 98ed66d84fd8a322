//! Disks that are full for a while, one after another.

mod common;

use std::time;

use common::{wait_for, Group, Node};
use usher_log::MemoryFolder;

/// Time for which a disk is full; the node is restarted over and over meanwhile.
const FULL_TIME: time::Duration = time::Duration::from_millis(600);

/// Delay before a node that has ended is started again.
const RESTART_DELAY: time::Duration = time::Duration::from_millis(50);

/// Longest time for a change while the other nodes have room, and at the end: several elections.
const CHANGE_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Proposes a command on the running nodes until one accepts it.
async fn change(nodes: &[Option<Node>], command: &[u8]) {
    let limit = time::Instant::now() + CHANGE_LIMIT;
    loop {
        let mut refusals = Vec::new();
        for node in nodes.iter().flatten() {
            match node.handle.propose(command.to_vec()).await {
                Ok(_) => return,
                Err(error) => refusals.push((node.handle.status(), error)),
            }
        }
        assert!(
            time::Instant::now() < limit,
            "no node accepts a change: {refusals:#?}"
        );
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}

/// Runs a node on a full disk, as a supervisor that starts it again after each end, while the other
/// nodes take changes.
async fn fill_disk(
    group: &Group,
    nodes: &mut [Option<Node>],
    folders: &[MemoryFolder],
    node_index: usize,
    left_bytes: usize,
) {
    let folder = &folders[node_index];
    folder.set_capacity(Some(folder.used() + left_bytes));
    let begin = time::Instant::now();
    let mut number = 0_u32;
    while begin.elapsed() < FULL_TIME {
        number += 1;
        let command = format!("{node_index} {left_bytes} {number}");
        change(nodes, command.as_bytes()).await;
        let has_ended = match &nodes[node_index] {
            Some(node) => {
                let stopped = node.handle.stopped();
                let wait = time::Duration::from_millis(1);
                tokio::time::timeout(wait, stopped).await.is_ok()
            }
            None => true,
        };
        if has_ended {
            if let Some(node) = nodes[node_index].take() {
                node.stop().await;
            }
            tokio::time::sleep(RESTART_DELAY).await;
            nodes[node_index] = group.start_on(node_index, folder.clone()).await.ok();
        }
    }
    folder.set_capacity(None);
    if nodes[node_index].is_none() {
        nodes[node_index] = Some(group.start_on(node_index, folder.clone()).await.unwrap());
    }
}

fn check_disks(case: &str, left_bytes: usize) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let mut group = Group::new(&format!("full-disks-{case}"), 3, 3);
        group.adjust = |settings| settings.with_repair(None).with_snapshot_entries(16);
        let folders: Vec<_> = (0..3).map(|_| MemoryFolder::default()).collect();
        let mut nodes = Vec::new();
        for (node_index, folder) in folders.iter().enumerate() {
            nodes.push(Some(
                group.start_on(node_index, folder.clone()).await.unwrap(),
            ));
        }
        change(&nodes, b"first").await;
        for node_index in [0, 1, 2, 0, 1, 2] {
            fill_disk(&group, &mut nodes, &folders, node_index, left_bytes).await;
        }
        // A failure that was still on its way may end the last node once more.
        for (node_index, folder) in folders.iter().enumerate() {
            let stopped = nodes[node_index].as_ref().unwrap().handle.stopped();
            let wait = time::Duration::from_millis(100);
            if tokio::time::timeout(wait, stopped).await.is_ok() {
                nodes[node_index].take().unwrap().stop().await;
                nodes[node_index] = Some(group.start_on(node_index, folder.clone()).await.unwrap());
            }
        }
        change(&nodes, b"last").await;
        for node in nodes.iter().flatten() {
            wait_for("the last change on all nodes", || {
                let has_last = |commands: &[Vec<u8>]| commands.last().is_some_and(|c| c == b"last");
                node.handle.view(|machine| has_last(&machine.commands))
            })
            .await;
        }
        for node in nodes.into_iter().flatten() {
            node.stop().await;
        }
    });
}

// Guards against changes that are refused or stay unanswered after disks were full one after another
// and all of them have room again.
usher_types::cases! { check_disks:
    disks_without_room("0", 0);
    disks_with_room_for_a_part_of_a_record("20", 20);
    disks_with_room_for_a_part_of_a_snapshot("600", 600);
}
