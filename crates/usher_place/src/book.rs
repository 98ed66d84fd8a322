//! The loads of all targets. Not for: choosing among them.

use std::{collections, sync, time};

use crate::{load, urgency, work};

/// What gateways have at one target, as they tell each other.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetUse {
    /// Calls that are sent and not answered.
    pub running: u32,
    /// Prompt tokens that the target has still to read, by class of urgency.
    pub prefill_tokens: load::ClassTokens,
    /// Gateways that have lost the target lately.
    pub failing: u32,
}

/// The loads by target; cheap to clone, shared by the calls of a gateway.
#[derive(Clone, Debug, Default)]
pub struct LoadBook {
    loads: sync::Arc<sync::Mutex<LoadTable>>,
}

/// The loads by target.
pub(crate) type LoadTable = collections::HashMap<usher_types::TargetName, load::TargetLoad>;

impl LoadBook {
    /// Makes an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Looks at all loads.
    pub fn view<T>(&self, look: impl FnOnce(&LoadTable) -> T) -> T {
        look(&self.lock())
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

    /// Counts a call at a target until the ticket is dropped.
    ///
    /// The target has still to read `prefill_tokens` of its prompt.
    pub fn start(
        &self,
        target: &usher_types::TargetName,
        prefill_tokens: u64,
        urgency: urgency::SendUrgency,
    ) -> UseTicket {
        let class = urgency.class();
        self.update(target, |load| {
            load.running += 1;
            if let Some(tokens) = load.prefill_tokens.get_mut(class) {
                *tokens += prefill_tokens;
            }
        });
        UseTicket {
            book: self.clone(),
            target: target.clone(),
            prefill_tokens,
            class,
        }
    }

    /// Returns what this gateway has at targets and knows of their failures.
    pub fn own_uses(&self, now: time::Instant) -> Vec<(usher_types::TargetName, TargetUse)> {
        let loads = self.lock();
        let uses = loads.iter().map(|(name, load)| {
            let used = TargetUse {
                running: load.running,
                prefill_tokens: load.prefill_tokens,
                failing: u32::from(load.is_lost(now)),
            };
            (name, used)
        });
        uses.filter(|(_, used)| used.running > 0 || used.failing > 0)
            .map(|(name, used)| (name.clone(), used))
            .collect()
    }

    /// Takes what the other gateways told by the key of each target's name.
    pub fn take_others(&self, others: &collections::HashMap<u64, TargetUse>) {
        for (name, load) in self.lock().iter_mut() {
            let key = work::text_key(name.as_str());
            let used = others.get(&key).copied().unwrap_or_default();
            load.others_running = used.running;
            load.others_prefill_tokens = used.prefill_tokens;
            load.others_failing = used.failing;
        }
    }

    /// Makes targets known, so that the work of other gateways at them counts.
    pub fn know<'n>(&self, names: impl Iterator<Item = &'n usher_types::TargetName>) {
        let mut loads = self.lock();
        for name in names {
            if !loads.contains_key(name) {
                loads.insert(name.clone(), load::TargetLoad::default());
            }
        }
    }

    /// Forgets targets that are gone and have no call of this gateway.
    pub fn keep(&self, is_known: impl Fn(&usher_types::TargetName) -> bool) {
        self.lock()
            .retain(|name, load| load.running > 0 || is_known(name));
    }

    /// Notes that a target answered a call.
    pub fn note_answer(&self, target: &usher_types::TargetName, now: time::Instant) {
        self.update(target, |load| load.succeeded(now));
    }

    /// Notes that a target failed a call.
    pub fn note_failure(
        &self,
        target: &usher_types::TargetName,
        how: load::TargetFailure,
        now: time::Instant,
    ) {
        self.update(target, |load| load.failed(now, how));
    }

    fn lock(&self) -> sync::MutexGuard<'_, LoadTable> {
        self.loads
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A call that is counted at a target.
#[derive(Debug)]
pub struct UseTicket {
    book: LoadBook,
    target: usher_types::TargetName,
    prefill_tokens: u64,
    class: usize,
}

impl UseTicket {
    /// Notes that the target has read the prompt.
    pub fn prefilled(&mut self) {
        let tokens = std::mem::take(&mut self.prefill_tokens);
        let class = self.class;
        self.book.update(&self.target, |load| {
            if let Some(counted) = load.prefill_tokens.get_mut(class) {
                *counted -= tokens;
            }
        });
    }
}

impl Drop for UseTicket {
    fn drop(&mut self) {
        self.prefilled();
        self.book.update(&self.target, |load| load.running -= 1);
    }
}
