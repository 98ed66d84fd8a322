//! Chooses the registrar from which newer state is fetched, and when. Not for: the request itself.

use std::{collections, net, time};

/// Delay before the first repetition of a failed request to one source; it doubles with each
/// further failure.
const FIRST_BACKOFF: time::Duration = time::Duration::from_millis(100);

/// Longest delay before a failed request to one source is repeated. Half of the time that a change
/// may take to be in force everywhere, so that one source is tried several times within it.
const MAX_BACKOFF: time::Duration = time::Duration::from_millis(1_600);

/// Time for a source to answer the first request: a part of a transfer, a round trip between regions
/// and half a second of queue on a busy link. It doubles with each failure.
const FIRST_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Longest time for a source to answer.
const MAX_TIMEOUT: time::Duration = time::Duration::from_millis(1_600);

/// What a follower of several sources does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SourceChoice {
    /// No source offers a newer version.
    Current,
    /// Newer versions are offered, but no source may be asked before this time.
    Wait(time::Instant),
    /// Ask this source, and give up after the timeout.
    Fetch {
        /// Address of the source.
        source: net::SocketAddr,
        /// Time for it to answer.
        timeout: time::Duration,
    },
}

#[derive(Clone, Debug)]
struct Source {
    version: u64,
    /// Delay after the first offer of a newer version before this source is asked.
    preference: time::Duration,
    failures: u32,
    not_before: time::Instant,
}

/// The versions that sources offer, and their recent failures.
///
/// The state is what is offered now, not which offers have been handled: as long as one source
/// offers a newer version than the one held, there is a next request. A follower that has one
/// request at a time under way sends each source at most one request per backoff.
#[derive(Clone, Debug, Default)]
pub struct SourceSelector {
    sources: collections::BTreeMap<net::SocketAddr, Source>,
    behind_since: Option<time::Instant>,
}

impl SourceSelector {
    /// Records the version that a source offers. Sources with a shorter `preference` are asked
    /// first; the others after that delay, if a newer version is still needed.
    pub fn offer(
        &mut self,
        source: net::SocketAddr,
        version: u64,
        preference: time::Duration,
        now: time::Instant,
    ) {
        let known = self.sources.entry(source).or_insert(Source {
            version,
            preference,
            failures: 0,
            not_before: now,
        });
        known.version = version;
        known.preference = preference;
    }

    /// Records that a source can't be reached and offers nothing. Its failures still count when it is
    /// back: a source that comes and goes would otherwise always be asked first.
    pub fn withdraw(&mut self, source: net::SocketAddr) {
        if let Some(known) = self.sources.get_mut(&source) {
            known.version = 0;
        }
    }

    /// Records that a request to a source has failed.
    pub fn record_failure(&mut self, source: net::SocketAddr, now: time::Instant) {
        if let Some(known) = self.sources.get_mut(&source) {
            known.not_before = now + doubled(FIRST_BACKOFF, known.failures, MAX_BACKOFF);
            known.failures = known.failures.saturating_add(1);
        }
    }

    /// Records that a source has brought a newer version; less preferred sources wait again.
    pub fn record_success(&mut self, source: net::SocketAddr) {
        self.behind_since = None;
        if let Some(known) = self.sources.get_mut(&source) {
            known.failures = 0;
        }
    }

    /// Returns the newest offered version.
    pub fn newest(&self) -> Option<u64> {
        self.sources.values().map(|source| source.version).max()
    }

    /// Returns the next step of a follower that holds a version and has no request under way. A
    /// source that has sent a part of a transfer goes on, unless its last request failed.
    pub fn choose(
        &mut self,
        held: u64,
        open: Option<net::SocketAddr>,
        now: time::Instant,
    ) -> SourceChoice {
        let newer = |source: &&Source| source.version > held;
        if !self.sources.values().any(|source| newer(&source)) {
            self.behind_since = None;
            return SourceChoice::Current;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        // A follower without any version takes it from whichever source is first.
        let delay = |source: &Source| match held {
            0 => time::Duration::ZERO,
            _ => source.preference,
        };
        let due = |source: &Source| source.not_before.max(behind_since + delay(source));
        let newer = self.sources.iter().filter(|(_, source)| newer(source));
        let ready = newer
            .clone()
            .filter(|(_, source)| due(source) <= now)
            .min_by_key(|(address, source)| {
                let is_other = open != Some(**address);
                (is_other, source.failures, source.preference, **address)
            });
        if let Some((address, source)) = ready {
            return SourceChoice::Fetch {
                source: *address,
                timeout: doubled(FIRST_TIMEOUT, source.failures, MAX_TIMEOUT),
            };
        }
        let next = newer.map(|(_, source)| due(source)).min();
        next.map_or(SourceChoice::Current, SourceChoice::Wait)
    }
}

fn doubled(first: time::Duration, times: u32, limit: time::Duration) -> time::Duration {
    let factor = 2_u32.saturating_pow(times);
    first.saturating_mul(factor).min(limit)
}
