//! Simulates continuous batching: decides which streams make progress in each step. Not for:
//! HTTP.

use std::{collections, time};

use tokio::sync as tokio_sync;

use crate::{cache, engine_options, faults, prompt};

/// An event that the batch sends to a stream.
#[derive(Debug, PartialEq)]
pub(crate) enum StreamEvent {
    /// The token at this index of the answer was generated.
    Token(u64),
    /// The answer is complete and has this many tokens in total.
    Done(u64),
    /// The stream continues with bytes that aren't SSE.
    Garbage,
    /// The stream ends without its final event.
    Cut,
}

/// A request in the batch.
#[derive(Debug)]
pub(crate) struct BatchJob {
    pub(crate) id: String,
    pub(crate) priority: u8,
    pub(crate) prompt: String,
    /// Number of tokens already delivered by another engine.
    pub(crate) resume_from: u64,
    /// Index one past the last token.
    pub(crate) end: u64,
    pub(crate) events: tokio_sync::mpsc::UnboundedSender<StreamEvent>,
}

/// The progress of a request that is waiting or running.
#[derive(Debug)]
struct JobProgress {
    job: BatchJob,
    arrival: u64,
    prefixes: Vec<String>,
    prefill_left: u64,
    next_token: u64,
    pieces: u64,
}

/// The work of a planned step, which is applied when its duration has elapsed.
#[derive(Debug, Default)]
struct StepPlan {
    // Prefill tokens by arrival number of the stream.
    prefill: collections::HashMap<u64, u64>,
    decode: bool,
}

/// Whether the process survived the step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StepOutcome {
    Alive,
    Crashed,
}

/// The streams of one engine.
#[derive(Debug)]
pub(crate) struct BatchQueue {
    options: engine_options::EngineOptions,
    cache: cache::PrefixCache,
    // Sorted by priority, then by arrival.
    waiting: collections::BTreeMap<(u8, u64), JobProgress>,
    running: Vec<JobProgress>,
    imported: collections::HashSet<String>,
    arrivals: u64,
    plan: StepPlan,
    pub(crate) generated: u64,
    pub(crate) cancelled: u64,
}

impl BatchQueue {
    pub(crate) fn new(options: engine_options::EngineOptions) -> Self {
        let event_lag = options.scaled(options.event_lag);
        Self {
            cache: cache::PrefixCache::new(event_lag, options.event_gap),
            options,
            waiting: collections::BTreeMap::new(),
            running: Vec::new(),
            imported: collections::HashSet::new(),
            arrivals: 0,
            plan: StepPlan::default(),
            generated: 0,
            cancelled: 0,
        }
    }

    pub(crate) fn cache(&self) -> &cache::PrefixCache {
        &self.cache
    }

    pub(crate) fn add(&mut self, job: BatchJob) {
        self.arrivals += 1;
        let arrival = self.arrivals;
        let prompt_tokens = prompt::count_tokens(&job.prompt).get() + job.resume_from;
        let total = usher_types::TokenCount::new(prompt_tokens + job.end - job.resume_from);
        let progress = JobProgress {
            arrival,
            prefixes: prompt::prefix_hashes(&job.prompt),
            prefill_left: prompt_tokens,
            next_token: job.resume_from,
            pieces: total.pieces().get(),
            job,
        };
        self.waiting
            .insert((progress.job.priority, arrival), progress);
    }

    /// Returns whether a request of this size fits into the memory of the engine.
    pub(crate) fn fits(&self, tokens: u64) -> bool {
        usher_types::TokenCount::new(tokens).pieces() <= self.options.kv_pieces
    }

    /// Marks the KV cache of a request as imported, so that its prefill is skipped except for the
    /// last token.
    pub(crate) fn import(&mut self, id: &str) {
        self.imported.insert(id.to_owned());
    }

    /// Returns the number of tokens in memory of a running request.
    pub(crate) fn export(&self, id: &str) -> Option<u64> {
        let found = self.running.iter().find(|running| running.job.id == id)?;
        Some(prompt::count_tokens(&found.job.prompt).get() + found.next_token)
    }

