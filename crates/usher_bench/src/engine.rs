//! Simulated engine with continuous batching in steps, in virtual time. Not for: hosts, networks
//! or kernels.

use std::collections;

use usher_policy::{CacheEvent, CacheEventKind, PromptPrefix};
use usher_types::{EngineRole, TokenCount};

use crate::sim_time;

/// Rates and limits of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRates {
    /// Prompt tokens per second of step time on an engine that only prefills.
    pub prefill_per_second: f64,
    /// Prompt tokens per second of step time on a mixed engine.
    pub mixed_prefill_per_second: f64,
    /// Fixed seconds of a batch step.
    pub step_base: f64,
    /// Seconds that each decoding call adds to a step.
    pub step_per_call: f64,
    /// Largest number of prompt tokens that one step of a mixed engine prefills.
    pub chunk_tokens: u64,
    /// Largest number of prompt tokens per step of an engine that only prefills, which has no
    /// streams to keep smooth.
    pub prefill_chunk_tokens: u64,
    /// Largest number of calls in a batch.
    pub batch_limit: usize,
    /// Pieces of memory for running calls.
    pub kv_pieces: u64,
    /// Pieces of memory for cached prefixes.
    pub cache_pieces: u64,
}

/// Rates of the engines in both fleets: a model of the 8-billion-parameter class on one
/// accelerator.
///
/// A full batch of 64 generates 64 / (12 ms + 64 x 0.25 ms) = 2,290 tokens/s. A step with a full
/// chunk takes 78 ms, so a mixed engine can meet the inter-token goal of 79 ms. A prompt of 1,024
/// tokens takes 100 ms of prefill, so the first-token goal of 0.51 s leaves time for some
/// queueing. Small chunks read the KV cache of the earlier chunks again, so a mixed engine
/// prefills 15% slower than one that only prefills, with its larger chunks.
pub const ENGINE_RATES: EngineRates = EngineRates {
    prefill_per_second: 12_000.0,
    mixed_prefill_per_second: 10_200.0,
    step_base: 0.012,
    step_per_call: 0.000_25,
    chunk_tokens: 512,
    prefill_chunk_tokens: 2_048,
    batch_limit: 64,
    kv_pieces: 384,
    cache_pieces: 96,
};

/// Seconds that an engine is unavailable while it changes its role.
pub const ROLE_CHANGE_SECONDS: f64 = 4.0;

/// Tokens per second at which KV cache is transferred between engines.
pub const KV_TRANSFER_PER_SECOND: f64 = 200_000.0;

/// Waiting time after which the priority of a call rises by one level.
const AGEING_INTERVAL: u64 = sim_time::from_millis(2_000);

impl EngineRates {
    /// Returns the calls per second that a mixed engine sustains when all calls are alike and each
    /// step has either a full batch or a full chunk of prefill.
    ///
    /// ```
    /// let rate = usher_bench::ENGINE_RATES.capacity(300.0, 200.0);
    /// assert!(rate > 8.0 && rate < 10.0);
    /// ```
    pub fn capacity(&self, prompt: f64, output: f64) -> f64 {
        let by_prefill = self.chunk_tokens as f64 / prompt.max(1.0);
        let by_batch = self.batch_limit as f64 / output.max(1.0);
        let ends = by_prefill.min(by_batch);
        let step = self.step_base
            + self.step_per_call * ends * output
            + ends * prompt / self.mixed_prefill_per_second;
        ends / step
    }
}

impl EngineRates {
    /// Returns the engine-seconds that a call takes in a full batch.
    pub fn work(&self, prompt: f64, output: f64) -> f64 {
        let token = self.step_base / self.batch_limit as f64 + self.step_per_call;
        prompt / self.mixed_prefill_per_second + output * token
    }
}

/// Phase of a call that an engine runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum JobPhase {
    Full,
    Prefill,
    Decode,
}

/// One call, or one phase of it, on an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) attempt: usize,
    pub(crate) phase: JobPhase,
    pub(crate) priority: u8,
    pub(crate) arrived: u64,
    pub(crate) prompt: u64,
    pub(crate) prompt_left: u64,
    /// Tokens to generate on this engine.
    pub(crate) output: u64,
    pub(crate) generated: u64,
    /// Output tokens that the entry expects, for which memory is reserved.
    pub(crate) estimate: u64,
    pub(crate) pieces: u64,
    pub(crate) prefixes: Vec<PromptPrefix>,
    /// Prompt tokens that the current step prefills.
    chunk: u64,
    decodes: bool,
}

