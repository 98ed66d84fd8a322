//! The capacity of the target registry, and the deltas that are available after a removal.

use usher_replica::StateMachine as _;
use usher_state::{FleetState, MAX_TARGETS};
use usher_types::LogIndex;
use usher_wire::message::{self, state_command, state_outcome};

#[derive(Default)]
struct RegistryHarness {
    state: FleetState,
    index: u64,
}

impl RegistryHarness {
    /// Creates a registry that is full.
    fn full() -> Self {
        let mut harness = Self::default();
        for number in 0..MAX_TARGETS {
            assert!(harness.announce(&format!("t{number}")));
        }
        harness
    }

    fn apply(&mut self, kind: state_command::Kind) -> bool {
        self.index += 1;
        let command = message::StateCommand {
            at_ms: 1,
            kind: Some(kind),
        };
        let outcome = self.state.apply_command(LogIndex::new(self.index), command);
        !matches!(outcome.kind, Some(state_outcome::Kind::Refused(_)))
    }

    fn announce(&mut self, name: &str) -> bool {
        let record = message::TargetRecord {
            name: name.to_owned(),
            incarnation: 1,
            kind: "plain".to_owned(),
            ..message::TargetRecord::default()
        };
        self.apply(state_command::Kind::AnnounceTarget(record))
    }

    fn mark_gone(&mut self, name: &str) {
        let mark = message::TargetMark {
            name: name.to_owned(),
            gone: true,
            ..message::TargetMark::default()
        };
        assert!(self.apply(state_command::Kind::MarkTarget(mark)));
    }
}

/// Guards against a registry that refuses every new target after 10,000 names were registered.
#[test]
fn full_registry_removes_the_longest_gone_target() {
    let mut harness = RegistryHarness::full();
    assert!(!harness.announce("new-1"));
    harness.mark_gone("t7");
    harness.mark_gone("t3");
    assert!(harness.announce("new-1"));
    assert!(harness.state.targets().find("t7").is_none());
    assert!(harness.state.targets().find("t3").is_some());
    assert!(harness.announce("new-2"));
    assert!(harness.state.targets().find("t3").is_none());
    assert!(!harness.announce("new-3"));
    assert_eq!(harness.state.targets().iter().count(), MAX_TARGETS);
}

fn changed_names(state: &FleetState, version: u64) -> Option<Vec<String>> {
    let changed = state.targets().changed_since(version)?;
    Some(changed.map(|target| target.record.name.clone()).collect())
}

/// Guards against an entry that keeps a removed target because the delta doesn't contain it. This
/// must also hold if the node that answers was restored from a snapshot.
#[test]
fn versions_before_a_removal_get_no_delta() {
    let mut harness = RegistryHarness::full();
    let before = harness.state.targets().version();
    harness.mark_gone("t7");
    let gone_at = harness.state.targets().version();
    harness.mark_gone("t3");
    let names = vec!["t3".to_owned(), "t7".to_owned()];
    assert_eq!(changed_names(&harness.state, before), Some(names));
    assert!(harness.announce("new-1"));
    let names = vec!["new-1".to_owned(), "t3".to_owned()];
    let copy = harness.state.snapshot();
    let mut restored = FleetState::default();
    restored.restore(&copy).unwrap();
    for state in [&harness.state, &restored] {
        assert_eq!(changed_names(state, 0), None);
        assert_eq!(changed_names(state, before), None);
        assert_eq!(changed_names(state, gone_at), Some(names.clone()));
    }
    assert_eq!(restored.snapshot(), copy);
}

/// A snapshot of a present and a gone target, written by a version that never removed targets.
const EARLIER_SNAPSHOT: &str = "5553465300000001080110031a0022002a00322a080312110a0d0a02743110012205706c61696e280112130a0d0a02743210012205706c61696e100128033a25080110011a027431221b616e6e6f756e63656420696e6361726e6174696f6e2031206174203a25080210011a027432221b616e6e6f756e63656420696e6361726e6174696f6e2031206174203a1b080310011a02743222116d61726b656420676f6e65206279202222";

/// Guards against a format change that makes snapshots of the previous version unreadable.
#[test]
fn snapshot_of_an_earlier_version_is_readable() {
    let mut harness = RegistryHarness::default();
    assert!(harness.announce("t1"));
    assert!(harness.announce("t2"));
    harness.mark_gone("t2");
    let digits = EARLIER_SNAPSHOT.as_bytes().chunks(2);
    let earlier: Vec<u8> = digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect();
    let mut restored = FleetState::default();
    restored.restore(&earlier).unwrap();
    assert_eq!(restored.snapshot(), harness.state.snapshot());
    assert_eq!(changed_names(&restored, 2), Some(vec!["t2".to_owned()]));
}
