//! Simulates the path of calls through entries and engines. Not for: the state of the fleet.

use std::time;

use rand::Rng as _;
use usher_policy::{AttemptId, CallPhase, CallRequest, FailureKind, RetryDecision};
use usher_types::{RegionName, TargetName, TokenCount, WorkClass};

use crate::{engine, fleet, metrics, router, sim, sim_time, workload};

/// Tokens after which a probe is cancelled, because it has shown the speed of the target.
const PROBE_TOKENS: u64 = 8;
/// Bytes per token as text on the wire.
const BYTES_PER_TOKEN: u64 = 6;
/// Bytes of KV cache per token of the prompt.
const KV_BYTES_PER_TOKEN: u64 = 131_072;
/// Largest number of attempts per call under a baseline.
const BASELINE_ATTEMPTS: u32 = 2;

/// State of one call.
#[derive(Clone, Debug)]
pub(crate) struct CallState {
    entry: usize,
    sent: u32,
    delivered: u64,
    winner: Option<usize>,
    first_token: Option<u64>,
    last_token: u64,
    finished: Option<u64>,
    end: metrics::CallEnd,
    attempts: Vec<usize>,
    avoid: Vec<TargetName>,
}

/// Purpose of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptKind {
    Main,
    Hedge,
    Probe,
}

/// State of one attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptState {
    pub(crate) call: usize,
    pub(crate) engine: usize,
    pub(crate) prefill: Option<usize>,
    kind: AttemptKind,
    id: Option<AttemptId>,
    prefill_id: Option<AttemptId>,
    /// Tokens that the caller had received before this attempt.
    base: u64,
    open: bool,
    started: bool,
}

impl CallState {
    pub(crate) fn new(_: &workload::WorkItem) -> Self {
        Self {
            entry: 0,
            sent: 0,
            delivered: 0,
            winner: None,
            first_token: None,
            last_token: 0,
            finished: None,
            end: metrics::CallEnd::Open,
            attempts: Vec::new(),
            avoid: Vec::new(),
        }
    }

    pub(crate) fn record(
        &self,
        item: &workload::WorkItem,
        firms: &[&str],
        rates: &engine::EngineRates,
    ) -> metrics::CallRecord {
        let firm = firms.iter().position(|firm| *firm == item.firm);
        metrics::CallRecord {
            class: item.class,
            firm: firm.unwrap_or(0),
            arrived: item.at,
            deadline: item.deadline,
            work: rates.work(item.prompt as f64, item.output as f64),
            output: item.output,
            first_token: self.first_token,
            finished: self.finished,
            end: self.end,
        }
    }
}

/// Returns the bytes that cross a region boundary; 0 within a region.
fn cross_region_bytes(
    fleet: &fleet::FleetSpec,
    from: usize,
    to: usize,
    tokens: u64,
    bytes_per_token: u64,
) -> u64 {
    if fleet.delay(from, from) == fleet.delay(from, to) {
        0
    } else {
        tokens * bytes_per_token
    }
}

impl sim::World {
    fn request(&self, call: usize) -> CallRequest {
        let item = &self.plan.items[call];
        let state = &self.calls[call];
        let name = format!("c-{call}");
        let instant = |nanos| router::to_instant(self.base, nanos);
        let mut request = CallRequest::new(&name, self.plan.fleet.service, instant(item.at))
            .with_account(&item.firm, &item.team)
            .with_deadline(instant(item.deadline))
            .with_prefixes(item.prefixes.clone());
        request.prompt = TokenCount::new(item.prompt);
        request.output = TokenCount::new(item.estimate);
        request.class = item.class;
        request.idempotent = item.idempotent;
        request.delivered = TokenCount::new(state.delivered);
        request.avoid = state.avoid.clone();
        request.region = Some(RegionName::new(self.plan.fleet.regions[item.region]));
        request
    }

    pub(crate) fn arrive(&mut self, call: usize) {
        let region = self.plan.items[call].region;
        let local = |entry: &sim::Entry| entry.region == region;
        let local_entries: Vec<usize> = (0..self.entries.len())
            .filter(|at| local(&self.entries[*at]))
            .collect();
        self.calls[call].entry = local_entries[self.random.random_range(0..local_entries.len())];
        self.start(call, true);
    }

