//! Recovery of the log after crashes, damage and disk failures.

use proptest::prelude::{any, proptest, Just, ProptestConfig, Strategy as _};
use usher_log::{
    CrashLoss, DiskFolder, DurableLog, LogError, LogRecord, LogSettings, MemoryFolder,
    RecoveredLog, StorageFolder as _, StoredSnapshot, VoteRecord,
};
use usher_types::IncarnationId;

type MemoryLog = DurableLog<MemoryFolder>;

fn try_open(folder: &MemoryFolder) -> Result<(MemoryLog, RecoveredLog), LogError> {
    let settings = LogSettings { segment_bytes: 400 };
    DurableLog::open(folder.clone(), settings, IncarnationId::new(7))
}

fn open(folder: &MemoryFolder) -> (MemoryLog, RecoveredLog) {
    try_open(folder).unwrap()
}

fn entry(index: u64) -> LogRecord {
    LogRecord {
        index,
        term: 1,
        kind: 0,
        payload: vec![index as u8; 20],
    }
}

/// Appends entries and syncs after each of them.
fn append(log: &mut MemoryLog, indexes: impl IntoIterator<Item = u64>) {
    for index in indexes {
        log.append(&entry(index));
        log.sync().unwrap();
    }
}

fn indexes(recovered: &RecoveredLog) -> Vec<u64> {
    recovered.entries.iter().map(|entry| entry.index).collect()
}

fn segments(folder: &MemoryFolder) -> Vec<String> {
    let mut names = folder.list().unwrap();
    names.retain(|name| name.ends_with(".segment"));
    names.sort();
    names
}

fn snapshot(index: u64) -> StoredSnapshot {
    StoredSnapshot {
        index,
        term: 1,
        membership: b"members".to_vec(),
        data: vec![3; 50],
    }
}

/// Guards against losing synced entries, votes or the incarnation in a power loss.
#[test]
fn synced_data_survives_a_loss_of_power() {
    let folder = MemoryFolder::default();
    let (mut log, _) = open(&folder);
    let vote = VoteRecord {
        term: 4,
        vote: Some(("c2".to_owned(), 9)),
    };
    log.set_vote(&vote);
    append(&mut log, 1..=30);
    log.append(&entry(31));
    folder.crash(CrashLoss::Unsynced);
    let settings = LogSettings { segment_bytes: 400 };
    let (log, recovered) = DurableLog::open(folder, settings, IncarnationId::new(99)).unwrap();
    assert_eq!(indexes(&recovered), (1..=30).collect::<Vec<_>>());
    assert_eq!(recovered.vote, vote);
    assert_eq!(log.incarnation(), IncarnationId::new(7));
    assert!(log.segment_count() > 1);
}

/// Guards against one fsync per entry instead of one per group of entries.
#[test]
fn a_group_of_entries_takes_one_fsync() {
    let folder = MemoryFolder::default();
    let settings = LogSettings::default();
    let (mut log, _) = DurableLog::open(folder.clone(), settings, IncarnationId::new(7)).unwrap();
    let before = folder.sync_count();
    for index in 1..=500 {
        log.append(&entry(index));
    }
    log.sync().unwrap();
    assert_eq!(folder.sync_count() - before, 1);
}

/// Guards against a torn last write that prevents the start of the node, or whose remaining bytes
/// become a valid record together with later writes.
#[test]
fn torn_write_at_the_end_is_truncated() {
    for kept in 0..140 {
        let folder = MemoryFolder::default();
        let (mut log, _) = open(&folder);
        append(&mut log, 1..=3);
        folder.fail_syncs_after(Some(0));
        log.append(&entry(4));
        log.append(&entry(5));
        assert!(log.sync().is_err());
        folder.fail_syncs_after(None);
        folder.crash(CrashLoss::KeepBytes(kept));
        let (mut log, recovered) = open(&folder);
        let held = indexes(&recovered);
        assert!(held.len() >= 3 && held == (1..=held.len() as u64).collect::<Vec<_>>());
        let next = held.len() as u64 + 1;
        append(&mut log, next..=next + 2);
        let (_, reopened) = open(&folder);
        assert_eq!(reopened.entries.len() as u64, next + 2);
        assert_eq!(reopened.torn_tail, None);
    }
}