impl Job {
    pub(crate) fn new(attempt: usize, phase: JobPhase, priority: u8, arrived: u64) -> Self {
        Self {
            attempt,
            phase,
            priority,
            arrived,
            prompt: 0,
            prompt_left: 0,
            output: 1,
            generated: 0,
            estimate: 1,
            pieces: 0,
            prefixes: Vec::new(),
            chunk: 0,
            decodes: false,
        }
    }

    /// Returns the key by which waiting calls are ordered, the lowest first.
    fn urgency(&self, now: u64) -> (u64, u64) {
        let aged = (now - self.arrived) / AGEING_INTERVAL;
        (u64::from(self.priority).saturating_sub(aged), self.arrived)
    }
}

/// Progress of a call in one step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct JobProgress {
    pub(crate) attempt: usize,
    pub(crate) generated: u64,
    pub(crate) finished: bool,
}

/// Prefix cache of one engine, with eviction of the least recently used prefix.
#[derive(Clone, Debug, Default)]
struct EngineCache {
    /// Time of last use and pieces of each prefix, by hash.
    entries: collections::BTreeMap<u64, (u64, u64)>,
    pieces: u64,
    clock: u64,
    next_seq: u64,
    events: Vec<CacheEvent>,
}

impl EngineCache {
    fn hit(&mut self, prefixes: &[PromptPrefix]) -> u64 {
        self.clock += 1;
        let clock = self.clock;
        for prefix in prefixes.iter().rev() {
            if let Some((used, _)) = self.entries.get_mut(&prefix.hash) {
                *used = clock;
                return prefix.tokens.get();
            }
        }
        0
    }

    fn insert(&mut self, prefix: &PromptPrefix, limit: u64) {
        let pieces = prefix.tokens.pieces().get();
        self.clock += 1;
        if let Some((used, _)) = self.entries.get_mut(&prefix.hash) {
            *used = self.clock;
            return;
        }
        while self.pieces + pieces > limit {
            let oldest = self.entries.iter().min_by_key(|(_, (used, _))| *used);
            let Some((&hash, &(_, freed))) = oldest else {
                return;
            };
            self.entries.remove(&hash);
            self.pieces -= freed;
            self.record(CacheEventKind::Evict, hash);
        }
        self.entries.insert(prefix.hash, (self.clock, pieces));
        self.pieces += pieces;
        self.record(CacheEventKind::Add, prefix.hash);
    }

    fn record(&mut self, kind: CacheEventKind, hash: u64) {
        self.next_seq += 1;
        let seq = self.next_seq;
        self.events.push(CacheEvent { seq, kind, hash });
    }
}

/// One simulated engine.
#[derive(Clone, Debug)]
pub(crate) struct FakeEngine {
    pub(crate) rates: EngineRates,
    pub(crate) role: EngineRole,
    /// Factor on the duration of steps; 1 when the engine is not slowed.
    pub(crate) slowness: f64,
    pub(crate) waiting: Vec<Job>,
    pub(crate) running: Vec<Job>,
    /// Pieces of memory reserved by running calls.
    pub(crate) used: u64,
    /// Whether a step is running.
    pub(crate) stepping: bool,
    /// Prompt tokens of all calls that were admitted to the batch, and those found in the cache.
    pub(crate) prompt_seen: u64,
    pub(crate) prompt_hit: u64,
    cache: EngineCache,
}

impl FakeEngine {
    pub(crate) fn new(rates: EngineRates, role: EngineRole) -> Self {
        Self {
            rates,
            role,
            slowness: 1.0,
            waiting: Vec::new(),
            running: Vec::new(),
            used: 0,
            stepping: false,
            prompt_seen: 0,
            prompt_hit: 0,
            cache: EngineCache::default(),
        }
    }

    pub(crate) fn push(&mut self, job: Job) {
        self.waiting.push(job);
    }

    /// Removes a call and frees its memory at once.
    pub(crate) fn cancel(&mut self, attempt: usize) {
        self.waiting.retain(|job| job.attempt != attempt);
        let index = self.running.iter().position(|job| job.attempt == attempt);
        if let Some(job) = index.map(|at| self.running.remove(at)) {
            self.used -= job.pieces;
        }
    }