    /// Chooses a target and sends the call to it, or ends the call.
    fn start(&mut self, call: usize, new: bool) {
        let request = self.request(call);
        let now = self.instant();
        let entry = &mut self.entries[self.calls[call].entry];
        let plan = entry
            .router
            .route(&request, &entry.views, &self.engines, now, new);
        if let Some(reason) = plan.refused {
            let end = if new {
                *self.refused.entry(reason).or_default() += 1;
                metrics::CallEnd::Refused
            } else {
                metrics::CallEnd::Failed
            };
            self.calls[call].end = end;
            return;
        }
        if new {
            self.record_demand(call);
        }
        let attempt = self.send(
            call,
            plan.engine,
            plan.prefill,
            plan.priority,
            AttemptKind::Main,
        );
        if let Some(delay) = plan.hedge {
            let at = self.now + sim_time::from_duration(delay);
            self.queue.push(at, sim::Event::Hedge(attempt));
        }
        if let Some(slow) = plan.probe.filter(|slow| *slow != plan.engine) {
            self.totals.hedges += 1;
            self.send(call, slow, None, plan.priority, AttemptKind::Probe);
        }
    }

    fn send(
        &mut self,
        call: usize,
        target: usize,
        prefill: Option<usize>,
        priority: u8,
        kind: AttemptKind,
    ) -> usize {
        let request = self.request(call);
        let now = self.instant();
        let item = &self.plan.items[call];
        let attempt = self.attempts.len();
        let entry = &mut self.entries[self.calls[call].entry];
        entry.views[target].own_calls += 1;
        let (mut id, mut prefill_id) = (None, None);
        if let Some(policy) = entry.router.policy_mut() {
            let slot = |at| {
                policy
                    .table()
                    .slot_of(&TargetName::new(router::engine_name(at)))
            };
            let (slot, prefill_slot) = (slot(target), prefill.and_then(slot));
            let phase = prefill_slot.map_or(CallPhase::Full, |_| CallPhase::Decode);
            id = slot.map(|slot| policy.on_phase_sent(&request, slot, phase, now));
            prefill_id = prefill_slot
                .map(|slot| policy.on_phase_sent(&request, slot, CallPhase::Prefill, now));
        }
        let base = self.calls[call].delivered;
        self.attempts.push(AttemptState {
            call,
            engine: target,
            prefill,
            kind,
            id,
            prefill_id,
            base,
            open: true,
            started: false,
        });
        let state = &mut self.calls[call];
        state.attempts.push(attempt);
        state.sent += u32::from(kind == AttemptKind::Main);
        let first = prefill.unwrap_or(target);
        let from = self.entries[state.entry].region;
        let to = self.hosts[first].region;
        let arrival = self.now + self.plan.fleet.delay(from, to);
        self.totals.cross_region_bytes +=
            cross_region_bytes(&self.plan.fleet, from, to, item.prompt, BYTES_PER_TOKEN);
        let phase = match prefill {
            Some(_) => engine::JobPhase::Prefill,
            None => engine::JobPhase::Full,
        };
        let mut job = engine::Job::new(attempt, phase, priority, arrival);
        job.prompt = item.prompt + base;
        job.prompt_left = job.prompt;
        job.output = if prefill.is_some() {
            1
        } else {
            item.output.saturating_sub(base).max(1)
        };
        job.estimate = item.estimate;
        job.prefixes = item.prefixes.clone();
        self.queue
            .push(arrival, sim::Event::Receive(first, Box::new(job)));
        attempt
    }

    pub(crate) fn receive(&mut self, engine: usize, job: engine::Job) {
        let attempt = job.attempt;
        if !self.attempts[attempt].open {
            return;
        }
        if !self.hosts[engine].alive {
            let kind = match job.phase {
                engine::JobPhase::Decode => FailureKind::Broken,
                _ => FailureKind::NotSent,
            };
            self.report_failure(engine, attempt, kind);
            return;
        }
        if self.now > self.hosts[engine].leaving_known_at {
            self.totals.sent_to_leaving += 1;
        }
        let failing = self.hosts[engine].failing;
        if failing > 0.0 && self.random.random::<f64>() < failing {
            // Half of the failures are refusals; the others break after 0.2 s to 1.2 s.
            if self.random.random::<f64>() < 0.5 {
                self.report_failure(engine, attempt, FailureKind::Refused);
                return;
            }
            let after = sim_time::from_seconds(0.2 + self.random.random::<f64>());
            self.queue
                .push(self.now + after, sim::Event::Cancel(engine, attempt));
            let back = after + self.delay_back(engine, attempt);
            let event = sim::Event::Fail(attempt, FailureKind::Broken);
            self.queue.push(self.now + back, event);
        }
        self.engines[engine].push(job);
        self.wake(engine);
    }

