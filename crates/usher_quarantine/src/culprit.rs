//! Finds the parts that explain a series of crashes. Not for: keeping the calls.

use std::{collections, time};

use crate::broken_call::{BrokenCall, CallPhase, EngineProcess};
use crate::PartId;

/// Weight of crashes from which parts count as their cause: three crashes before the first event. By
/// chance, a part that is rarely used is in three crashes in a row much less often than in two.
const CULPRIT_WEIGHT: u32 = 6;

/// Weight of crashes that aren't explained by a larger set of parts from which a part of that set
/// counts as a cause by itself.
const NARROWER_WEIGHT: u32 = 4;

/// Returns the weight of the crash of an engine for the parts of a call. An engine that has written
/// events has been able to begin an answer on them, and many prompts wait at one that reads.
fn crash_weight(phase: CallPhase) -> u32 {
    match phase {
        CallPhase::NoEvent => 2,
        CallPhase::Prefill | CallPhase::Streaming => 1,
    }
}

/// Parts that crash engines together.
#[derive(Clone, Debug)]
pub(crate) struct Culprit {
    /// The parts, sorted. A call with all of them crashes engines.
    pub(crate) parts: Vec<PartId>,
    /// Ids of the calls that show it.
    pub(crate) calls: collections::BTreeSet<u64>,
    /// Number of the engine processes that crashed.
    pub(crate) crashes: usize,
    /// Time of the first crash.
    pub(crate) first_crash: time::Instant,
}

/// A set of parts, with the calls that have all of them.
struct Candidate<'c> {
    parts: Vec<PartId>,
    calls: Vec<&'c BrokenCall>,
}

impl Candidate<'_> {
    /// Returns the weight of the crashes that no set explains so far.
    fn unexplained_weight(&self, explained: &collections::BTreeSet<EngineProcess>) -> u32 {
        let calls = self.calls.iter().copied();
        total_weight(calls.filter(|call| !explained.contains(&call.process)))
    }
}

/// Finds the parts that explain crashes in a row without a complete answer between them.
///
/// The set that explains the most crashes comes first, or a larger set that holds it and explains
/// enough by itself. Crashes that a set explains don't count for the next ones: sound calls share parts
/// with those that crash engines, and run on the same engines.
pub(crate) fn find_culprits<'c, I>(calls: I) -> Vec<Culprit>
where
    I: IntoIterator<Item = &'c BrokenCall>,
{
    let mut calls_of_part = collections::BTreeMap::<PartId, Vec<&BrokenCall>>::new();
    for call in calls {
        for part in call.suspects() {
            calls_of_part.entry(part).or_default().push(call);
        }
    }
    calls_of_part.retain(|_, calls| {
        // Most parts broke once; their calls need not be put in order.
        let most = calls
            .iter()
            .map(|call| crash_weight(call.phase))
            .sum::<u32>();
        most >= CULPRIT_WEIGHT && total_weight(calls.iter().copied()) >= CULPRIT_WEIGHT
    });
    let candidates = candidates(&calls_of_part);
    let mut explained = collections::BTreeSet::new();
    let mut culprits = Vec::<Culprit>::new();
    while let Some(candidate) = next_culprit(&candidates, &culprits, &explained) {
        let calls = candidate.calls.iter();
        let Some(first_crash) = calls.clone().map(|call| call.broke_at).min() else {
            break;
        };
        let processes: collections::BTreeSet<_> = calls.clone().map(|call| call.process).collect();
        culprits.push(Culprit {
            parts: candidate.parts.clone(),
            calls: calls.map(|call| call.id).collect(),
            crashes: processes.len(),
            first_crash,
        });
        explained.extend(processes);
    }
    culprits
}

