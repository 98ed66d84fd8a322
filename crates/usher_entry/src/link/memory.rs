//! An in-process control for tests and benchmarks.
//!
//! Not for: production.

use std::{collections, sync, time};

use usher_wire::message;

use crate::link;

/// An in-memory control, shared by all entries of a test; cheap to clone.
///
/// ```
/// use usher_entry::MemoryControl;
/// let control = MemoryControl::new();
/// let link = control.link();
/// control.set_answering(false);
/// # drop(link);
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemoryControl {
    state: sync::Arc<sync::Mutex<ControlState>>,
}

/// The connection of one entry to a [`MemoryControl`].
#[derive(Clone, Debug)]
pub struct MemoryLink {
    control: MemoryControl,
}

#[derive(Clone, Debug)]
struct ClaimRecord {
    fingerprint: Vec<u8>,
    holder: (Option<message::NodeIdentity>, String),
    state: message::ClaimState,
    answer: Option<message::RecordedAnswer>,
}

#[derive(Debug)]
struct ControlState {
    answering: bool,
    committing: bool,
    losing_replies: bool,
    right: time::Duration,
    config_version: u64,
    sheet: String,
    registry_version: u64,
    // Registry version of the last change or removal of each target.
    changes: collections::BTreeMap<String, u64>,
    targets: collections::BTreeMap<String, message::TargetRecord>,
    marked: collections::BTreeSet<String>,
    removed: collections::BTreeSet<String>,
    loads: collections::BTreeMap<String, (time::Instant, message::LoadReport)>,
    shares: Vec<message::CapacityShare>,
    claims: collections::BTreeMap<String, ClaimRecord>,
    demands: Vec<message::ServiceDemand>,
    demanded: collections::BTreeSet<String>,
    sync_count: u64,
    announced: usize,
    clock: Option<usher_types::ManualClock>,
    ignore_announcements: bool,
}

impl Default for ControlState {
    fn default() -> Self {
        Self {
            answering: true,
            committing: true,
            losing_replies: false,
            right: time::Duration::from_secs(3),
            config_version: 0,
            sheet: String::new(),
            registry_version: 1,
            changes: collections::BTreeMap::new(),
            targets: collections::BTreeMap::new(),
            marked: collections::BTreeSet::new(),
            removed: collections::BTreeSet::new(),
            loads: collections::BTreeMap::new(),
            shares: Vec::new(),
            claims: collections::BTreeMap::new(),
            demands: Vec::new(),
            demanded: collections::BTreeSet::new(),
            sync_count: 0,
            announced: 0,
            clock: None,
            ignore_announcements: false,
        }
    }
}

impl MemoryControl {
    /// Creates a control without configuration or targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a connection for one entry.
    pub fn link(&self) -> MemoryLink {
        MemoryLink {
            control: self.clone(),
        }
    }

    /// Sets the clock that ages of load reports are measured by.
    pub fn set_clock(&self, clock: usher_types::ManualClock) {
        self.lock().clock = Some(clock);
    }

    /// Sets whether heartbeats are answered; `false` simulates a partition.
    pub fn set_answering(&self, answering: bool) {
        self.lock().answering = answering;
    }

    /// Sets whether claims and outcomes are committed; `false` simulates a lost quorum.
    pub fn set_committing(&self, committing: bool) {
        self.lock().committing = committing;
    }

    /// Sets whether replies to commits are lost although the commits succeed.
    pub fn set_losing_replies(&self, losing_replies: bool) {
        self.lock().losing_replies = losing_replies;
    }

    /// Sets the duration of routing rights.
    pub fn set_right(&self, right: time::Duration) {
        self.lock().right = right;
    }

    /// Sets the configuration; its version may be lower than the current one.
    pub fn set_config(&self, version: u64, sheet: &str) {
        let mut state = self.lock();
        state.config_version = version;
        state.sheet = sheet.to_owned();
    }