    fn delay_back(&self, engine: usize, attempt: usize) -> u64 {
        let entry = self.calls[self.attempts[attempt].call].entry;
        let fleet = &self.plan.fleet;
        fleet.delay(self.hosts[engine].region, self.entries[entry].region)
    }

    /// Schedules the failure of an attempt at its entry, after the delay of the link.
    pub(crate) fn report_failure(&mut self, engine: usize, attempt: usize, kind: FailureKind) {
        let at = self.now + self.delay_back(engine, attempt);
        self.queue.push(at, sim::Event::Fail(attempt, kind));
    }

    /// Sends the progress of a step to the entries, and transfers the KV cache of finished
    /// prefills to the decode engines.
    pub(crate) fn after_step(&mut self, engine: usize, progress: &[engine::JobProgress]) {
        let mut batches: Vec<Vec<engine::JobProgress>> = vec![Vec::new(); self.entries.len()];
        for step in progress {
            let attempt = &self.attempts[step.attempt];
            let call = attempt.call;
            let mut step = *step;
            if attempt.prefill == Some(engine) {
                let output = self.plan.items[call].output.saturating_sub(attempt.base);
                step.finished = output <= 1;
                if output > 1 {
                    self.transfer_cache(engine, step.attempt);
                }
            }
            batches[self.calls[call].entry].push(step);
        }
        for (entry, batch) in batches.into_iter().enumerate() {
            if batch.is_empty() {
                continue;
            }
            let from = self.hosts[engine].region;
            let delay = self.plan.fleet.delay(from, self.entries[entry].region);
            self.queue
                .push(self.now + delay, sim::Event::Deliver(entry, batch));
        }
    }

    fn transfer_cache(&mut self, engine: usize, attempt: usize) {
        let state = &self.attempts[attempt];
        let item = &self.plan.items[state.call];
        let (from, to) = (self.hosts[engine].region, self.hosts[state.engine].region);
        let prompt = item.prompt + state.base;
        let transfer_time = sim_time::from_seconds(prompt as f64 / engine::KV_TRANSFER_PER_SECOND);
        let fleet = &self.plan.fleet;
        self.totals.cross_region_bytes +=
            cross_region_bytes(fleet, from, to, prompt, KV_BYTES_PER_TOKEN);
        let arrival = self.now + transfer_time + fleet.delay(from, to);
        let priority = u8::from(item.class == WorkClass::Long) * 5;
        let mut job = engine::Job::new(attempt, engine::JobPhase::Decode, priority, arrival);
        job.prompt = prompt;
        job.generated = 1;
        job.output = item.output.saturating_sub(state.base);
        job.estimate = item.estimate;
        let event = sim::Event::Receive(state.engine, Box::new(job));
        self.queue.push(arrival, event);
    }

    pub(crate) fn deliver(&mut self, entry: usize, batch: &[engine::JobProgress]) {
        let now = self.instant();
        for step in batch {
            if !self.attempts[step.attempt].open {
                continue;
            }
            self.record_progress(entry, step, now);
            match self.attempts[step.attempt].kind {
                AttemptKind::Probe if step.generated < PROBE_TOKENS && !step.finished => {}
                AttemptKind::Probe => self.cancel(step.attempt),
                _ => self.deliver_token(step),
            }
        }
    }

    fn record_progress(&mut self, entry: usize, step: &engine::JobProgress, now: time::Instant) {
        let attempt = &mut self.attempts[step.attempt];
        let first = !attempt.started;
        attempt.started = true;
        let Some(policy) = self.entries[entry].router.policy_mut() else {
            return;
        };
        if first {
            if let Some(id) = attempt.prefill_id.take() {
                policy.on_first_token(id, now);
                policy.on_finished(id, now);
            }
        }
        if let Some(id) = attempt.id {
            if first {
                policy.on_first_token(id, now);
            } else {
                policy.on_progress(id, step.generated, now);
            }
        }
    }