    /// Removes the streams of a request and returns whether there were any.
    pub(crate) fn cancel(&mut self, id: &str) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|_, waiting| waiting.job.id != id);
        self.running.retain(|running| running.job.id != id);
        let removed = before - self.waiting.len() - self.running.len();
        self.cancelled += removed as u64;
        removed > 0
    }

    pub(crate) fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    pub(crate) fn prefill_waiting(&self) -> u64 {
        let waiting: u64 = self.waiting.values().map(|job| job.prefill_left).sum();
        let running: u64 = self.running.iter().map(|job| job.prefill_left).sum();
        waiting + running
    }

    fn pieces_running(&self) -> u64 {
        self.running.iter().map(|running| running.pieces).sum()
    }

    pub(crate) fn pieces_used(&self) -> u64 {
        self.pieces_running() + self.cache.pieces()
    }

    /// Plans the next step and returns its duration, or `None` if there is nothing to do.
    pub(crate) fn plan(
        &mut self,
        faults: &faults::FaultRequest,
        role: usher_types::EngineRole,
        now: time::Instant,
    ) -> Option<time::Duration> {
        self.drop_abandoned();
        self.admit(now);
        if faults.stalled == Some(true) {
            return None;
        }
        let mut plan = StepPlan::default();
        let mut chunk = self.options.prefill_chunk;
        for running in &self.running {
            let tokens = running.prefill_left.min(chunk);
            if tokens > 0 {
                plan.prefill.insert(running.arrival, tokens);
                chunk -= tokens;
            }
            plan.decode |= is_decoding(running, faults);
        }
        if plan.prefill.is_empty() && !plan.decode {
            return None;
        }
        let prefilled: u64 = plan.prefill.values().sum();
        let decode = plan.decode;
        self.plan = plan;
        Some(self.step_time(prefilled, decode, faults, role))
    }

    fn step_time(
        &self,
        prefilled: u64,
        decode: bool,
        faults: &faults::FaultRequest,
        role: usher_types::EngineRole,
    ) -> time::Duration {
        // An engine with a role is tuned for either prefill or decode and slow at the other.
        let (prefill_factor, decode_factor) = match role {
            usher_types::EngineRole::Mixed => (1.0, 1.0),
            usher_types::EngineRole::Prefill => (0.8, 4.0),
            usher_types::EngineRole::Decode => (4.0, 0.8),
        };
        let prefill = self.options.prefill_rate.time_for(prefilled as f64);
        let mut step = prefill.mul_f64(prefill_factor);
        if decode {
            step += self.options.decode_step.mul_f64(decode_factor);
        }
        let slowdown = faults.slowdown.unwrap_or(1.0).max(0.0);
        self.options.scaled(step.mul_f64(slowdown))
    }

    /// Removes streams whose receiver was dropped, as an engine does when its client disconnects.
    fn drop_abandoned(&mut self) {
        let before = self.waiting.len() + self.running.len();
        self.waiting
            .retain(|_, waiting| !waiting.job.events.is_closed());
        self.running
            .retain(|running| !running.job.events.is_closed());
        self.cancelled += (before - self.waiting.len() - self.running.len()) as u64;
    }

    fn admit(&mut self, now: time::Instant) {
        while self.running.len() < self.options.max_running {
            let Some(first) = self.waiting.first_entry() else {
                return;
            };
            let needed = first.get().pieces;
            let used: u64 = self.running.iter().map(|running| running.pieces).sum();
            let total = self.options.kv_pieces.get();
            // Requests behind the head of the queue don't overtake it, so that large requests
            // aren't starved of memory.
            if used + needed > total {
                return;
            }
            let mut running = first.remove();
            self.cache.shrink(total - used - needed, now);
            let cached_tokens =
                self.cache.lookup(&running.prefixes) * usher_types::TOKENS_PER_PIECE;
            // The last token of the prompt is always processed, even on a full cache hit.
            running.prefill_left = running.prefill_left.saturating_sub(cached_tokens).max(1);
            if self.imported.remove(&running.job.id) {
                running.prefill_left = 1;
            }
            self.running.push(running);
            self.running
                .sort_by_key(|running| (running.job.priority, running.arrival));
        }
    }

    /// Applies the planned step.
    pub(crate) fn finish_step(
        &mut self,
        faults: &faults::FaultRequest,
        now: time::Instant,
    ) -> StepOutcome {
        let plan = std::mem::take(&mut self.plan);
        let mut outcome = StepOutcome::Alive;
        let mut prefilled = Vec::new();
        for running in &mut self.running {
            if let Some(tokens) = plan.prefill.get(&running.arrival) {
                running.prefill_left = running.prefill_left.saturating_sub(*tokens);
                if running.prefill_left == 0 {
                    prefilled.push(running.prefixes.clone());
                }
            } else if plan.decode && is_decoding(running, faults) {
                self.generated += 1;
                if decode_token(running, faults) == StepOutcome::Crashed {
                    outcome = StepOutcome::Crashed;
                }
            }
        }
        self.running.retain(|running| {
            !running.job.events.is_closed() && running.next_token < running.job.end
        });
        let max_pieces = self
            .options
            .kv_pieces
            .get()
            .saturating_sub(self.pieces_running());
        for prefixes in prefilled {
            self.cache.insert(&prefixes, max_pieces, now);
        }
        outcome
    }
}

fn is_decoding(running: &JobProgress, faults: &faults::FaultRequest) -> bool {
    let stalled = faults
        .stall_after
        .is_some_and(|after| running.next_token >= after);
    running.prefill_left == 0 && !stalled
}

/// Sends the next token of a stream, or injects the fault whose token count is reached.
fn decode_token(running: &mut JobProgress, faults: &faults::FaultRequest) -> StepOutcome {
    let reached = |after: Option<u64>| after.is_some_and(|after| running.next_token >= after);
    if reached(faults.crash_after) {
        return StepOutcome::Crashed;
    }
    let fault = if reached(faults.garbage_after) {
        Some(StreamEvent::Garbage)
    } else if reached(faults.cut_after) {
        Some(StreamEvent::Cut)
    } else {
        None
    };
    if let Some(event) = fault {
        let _ = running.job.events.send(event);
        running.next_token = running.job.end;
        return StepOutcome::Alive;
    }
    let _ = running
        .job
        .events
        .send(StreamEvent::Token(running.next_token));
    running.next_token += 1;
    if running.next_token >= running.job.end {
        let _ = running.job.events.send(StreamEvent::Done(running.job.end));
    }
    StepOutcome::Alive
}