/// Guards against damaged synced records that are treated as a torn write, which would lose
/// accepted entries. A damaged length must not hide the records after it either.
#[test]
fn damage_before_the_end_is_reported_with_its_offset() {
    let folder = MemoryFolder::default();
    let (mut log, _) = open(&folder);
    append(&mut log, 1..=25);
    let names = segments(&folder);
    assert!(names.len() > 1);
    for name in &names {
        let original = folder.read(name).unwrap();
        // The last record takes 46 bytes; damage there cannot be distinguished from a torn write.
        let end = original.len() - if Some(name) == names.last() { 46 } else { 0 };
        for position in 0..end {
            folder
                .damage(name, |bytes| bytes[position] ^= 0x41)
                .unwrap();
            let error = try_open(&folder).unwrap_err();
            let LogError::Corrupt { file, offset, .. } = &error else {
                panic!("{name} at {position}: {error}");
            };
            assert_eq!(file, name);
            assert!(*offset <= position as u64, "{error}");
            folder
                .damage(name, |bytes| *bytes = original.clone())
                .unwrap();
        }
    }
    open(&folder);
}

/// Guards against a missing segment or identity that goes unnoticed.
#[test]
fn missing_files_are_reported() {
    let folder = MemoryFolder::default();
    let (mut log, _) = open(&folder);
    append(&mut log, 1..=40);
    folder.remove(&segments(&folder)[1]).unwrap();
    assert!(matches!(try_open(&folder), Err(LogError::Missing { .. })));
    let folder = MemoryFolder::default();
    open(&folder);
    folder.remove("identity").unwrap();
    assert!(matches!(try_open(&folder), Err(LogError::Missing { .. })));
}

/// Guards against voting or acknowledging after an fsync with an unknown outcome.
#[test]
fn failed_fsync_makes_the_log_unusable() {
    let folder = MemoryFolder::default();
    let (mut log, _) = open(&folder);
    folder.fail_syncs_after(Some(0));
    log.append(&entry(1));
    assert!(matches!(log.sync(), Err(LogError::Io { .. })));
    folder.fail_syncs_after(None);
    assert!(matches!(log.sync(), Err(LogError::Unusable)));
    assert!(matches!(
        log.save_snapshot(&snapshot(1)),
        Err(LogError::Unusable)
    ));
}

/// Guards against a full disk that is reported as success or loses data that was synced before.
#[test]
fn full_disk_fails_and_keeps_what_was_synced() {
    for free in 0..200 {
        let folder = MemoryFolder::default();
        let (mut log, _) = open(&folder);
        append(&mut log, 1..=2);
        folder.set_capacity(Some(folder.used() + free));
        let result = (3..=6).try_for_each(|index| {
            log.append(&entry(index));
            log.sync()
        });
        let failed = log.save_snapshot(&snapshot(2));
        assert!(result.is_err() || failed.is_err());
        folder.set_capacity(None);
        let (_, recovered) = open(&folder);
        assert!(indexes(&recovered).len() + recovered.snapshot.map_or(0, |_| 2) >= 2);
    }
}

/// Guards against a disk that fills up although snapshots cover the entries.
#[test]
fn disk_usage_stays_bounded_with_snapshots() {
    let folder = MemoryFolder::default();
    let (mut log, _) = open(&folder);
    let mut largest = 0;
    for round in 0..200 {
        append(&mut log, round * 10 + 1..=round * 10 + 10);
        log.save_snapshot(&snapshot(round * 10 + 8)).unwrap();
        largest = largest.max(folder.used());
    }
    assert!(
        largest < 4_000,
        "{largest} bytes for 10 entries and a snapshot"
    );
    let (_, recovered) = open(&folder);
    assert_eq!(recovered.snapshot, Some(snapshot(1_998)));
    assert_eq!(indexes(&recovered), [1_999, 2_000]);
}

/// Guards against entries that reappear after the leader replaced them.
#[test]
fn truncated_and_replaced_entries_do_not_reappear() {
    let folder = MemoryFolder::default();
    let (mut log, _) = open(&folder);
    append(&mut log, 1..=10);
    log.truncate(6);
    let replaced = LogRecord {
        term: 2,
        ..entry(6)
    };
    log.append(&replaced);
    log.sync().unwrap();
    let (mut log, recovered) = open(&folder);
    assert_eq!(indexes(&recovered), (1..=6).collect::<Vec<_>>());
    assert_eq!(recovered.entries[5], replaced);
    log.install_snapshot(&StoredSnapshot {
        term: 3,
        ..snapshot(4)
    })
    .unwrap();
    let (mut log, recovered) = open(&folder);
    assert_eq!(indexes(&recovered), []);
    append(&mut log, 5..=6);
    assert_eq!(indexes(&open(&folder).1), [5, 6]);
}