    fn deliver_token(&mut self, step: &engine::JobProgress) {
        let (call, base) = {
            let attempt = &self.attempts[step.attempt];
            (attempt.call, attempt.base)
        };
        let at = self.now + self.plan.fleet.caller_delay;
        let class = self.plan.items[call].class;
        let state = &mut self.calls[call];
        if state.winner.is_none() {
            state.winner = Some(step.attempt);
            let losers = state.attempts.clone();
            self.cancel_losers(step.attempt, &losers);
        }
        let state = &mut self.calls[call];
        if state.first_token.is_none() {
            // Arrivals are timed at the entry, so the delay from the caller to the entry is added.
            state.first_token = Some(at + self.plan.fleet.caller_delay);
        } else {
            let gap = (at - state.last_token) / 1_000;
            let gaps = match class {
                WorkClass::Short => &mut self.short_gaps,
                WorkClass::Long => &mut self.long_gaps,
            };
            gaps.saturating_record(gap);
        }
        state.last_token = at;
        state.delivered = base + step.generated;
        if step.finished {
            state.finished = Some(at);
            state.end = metrics::CallEnd::Complete;
            self.end_attempt(step.attempt, None);
        }
    }

    fn cancel_losers(&mut self, winner: usize, attempts: &[usize]) {
        for &attempt in attempts {
            let state = &self.attempts[attempt];
            if attempt != winner && state.open && state.kind != AttemptKind::Probe {
                self.cancel(attempt);
            }
        }
    }

    fn cancel(&mut self, attempt: usize) {
        self.end_attempt(attempt, Some(FailureKind::Cancelled));
        let state = &self.attempts[attempt];
        let engines = [Some(state.engine), state.prefill];
        for engine in engines.into_iter().flatten() {
            let at = self.now + self.delay_back(engine, attempt);
            self.queue.push(at, sim::Event::Cancel(engine, attempt));
        }
    }

    /// Ends an attempt in the state and policy of its entry.
    fn end_attempt(&mut self, attempt: usize, failure: Option<FailureKind>) {
        let now = self.instant();
        let state = &mut self.attempts[attempt];
        state.open = false;
        let call = &self.calls[state.call];
        let entry = &mut self.entries[call.entry];
        entry.views[state.engine].own_calls = entry.views[state.engine].own_calls.saturating_sub(1);
        let Some(policy) = entry.router.policy_mut() else {
            return;
        };
        for id in [state.id.take(), state.prefill_id.take()]
            .into_iter()
            .flatten()
        {
            match failure {
                Some(kind) => policy.on_failed(id, kind, now),
                None => policy.on_finished(id, now),
            }
        }
    }

    pub(crate) fn attempt_failed(&mut self, attempt: usize, kind: FailureKind) {
        if !self.attempts[attempt].open {
            return;
        }
        self.end_attempt(attempt, Some(kind));
        let state = &self.attempts[attempt];
        let call = state.call;
        let others_open = self.calls[call]
            .attempts
            .iter()
            .any(|at| self.attempts[*at].open && self.attempts[*at].kind != AttemptKind::Probe);
        let done = self.calls[call].end != metrics::CallEnd::Open;
        if state.kind == AttemptKind::Probe || others_open || done {
            return;
        }
        let name = TargetName::new(router::engine_name(state.engine));
        self.calls[call].avoid.push(name);
        self.calls[call].winner = None;
        if self.may_retry(call, kind) {
            self.totals.retries += 1;
            self.start(call, false);
        } else {
            self.calls[call].end = metrics::CallEnd::Failed;
        }
    }

    fn may_retry(&mut self, call: usize, kind: FailureKind) -> bool {
        let request = self.request(call);
        let now = self.instant();
        let sent = self.calls[call].sent;
        let entry = &mut self.entries[self.calls[call].entry];
        match entry.router.policy_mut() {
            Some(policy) => matches!(
                policy.after_failure(&request, kind, sent, now),
                RetryDecision::Retry | RetryDecision::Resume
            ),
            None => request.idempotent && sent < BASELINE_ATTEMPTS,
        }
    }

    pub(crate) fn hedge_due(&mut self, attempt: usize) {
        let state = &self.attempts[attempt];
        let call = state.call;
        if !state.open || state.started {
            return;
        }
        let mut request = self.request(call);
        request
            .avoid
            .push(TargetName::new(router::engine_name(state.engine)));
        let now = self.instant();
        let entry = &mut self.entries[self.calls[call].entry];
        let Some(policy) = entry.router.policy_mut() else {
            return;
        };
        let decision = policy.choose(&request, now);
        if decision.target.is_err() || !policy.take_hedge() {
            return;
        }
        let plan = router::route_plan(policy, &decision);
        self.totals.hedges += 1;
        self.send(
            call,
            plan.engine,
            plan.prefill,
            plan.priority,
            AttemptKind::Hedge,
        );
    }
}