/// Returns the next set of parts that explains enough crashes.
fn next_culprit<'s, 'c>(
    candidates: &'s [Candidate<'c>],
    culprits: &[Culprit],
    explained: &collections::BTreeSet<EngineProcess>,
) -> Option<&'s Candidate<'c>> {
    let weighed: Vec<_> = candidates
        .iter()
        .map(|candidate| (candidate.unexplained_weight(explained), candidate))
        .collect();
    let is_enough = |(weight, candidate): &(u32, &Candidate<'_>)| {
        let is_narrower = culprits
            .iter()
            .any(|culprit| is_part_of(&candidate.parts, &culprit.parts));
        let needed = if is_narrower {
            NARROWER_WEIGHT
        } else {
            CULPRIT_WEIGHT
        };
        *weight >= needed
    };
    let rank = |(weight, candidate): &(u32, &Candidate<'_>)| (*weight, candidate.parts.len());
    let enough = weighed.iter().copied().filter(is_enough);
    let (_, mut best) = enough.max_by_key(rank)?;
    loop {
        let larger = weighed.iter().copied().filter(|(weight, candidate)| {
            *weight >= CULPRIT_WEIGHT && is_part_of(&best.parts, &candidate.parts)
        });
        match larger.max_by_key(rank) {
            Some((_, larger)) => best = larger,
            None => return Some(best),
        }
    }
}

/// Returns whether a set of parts is a proper part of another one.
fn is_part_of(parts: &[PartId], other: &[PartId]) -> bool {
    parts.len() < other.len() && parts.iter().all(|part| other.contains(part))
}

/// Returns the sets of parts with enough crashes: single parts, those of a call, and those that two
/// calls have in common.
fn candidates<'c>(
    calls_of_part: &collections::BTreeMap<PartId, Vec<&'c BrokenCall>>,
) -> Vec<Candidate<'c>> {
    let suspects_of = |call: &BrokenCall| -> Vec<PartId> {
        let suspects = call.suspects();
        suspects
            .filter(|part| calls_of_part.contains_key(part))
            .collect()
    };
    let calls = calls_of_part.values().flatten();
    let whole: collections::BTreeSet<_> = calls.map(|call| suspects_of(call)).collect();
    let mut sets = whole.clone();
    sets.extend(calls_of_part.keys().map(|part| vec![*part]));
    for one in &whole {
        for other in whole.range(one.clone()..) {
            let common = one.iter().copied();
            let common = common.filter(|part| other.binary_search(part).is_ok());
            sets.insert(common.collect());
        }
    }
    let candidates = sets.into_iter().filter_map(|parts| {
        let calls = calls_of_part.get(parts.first()?)?.iter().copied();
        let has_all =
            |call: &&BrokenCall| call.suspects().filter(|part| parts.contains(part)).count();
        let calls: Vec<_> = calls.filter(|call| has_all(call) == parts.len()).collect();
        let weight = total_weight(calls.iter().copied());
        (weight >= CULPRIT_WEIGHT).then_some(Candidate { parts, calls })
    });
    candidates.collect()
}

/// Returns the weight of the crashes that followed each other: engines that end at the same time,
/// like those of a failure domain, count as one, whatever they ran.
fn total_weight<'c, I>(calls: I) -> u32
where
    I: Iterator<Item = &'c BrokenCall>,
{
    /// What is known of the crash of one process.
    struct Crash {
        last_sent: time::Instant,
        broke_at: time::Instant,
        weight: u32,
    }
    let mut crashes = collections::BTreeMap::<EngineProcess, Crash>::new();
    for call in calls {
        let crash = crashes.entry(call.process).or_insert(Crash {
            last_sent: call.sent_at,
            broke_at: call.broke_at,
            weight: 0,
        });
        crash.last_sent = crash.last_sent.max(call.sent_at);
        crash.broke_at = crash.broke_at.min(call.broke_at);
        crash.weight = crash.weight.max(crash_weight(call.phase));
    }
    let mut crashes: Vec<_> = crashes.into_values().collect();
    crashes.sort_by_key(|crash| crash.broke_at);
    let mut total = 0;
    let mut before = None;
    for crash in crashes {
        if before.is_none_or(|before| crash.last_sent > before) {
            total += crash.weight;
            before = Some(crash.broke_at);
        }
    }
    total
}