    /// Reverts to an older registry version without targets, like a node that lags behind.
    pub fn set_stale(&self) {
        let mut state = self.lock();
        state.registry_version = 0;
        state.targets.clear();
        state.ignore_announcements = true;
    }

    /// Sets the capacity shares granted to each entry.
    pub fn set_shares(&self, shares: Vec<message::CapacityShare>) {
        self.lock().shares = shares;
    }

    /// Marks a target as leaving, like an operator's drain order.
    pub fn drain_target(&self, name: &str) {
        let mut state = self.lock();
        state.marked.insert(name.to_owned());
        state.record_change(name);
        if let Some(target) = state.targets.get_mut(name) {
            target.leaving = true;
        }
    }

    /// Removes a target permanently, as control does with an incarnation that is gone.
    pub fn remove_target(&self, name: &str) {
        let mut state = self.lock();
        state.targets.remove(name);
        state.removed.insert(name.to_owned());
        state.record_change(name);
    }

    /// Returns whether a target is registered as leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        let state = self.lock();
        state.targets.get(name).is_some_and(|target| target.leaving)
    }

    /// Returns the claim state of a key.
    pub fn claim_state(&self, key: &str) -> Option<message::ClaimState> {
        self.lock().claims.get(key).map(|claim| claim.state)
    }

    /// Returns the keys of all claims.
    pub fn claim_keys(&self) -> Vec<String> {
        self.lock().claims.keys().cloned().collect()
    }

    /// Returns the names of the registered targets.
    pub fn target_names(&self) -> Vec<String> {
        self.lock().targets.keys().cloned().collect()
    }

    /// Returns the demands of the latest heartbeat that reported any.
    pub fn demands(&self) -> Vec<message::ServiceDemand> {
        self.lock().demands.clone()
    }

    /// Returns all services for which a heartbeat reported demand.
    pub fn demanded_services(&self) -> Vec<String> {
        self.lock().demanded.iter().cloned().collect()
    }

    /// Returns the total number of target records in all heartbeats.
    pub fn announced_count(&self) -> usize {
        self.lock().announced
    }

    /// Returns the number of heartbeats received.
    pub fn sync_count(&self) -> u64 {
        self.lock().sync_count
    }

    fn lock(&self) -> sync::MutexGuard<'_, ControlState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl ControlState {
    fn now(&self) -> time::Instant {
        use usher_types::ClockSource as _;
        match &self.clock {
            Some(clock) => clock.now(),
            None => time::Instant::now(),
        }
    }

    fn record_change(&mut self, name: &str) {
        self.registry_version += 1;
        self.changes.insert(name.to_owned(), self.registry_version);
    }

    /// Returns the targets changed and removed since a registry version.
    fn targets_since(&self, known: u64) -> (Vec<message::TargetRecord>, Vec<String>) {
        let changed = self.changes.iter().filter(|(_, version)| **version > known);
        let mut records = Vec::new();
        let mut gone = Vec::new();
        for (name, _) in changed {
            match self.targets.get(name) {
                Some(target) => records.push(target.clone()),
                None => gone.push(name.clone()),
            }
        }
        (records, gone)
    }

    fn apply_announced(&mut self, announced: Vec<message::TargetRecord>) {
        for mut target in announced {
            if self.removed.contains(&target.name) {
                continue;
            }
            target.leaving |= self.marked.contains(&target.name);
            if self.targets.get(&target.name) != Some(&target) {
                self.record_change(&target.name);
                self.targets.insert(target.name.clone(), target);
            }
        }
    }

    fn apply_load_reports(&mut self, loads: Vec<message::LoadReport>) {
        let now = self.now();
        for load in loads {
            let at = now - time::Duration::from_millis(load.age_ms);
            self.loads.insert(load.target.clone(), (at, load));
        }
    }

    fn reply(&mut self, request: message::SyncRequest) -> message::SyncReply {
        self.sync_count += 1;
        self.announced += request.announced.len();
        if !self.ignore_announcements {
            self.apply_announced(request.announced);
        }
        self.apply_load_reports(request.loads);
        let services = request.demands.iter().map(|demand| demand.service.clone());
        self.demanded.extend(services);
        if !request.demands.is_empty() {
            self.demands = request.demands;
        }
        let config_changed = request.config_version != self.config_version;
        let registry_changed = request.registry_version != self.registry_version;
        let now = self.now();
        let loads = self.loads.values().map(|(at, load)| message::LoadReport {
            age_ms: u64::try_from((now - *at).as_millis()).unwrap_or(u64::MAX),
            ..load.clone()
        });
        let registry_delta = request.takes_delta && request.registry_version > 0;
        let (targets, gone) = if !registry_changed {
            Default::default()
        } else if registry_delta {
            self.targets_since(request.registry_version)
        } else {
            (self.targets.values().cloned().collect(), Vec::new())
        };
        message::SyncReply {
            sequence: request.sequence,
            config_version: self.config_version,
            config_changed,
            sheet: if config_changed {
                self.sheet.clone()
            } else {
                String::new()
            },
            registry_version: self.registry_version,
            registry_changed,
            registry_delta,
            targets,
            gone,
            loads: loads.collect(),
            shares: self.shares.clone(),
            right_ms: u64::try_from(self.right.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn claim(&mut self, call: message::ClaimCall) -> message::ClaimReply {
        let holder = (call.entry, call.request_id);
        let reply = |state: message::ClaimState, answer| message::ClaimReply {
            state: state.into(),
            answer,
        };
        let Some(claim) = self.claims.get(&call.key) else {
            let record = ClaimRecord {
                fingerprint: call.fingerprint,
                holder,
                state: message::ClaimState::Running,
                answer: None,
            };
            self.claims.insert(call.key, record);
            return reply(message::ClaimState::Claimed, None);
        };
        if claim.fingerprint != call.fingerprint {
            return reply(message::ClaimState::Mismatch, None);
        }
        // The same request was repeated after a lost reply; its call hasn't been sent yet.
        if claim.state == message::ClaimState::Running && claim.holder == holder {
            return reply(message::ClaimState::Claimed, None);
        }
        reply(claim.state, claim.answer.clone())
    }

    fn finish(&mut self, finish: message::FinishClaim) {
        let holder = (finish.entry.clone(), finish.request_id.clone());
        let Some(claim) = self.claims.get_mut(&finish.key) else {
            return;
        };
        if claim.holder != holder || claim.state != message::ClaimState::Running {
            return;
        }
        match finish.kind() {
            message::FinishKind::Answered => {
                claim.state = message::ClaimState::Finished;
                claim.answer = finish.answer;
            }
            message::FinishKind::Released => {
                self.claims.remove(&finish.key);
            }
            _ => claim.state = message::ClaimState::Unknown,
        }
    }
}

impl MemoryLink {
    fn commit<T>(&self, action: impl FnOnce(&mut ControlState) -> T) -> Result<T, link::LinkError> {
        let mut state = self.control.lock();
        if !state.committing {
            return Err(link::LinkError::NotSent("quorum is lost".to_owned()));
        }
        let outcome = action(&mut state);
        if state.losing_replies {
            return Err(link::LinkError::Unknown("reply was lost".to_owned()));
        }
        Ok(outcome)
    }
}

impl link::ControlLink for MemoryLink {
    async fn sync(
        &self,
        request: message::SyncRequest,
    ) -> Result<message::SyncReply, link::LinkError> {
        let mut state = self.control.lock();
        if !state.answering {
            return Err(link::LinkError::NotSent("control is cut off".to_owned()));
        }
        Ok(state.reply(request))
    }

    async fn claim(
        &self,
        call: message::ClaimCall,
    ) -> Result<message::ClaimReply, link::LinkError> {
        self.commit(|state| state.claim(call))
    }

    async fn finish(&self, finish: message::FinishClaim) -> Result<(), link::LinkError> {
        self.commit(|state| state.finish(finish))
    }
}