    /// Removes all calls and cached prefixes, as a crash does, and returns the attempts that were
    /// on the engine.
    pub(crate) fn clear(&mut self) -> Vec<usize> {
        let jobs = self.waiting.drain(..).chain(self.running.drain(..));
        let attempts = jobs.map(|job| job.attempt).collect();
        self.used = 0;
        self.cache = EngineCache::default();
        attempts
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns the prompt tokens waiting for prefill.
    pub(crate) fn prefill_waiting(&self) -> u64 {
        let jobs = self.waiting.iter().chain(&self.running);
        jobs.map(|job| job.prompt_left).sum()
    }

    /// Admits calls to the batch and plans a step; returns its duration, or `None` when idle.
    pub(crate) fn start_step(&mut self, now: u64) -> Option<u64> {
        self.admit(now);
        if self.running.is_empty() {
            self.stepping = false;
            return None;
        }
        let planned = self.plan_prefill(now);
        let mut decoding = 0;
        for job in &mut self.running {
            job.decodes = job.prompt_left == 0;
            decoding += u64::from(job.decodes);
        }
        let seconds = self.rates.step_base
            + self.rates.step_per_call * decoding as f64
            + planned as f64 / self.prefill_rate();
        self.stepping = true;
        Some(sim_time::from_seconds(seconds * self.slowness))
    }

    fn admit(&mut self, now: u64) {
        while self.running.len() < self.rates.batch_limit {
            let order = self.waiting.iter().enumerate();
            let first = order.min_by_key(|(_, job)| job.urgency(now));
            let Some((index, job)) = first else {
                return;
            };
            let tokens = TokenCount::new(job.prompt + job.estimate);
            let pieces = tokens.pieces().get();
            if self.used + pieces > self.rates.kv_pieces && !self.running.is_empty() {
                return;
            }
            let mut job = self.waiting.remove(index);
            job.pieces = pieces;
            self.used += pieces;
            if job.phase != JobPhase::Decode {
                let hit = self.cache.hit(&job.prefixes);
                self.prompt_seen += job.prompt;
                self.prompt_hit += hit.min(job.prompt);
                job.prompt_left = job.prompt.saturating_sub(hit).max(1);
            }
            self.running.push(job);
        }
    }

    fn prefill_rate(&self) -> f64 {
        match self.role {
            EngineRole::Prefill => self.rates.prefill_per_second,
            _ => self.rates.mixed_prefill_per_second,
        }
    }

    fn plan_prefill(&mut self, now: u64) -> u64 {
        let limit = match self.role {
            EngineRole::Prefill => self.rates.prefill_chunk_tokens,
            _ => self.rates.chunk_tokens,
        };
        let mut order: Vec<usize> = (0..self.running.len())
            .filter(|at| self.running[*at].prompt_left > 0)
            .collect();
        order.sort_by_key(|at| self.running[*at].urgency(now));
        let mut left = limit;
        for at in order {
            let job = &mut self.running[at];
            job.chunk = job.prompt_left.min(left);
            left -= job.chunk;
        }
        limit - left
    }

    /// Ends the current step and appends the progress of its calls.
    pub(crate) fn end_step(&mut self, progress: &mut Vec<JobProgress>) {
        let limit = self.rates.cache_pieces;
        let mut remaining = Vec::with_capacity(self.running.len());
        for mut job in std::mem::take(&mut self.running) {
            let mut generated = job.decodes;
            if job.chunk > 0 {
                job.prompt_left -= job.chunk;
                job.chunk = 0;
                if job.prompt_left == 0 {
                    generated = true;
                    for prefix in &job.prefixes {
                        self.cache.insert(prefix, limit);
                    }
                }
            }
            job.decodes = false;
            if generated {
                job.generated += 1;
                progress.push(JobProgress {
                    attempt: job.attempt,
                    generated: job.generated,
                    finished: job.generated >= job.output,
                });
            }
            if job.generated >= job.output {
                self.used -= job.pieces;
            } else {
                remaining.push(job);
            }
        }
        self.running = remaining;
    }

    /// Returns the cache events since the previous call, and the number of the next event.
    pub(crate) fn take_cache_events(&mut self) -> (Vec<CacheEvent>, u64) {
        (
            std::mem::take(&mut self.cache.events),
            self.cache.next_seq + 1,
        )
    }

    /// Returns the hashes of the cached prefixes, and the number of the next event.
    pub(crate) fn cache_listing(&self) -> (Vec<u64>, u64) {
        let hashes = self.cache.entries.keys().copied().collect();
        (hashes, self.cache.next_seq + 1)
    }
}