/// Guards against a crash between the steps of saving a snapshot that loses both snapshots, or
/// entries that the snapshot does not cover.
#[test]
fn crash_at_any_fsync_of_a_snapshot_keeps_a_complete_state() {
    for install in [false, true] {
        for syncs in 0..8 {
            let folder = MemoryFolder::default();
            let (mut log, _) = open(&folder);
            append(&mut log, 1..=12);
            log.save_snapshot(&snapshot(3)).unwrap();
            folder.fail_syncs_after(Some(syncs));
            let _ = if install {
                log.install_snapshot(&snapshot(20))
            } else {
                log.save_snapshot(&snapshot(9))
            };
            folder.fail_syncs_after(None);
            folder.crash(CrashLoss::Unsynced);
            let (mut log, recovered) = open(&folder);
            let base = recovered
                .snapshot
                .as_ref()
                .map_or(0, |snapshot| snapshot.index);
            assert!([3, 9, 20].contains(&base));
            let last = base.max(12);
            assert_eq!(indexes(&recovered), (base + 1..=last).collect::<Vec<_>>());
            append(&mut log, last + 1..=last + 2);
            assert_eq!(open(&folder).1.entries.last(), Some(&entry(last + 2)));
        }
    }
}

/// Guards against a snapshot of this node's own state that replaces a newer one from the leader,
/// and against using a snapshot whose publication was interrupted by a crash.
#[test]
fn concurrently_written_snapshot_takes_effect_when_published() {
    let folder = MemoryFolder::default();
    let (mut log, _) = open(&folder);
    append(&mut log, 1..=12);
    log.snapshot_writer().write(&snapshot(9)).unwrap();
    append(&mut log, 13..=14);
    folder.crash(CrashLoss::Unsynced);
    let (mut log, recovered) = open(&folder);
    assert_eq!(recovered.snapshot, None);
    assert_eq!(indexes(&recovered), (1..=14).collect::<Vec<_>>());
    log.snapshot_writer().write(&snapshot(9)).unwrap();
    log.install_snapshot(&snapshot(20)).unwrap();
    log.publish_snapshot(9).unwrap();
    append(&mut log, 21..=22);
    let (_, recovered) = open(&folder);
    assert_eq!(recovered.snapshot, Some(snapshot(20)));
    assert_eq!(indexes(&recovered), [21, 22]);
    let remaining = folder.list().unwrap();
    assert!(remaining.iter().all(|name| !name.ends_with(".tmp")));
}

/// Guards against two processes that use the same folder.
#[test]
fn folder_is_locked_for_one_process() {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("locked");
    let _ = std::fs::remove_dir_all(&path);
    let folder = DiskFolder::open(&path).unwrap();
    assert!(matches!(
        DiskFolder::open(&path),
        Err(LogError::Locked { .. })
    ));
    let settings = LogSettings::default();
    let (mut log, _) = DurableLog::open(folder, settings.clone(), IncarnationId::new(1)).unwrap();
    log.append(&entry(1));
    log.sync().unwrap();
    log.save_snapshot(&snapshot(1)).unwrap();
    drop(log);
    let folder = DiskFolder::open(&path).unwrap();
    let (log, recovered) = DurableLog::open(folder, settings, IncarnationId::new(2)).unwrap();
    assert_eq!(recovered.snapshot, Some(snapshot(1)));
    assert_eq!(log.incarnation(), IncarnationId::new(1));
}

/// Opens a folder with a valid log in which one file has the given contents.
fn read_file(name: &str, content: &[u8]) -> Result<(MemoryLog, RecoveredLog), LogError> {
    let folder = MemoryFolder::default();
    let (mut log, _) = open(&folder);
    append(&mut log, 1..=5);
    log.save_snapshot(&snapshot(2)).unwrap();
    folder.create(name).unwrap();
    folder
        .damage(name, |bytes| *bytes = content.to_vec())
        .unwrap();
    try_open(&folder)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a panic, or a memory allocation for a bogus length, on arbitrary bytes.
    #[test]
    fn random_files_never_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
        name in proptest::prop_oneof![
            Just("log-00000000000000000001.segment"),
            Just("log-00000000000000000002.segment"),
            Just("snapshot-00000000000000000009.snap"),
            Just("identity"),
        ],
    ) {
        let _ = read_file(name, &bytes);
    }

    /// Guards against modified bytes that are read as entries that were never written.
    #[test]
    fn mutated_segments_give_a_prefix_or_an_error(
        changes in proptest::collection::vec((any::<u16>(), any::<u8>()), 1..4),
        cut in any::<u16>().prop_map(usize::from),
    ) {
        let folder = MemoryFolder::default();
        let (mut log, _) = open(&folder);
        append(&mut log, 1..=20);
        let names = segments(&folder);
        let name = &names[cut % names.len()];
        folder.damage(name, |bytes| {
            for (position, value) in &changes {
                let position = usize::from(*position) % bytes.len();
                bytes[position] = *value;
            }
            if cut % 3 == 0 {
                bytes.truncate(cut % bytes.len());
            }
        }).unwrap();
        if let Ok((_, recovered)) = try_open(&folder) {
            let expected: Vec<_> = (1..=recovered.entries.len() as u64).map(entry).collect();
            assert_eq!(recovered.entries, expected);
        }
    }
}
