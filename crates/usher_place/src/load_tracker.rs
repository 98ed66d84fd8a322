//! Tracks the loads of all targets. Not for: choosing among them.

use std::{collections, sync, time};

use crate::{load, urgency, work};

/// Age of the loads of other gateways when a registrar passes them on: gateways report every 0.1 s.
const REPORT_DELAY: time::Duration = time::Duration::from_millis(100);

/// The load that gateways cause at one target, as they report it to each other.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GatewayLoad {
    /// Unanswered calls.
    pub running: u32,
    /// Prompt tokens that the target has yet to read, by urgency class.
    pub prefill_tokens: load::ClassTokens,
    /// Number of gateways that lost the connection to the target recently.
    pub failing: u32,
}

/// The loads by target; cheap to clone, shared by the calls of a gateway.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    loads: sync::Arc<sync::Mutex<LoadTable>>,
    /// Time of the last exchange of loads with other gateways.
    exchanged: sync::Arc<sync::Mutex<Option<time::Instant>>>,
}

/// The loads by target.
pub(crate) type LoadTable = collections::HashMap<usher_types::TargetName, load::TargetLoad>;

impl LoadTracker {
    /// Makes an empty tracker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives read access to all loads.
    pub fn with_loads<T>(&self, read: impl FnOnce(&LoadTable) -> T) -> T {
        read(&self.lock())
    }

    /// Changes the load of a target.
    pub fn update(
        &self,
        target: &usher_types::TargetName,
        change: impl FnOnce(&mut load::TargetLoad),
    ) {
        let mut loads = self.lock();
        change(loads.entry(target.clone()).or_default());
    }

    /// Counts a call at a target until the guard is dropped.
    ///
    /// `prefill_tokens` are the tokens of its prompt that the target has yet to read.
    pub fn track_call(
        &self,
        target: &usher_types::TargetName,
        prefill_tokens: u64,
        urgency: urgency::SendUrgency,
    ) -> CallGuard {
        let class = urgency.class();
        self.update(target, |load| {
            load.running += 1;
            if let Some(tokens) = load.prefill_tokens.get_mut(class) {
                *tokens += prefill_tokens;
            }
        });
        CallGuard {
            tracker: self.clone(),
            target: target.clone(),
            prefill_tokens,
            class,
        }
    }

    /// Returns the load that this gateway causes at each target, with the failures that it has
    /// seen.
    pub fn own_loads(&self, now: time::Instant) -> Vec<(usher_types::TargetName, GatewayLoad)> {
        let loads = self.lock();
        let own_loads = loads.iter().map(|(name, load)| {
            let own_load = GatewayLoad {
                running: load.running,
                prefill_tokens: load.prefill_tokens,
                failing: u32::from(load.is_lost(now)),
            };
            (name, own_load)
        });
        own_loads
            .filter(|(_, own_load)| own_load.running > 0 || own_load.failing > 0)
            .map(|(name, own_load)| (name.clone(), own_load))
            .collect()
    }

    /// Replaces the load of the other gateways, given by the key of each target's name.
    pub fn set_other_loads(&self, others: &collections::HashMap<u64, GatewayLoad>) {
        for (name, load) in self.lock().iter_mut() {
            let key = work::text_key(name.as_str());
            let other_load = others.get(&key).copied().unwrap_or_default();
            load.others_running = other_load.running;
            load.others_prefill_tokens = other_load.prefill_tokens;
            load.others_failing = other_load.failing;
        }
    }

    /// Records that the loads of the other gateways are up to date.
    pub fn record_exchange(&self, now: time::Instant) {
        *self.lock_exchanged() = Some(now);
    }

    /// Returns the age of the loads of the other gateways.
    pub fn age(&self, now: time::Instant) -> time::Duration {
        let exchanged = *self.lock_exchanged();
        let age = exchanged.map(|at| now.saturating_duration_since(at));
        REPORT_DELAY + age.unwrap_or_default()
    }

    /// Adds targets, so that the load of other gateways at them is counted.
    pub fn add_targets<'n>(&self, names: impl Iterator<Item = &'n usher_types::TargetName>) {
        let mut loads = self.lock();
        for name in names {
            if !loads.contains_key(name) {
                loads.insert(name.clone(), load::TargetLoad::default());
            }
        }
    }

    /// Removes targets that are gone and have no call of this gateway.
    pub fn retain_targets(&self, is_known: impl Fn(&usher_types::TargetName) -> bool) {
        self.lock()
            .retain(|name, load| load.running > 0 || is_known(name));
    }

    /// Records that a target answered a call.
    pub fn record_success(&self, target: &usher_types::TargetName, now: time::Instant) {
        self.update(target, |load| load.record_success(now));
    }

    /// Records that a target failed a call.
    pub fn record_failure(
        &self,
        target: &usher_types::TargetName,
        failure: load::TargetFailure,
        now: time::Instant,
    ) {
        self.update(target, |load| load.record_failure(now, failure));
    }

    /// Records that a target wants no request of this gateway for a time.
    pub fn request_pause(
        &self,
        target: &usher_roster::TargetEntry,
        length: time::Duration,
        now: time::Instant,
    ) {
        self.update(&target.name, |load| {
            load.request_pause(length, target.born_ms, now);
        });
    }

    /// Returns the end of the pause that a target wants at present.
    pub fn pause_end(
        &self,
        target: &usher_roster::TargetEntry,
        now: time::Instant,
    ) -> Option<time::Instant> {
        self.lock().get(&target.name)?.pause_end(target, now)
    }

    fn lock_exchanged(&self) -> sync::MutexGuard<'_, Option<time::Instant>> {
        self.exchanged
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn lock(&self) -> sync::MutexGuard<'_, LoadTable> {
        self.loads
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Counts a call at a target as in flight until it is dropped.
#[derive(Debug)]
pub struct CallGuard {
    tracker: LoadTracker,
    target: usher_types::TargetName,
    prefill_tokens: u64,
    class: usize,
}

impl CallGuard {
    /// Records that the target has read the prompt.
    pub fn finish_prefill(&mut self) {
        let tokens = std::mem::take(&mut self.prefill_tokens);
        let class = self.class;
        self.tracker.update(&self.target, |load| {
            if let Some(counted) = load.prefill_tokens.get_mut(class) {
                *counted -= tokens;
            }
        });
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.finish_prefill();
        self.tracker.update(&self.target, |load| load.running -= 1);
    }
}
