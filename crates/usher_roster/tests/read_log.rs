//! Gateways report to each other the prefixes that engines have read.

use usher_roster::PrefixLog;
use usher_types::NodeName;
use usher_wire::message::PartsRead;

fn read(parts: u64) -> PartsRead {
    PartsRead { parts, target: 1 }
}

fn parts(reads: Vec<PartsRead>) -> Vec<u64> {
    reads.into_iter().map(|read| read.parts).collect()
}

/// Guards against reads that a gateway gets twice, gets back, or misses.
#[test]
fn gateway_gets_reads_of_others_once() {
    let (one, two) = (NodeName::new("gateway-1"), NodeName::new("gateway-2"));
    let mut log = PrefixLog::default();
    log.add(&one, false, vec![read(1), read(2)]);
    assert_eq!(parts(log.take_unsent(&one)), [] as [u64; 0]);
    assert_eq!(parts(log.take_unsent(&two)), [1, 2]);
    assert_eq!(parts(log.take_unsent(&two)), [] as [u64; 0]);
    log.add(&two, false, vec![read(3)]);
    assert_eq!(parts(log.take_unsent(&one)), [3]);
}

/// Guards against reads that registrars forward to each other in a loop.
#[test]
fn registrar_forwards_only_reads_of_its_own_gateways() {
    let (gateway, registrar) = (NodeName::new("gateway-1"), NodeName::new("registrar-2"));
    let mut log = PrefixLog::default();
    log.add(&gateway, false, vec![read(1)]);
    log.add(&registrar, true, vec![read(2)]);
    assert_eq!(parts(log.take_unforwarded()), [1]);
    assert_eq!(parts(log.take_unforwarded()), [] as [u64; 0]);
    assert_eq!(parts(log.take_unsent(&NodeName::new("gateway-3"))), [1, 2]);
}

/// Guards against a log that grows without bound, and against positions that are lost when its
/// front is dropped.
#[test]
fn log_keeps_the_newest() {
    let (one, two) = (NodeName::new("gateway-1"), NodeName::new("gateway-2"));
    let mut log = PrefixLog::default();
    log.add(&one, false, (0..3_000).map(read).collect());
    assert_eq!(log.take_unsent(&two).len(), 3_000);
    log.add(&one, false, (3_000..9_000).map(read).collect());
    let reads = parts(log.take_unsent(&two));
    assert_eq!((reads.len(), reads.last()), (4_096, Some(&8_999)));
}
