//! Tests that counts survive restarts, incomplete writes and damaged lines, and stay bounded on
//! disk.

use std::{
    fs, path,
    time::{Duration, SystemTime},
};

use proptest::{prelude::*, test_runner::RngSeed};
use usher_report::{BurnCause, BurnEvent, BurnStore, LoadedCounts, SeriesKey, RECORDS_FILE};

const MINUTE: Duration = Duration::from_secs(60);

fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_796_365_845)
}

/// Temporary folder below cargo's, removed when the test ends.
struct TempFolder(path::PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("store-{name}"));
        let _ = fs::remove_dir_all(&folder);
        Self(folder)
    }

    fn file(&self) -> path::PathBuf {
        self.0.join(RECORDS_FILE)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn event(ago: Duration, cause: BurnCause) -> BurnEvent {
    BurnEvent {
        key: SeriesKey::new("assist", "loo-round"),
        at: now() - ago,
        cause,
        first_token: Some(Duration::from_millis(80)),
    }
}

fn filled(folder: &TempFolder, events: u32) -> BurnStore {
    let mut store = BurnStore::open(&folder.0, now()).unwrap();
    for number in 0..events {
        store.record(&event(number * MINUTE, BurnCause::Ok));
    }
    store.flush(now()).unwrap();
    store
}

/// Guards against counts that are lost or counted twice at a restart.
#[test]
fn counts_survive_restarts() {
    let folder = TempFolder::new("restart");
    let mut store = filled(&folder, 600);
    store.record(&event(Duration::ZERO, BurnCause::Late));
    store.flush(now()).unwrap();
    store.flush(now()).unwrap();
    let before = store.counts().clone();
    for _ in 0..3 {
        drop(store);
        store = BurnStore::open(&folder.0, now()).unwrap();
        assert_eq!(store.counts(), &before);
    }
}

/// Guards against an incomplete last line that hides the records before it or corrupts the next
/// record.
#[test]
fn torn_end_is_cut_off() {
    let folder = TempFolder::new("torn");
    let before = filled(&folder, 20).counts().clone();
    let complete = fs::read(folder.file()).unwrap();
    let last_line = complete[..complete.len() - 1]
        .iter()
        .rposition(|byte| *byte == b'\n')
        .unwrap()
        + 1;
    for cut in [last_line + 1, last_line + 9, complete.len() - 1] {
        fs::write(folder.file(), &complete[..cut]).unwrap();
        let loaded = LoadedCounts::read(&folder.file()).unwrap();
        assert_eq!((loaded.skipped, loaded.torn_bytes), (0, cut - last_line));
        let mut store = BurnStore::open(&folder.0, now()).unwrap();
        // The last line contains the newest minute.
        store.record(&event(Duration::ZERO, BurnCause::Ok));
        store.flush(now()).unwrap();
        assert_eq!(LoadedCounts::read(&folder.file()).unwrap().counts, before);
    }
}

/// Guards against losing all records to one damaged line.
#[test]
fn damaged_line_is_skipped() {
    let folder = TempFolder::new("damaged");
    filled(&folder, 20);
    let mut bytes = fs::read(folder.file()).unwrap();
    bytes[40] ^= 1;
    let loaded = LoadedCounts::from_bytes(&bytes);
    assert_eq!((loaded.skipped, loaded.torn_bytes), (1, 0));
    assert_eq!(loaded.counts.keys().count(), 1);
}

/// Guards against a file that grows as long as the daemon runs.
#[test]
fn file_stays_bounded() {
    let folder = TempFolder::new("bounded");
    let mut store = BurnStore::open(&folder.0, now()).unwrap();
    let mut largest = 0;
    for hour in 0..24 * 120 {
        let at = now() + Duration::from_secs(3_600 * hour);
        for number in 0..12 {
            let mut event = event(Duration::ZERO, BurnCause::Ok);
            event.at = at + number * Duration::from_secs(300);
            store.record(&event);
        }
        store.flush(at + Duration::from_secs(3_599)).unwrap();
        largest = largest.max(fs::metadata(folder.file()).unwrap().len());
    }
    // Counts for 90 days of hours and 8 hours of minutes need 0.3 MB; the file may grow to twice
    // that and 1 MiB more.
    assert!(largest < 2 << 20, "the file grew to {largest} bytes");
    let before = store.counts().clone();
    drop(store);
    let end = now() + Duration::from_secs(3_600 * (24 * 120 - 1) + 3_599);
    assert_eq!(BurnStore::open(&folder.0, end).unwrap().counts(), &before);
}

/// Guards against counts with a future time, after the wall clock was set back.
#[test]
fn future_records_are_removed() {
    let folder = TempFolder::new("future");
    let mut store = filled(&folder, 1);
    let mut future = event(Duration::ZERO, BurnCause::Ok);
    future.at = now() + Duration::from_secs(30 * 24 * 3_600);
    store.record(&future);
    store.flush(now()).unwrap();
    drop(store);
    let store = BurnStore::open(&folder.0, now()).unwrap();
    assert_eq!(
        store.counts(),
        filled(&TempFolder::new("future-2"), 1).counts()
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against a damaged file that prevents the daemon from starting.
    #[test]
    fn any_bytes_are_read(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let loaded = LoadedCounts::from_bytes(&bytes);
        let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
        prop_assert_eq!(loaded.skipped, lines);
    }
}
