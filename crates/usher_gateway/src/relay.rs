//! Relays a stream to its caller, and resumes it on another engine where the route allows that. Not
//! for: the call before the head of its answer.

use std::sync;

use usher_answer::AnswerFault;
use usher_memory::PhaseCost;
use usher_place::CallGuard;
use usher_quarantine::CallPhase;
use usher_roster::TargetEntry;
use usher_route::RepeatKind;

use crate::{body, call, core, dialect, pool, resume_point, send};

/// Largest chunk that is queued for a caller, in bytes.
const CHUNK_BYTES: usize = 16 * 1_024;

/// A stream whose head has arrived.
#[derive(Debug)]
pub(crate) struct StreamStart {
    pub(crate) target: TargetEntry,
    pub(crate) guard: CallGuard,
    pub(crate) answer: Box<send::TargetAnswer>,
}

/// The result of relaying the stream of one engine.
#[derive(Debug)]
enum RelayResult {
    /// The engine ended the stream.
    Complete,
    /// The caller disconnected.
    CallerLeft,
    /// The deadline of the call passed.
    Late,
    /// There is no memory for an event that is passed on only when it is complete.
    NoMemory,
    /// The stream broke.
    Broken(AnswerFault),
}

impl RelayResult {
    /// Returns the name of the result in metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::CallerLeft => "caller-left",
            Self::Late => "late",
            Self::NoMemory => "no-memory",
            Self::Broken(_) => "broken",
        }
    }
}

/// A stream that is being relayed.
struct StreamRelay<D, C> {
    core: sync::Arc<core::GatewayCore<D, C>>,
    call: sync::Arc<call::RoutedCall>,
    log: call::CallLog,
    sender: usher_answer::StreamSender,
    /// Bytes of an incomplete event that were charged.
    held_bytes: usize,
    /// Set where another engine may resume the stream.
    resume: Option<resume_point::ResumePoint>,
}

/// Returns whether an answer is the rest of an event stream. Engines also report errors with success
/// and another type of content.
fn continues_stream(answer: &send::TargetAnswer) -> bool {
    answer.status == http::StatusCode::OK && answer.body.check().has_events()
}

impl StreamStart {
    /// Starts to relay the stream; returns the answer with its head.
    pub(crate) fn start<D, C>(
        self,
        core: sync::Arc<core::GatewayCore<D, C>>,
        call: sync::Arc<call::RoutedCall>,
        mut log: call::CallLog,
    ) -> call::CallAnswer
    where
        D: dialect::CallDialect,
        C: usher_types::ClockSource,
    {
        let (sender, body) = body::AnswerBody::stream();
        let mut answer = http::Response::new(body);
        *answer.status_mut() = self.answer.status;
        let mut headers = self.answer.headers.clone();
        call::remove_connection_headers(&mut headers);
        let has_events = self.answer.body.check().has_events();
        if has_events {
            // A stream may end inside an event although it has the length that its engine stated.
            headers.remove(http::header::CONTENT_LENGTH);
        }
        let may_resume = has_events && call.route.kind == RepeatKind::ResumableStream;
        *answer.headers_mut() = headers;
        log.record_head(answer.status());
        let relay = StreamRelay {
            core,
            call,
            log,
            sender,
            held_bytes: 0,
            resume: may_resume.then(resume_point::ResumePoint::new),
        };
        tokio::spawn(relay.run(self));
        answer
    }
}

impl<D, C> StreamRelay<D, C>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    async fn run(mut self, start: StreamStart) {
        let mut next = Some(start);
        let mut tried = Vec::new();
        while let Some(start) = next.take() {
            let StreamStart {
                target,
                guard,
                answer,
            } = start;
            let send::TargetAnswer {
                version,
                mut body,
                connection,
                sent_at,
                ..
            } = *answer;
            let (result, received) = self.relay(&mut body).await;
            let distance = self.core.distance(&target);
            self.core.metrics.body_moved(distance, "received", received);
            drop(guard);
            let ended = result.name();
            let check = body.check();
            let events = check.events();
            self.core.metrics.answer_ended(check.framing(), ended);
            let mut outcome = format!("stream {ended}: {check}, {version:?}");
            if let RelayResult::Broken(fault) = &result {
                outcome = format!("{outcome}; {fault}");
            }
            self.log.record_send(&target.name, &outcome);
            match result {
                RelayResult::Complete => {
                    connection.release();
                    self.core.record_complete_answer(&self.call);
                    self.sender.finish();
                    return self.log.finish("answered");
                }
                RelayResult::CallerLeft => return self.log.finish("the caller left"),
                // The sender is dropped, which breaks the answer off.
                RelayResult::Late => return self.log.finish("the deadline of the call passed"),
                RelayResult::NoMemory => return self.log.finish("no memory for the answer"),
                RelayResult::Broken(fault) => {
                    // The engine must not go on while another one does.
                    drop((body, connection));
                    self.core.record_lost(&target.name);
                    if fault.is_cut_off() {
                        let phase = CallPhase::of_events(events);
                        let core = &self.core;
                        core.record_broken_call(&self.call, &target, phase, sent_at);
                    }
                    tried.push(target.name);
                    self.log.runs.end_failed();
                    next = self.resume(&mut tried).await;
                    if next.is_none() {
                        return self.log.finish(&fault.to_string());
                    }
                }
            }
        }
    }

    /// Relays the stream of one engine until it ends; returns the number of bytes too.
    async fn relay(&mut self, body: &mut pool::TargetBody) -> (RelayResult, usize) {
        let mut received = 0;
        let result = self.relay_counted(body, &mut received).await;
        (result, received)
    }

    async fn relay_counted(
        &mut self,
        body: &mut pool::TargetBody,
        received: &mut usize,
    ) -> RelayResult {
        let late = tokio::time::sleep_until(self.call.deadline);
        tokio::pin!(late);
        loop {
            let read = tokio::select! {
                biased;
                () = self.sender.closed() => return RelayResult::CallerLeft,
                () = &mut late => return RelayResult::Late,
                read = body.next() => read,
            };
            if let Ok(Some(bytes)) = &read {
                *received += bytes.len();
            }
            let (bytes, is_end) = match (read, &mut self.resume) {
                (Err(fault), _) => return RelayResult::Broken(fault),
                (Ok(Some(bytes)), None) => (bytes, false),
                (Ok(Some(bytes)), Some(resume)) => match resume.add(&bytes) {
                    Ok(events) => (events, false),
                    Err(fault) => return RelayResult::Broken(fault),
                },
                (Ok(None), None) => return RelayResult::Complete,
                // Comments may follow the last event.
                (Ok(None), Some(resume)) => (resume.take_rest(), true),
            };
            if body.check().events() > 0 {
                self.core.count_usage(&self.call);
            }
            if !self.charge_event().await {
                return RelayResult::NoMemory;
            }
            tokio::select! {
                is_read = self.send(&bytes) => if !is_read {
                    return RelayResult::CallerLeft;
                },
                () = &mut late => return RelayResult::Late,
            }
            if is_end {
                return RelayResult::Complete;
            }
        }
    }

    /// Charges an event that is held until it is complete; returns whether there is room. Small ones
    /// were charged with the stream, before the call ran.
    async fn charge_event(&mut self) -> bool {
        let held = self.resume.as_ref();
        let held = held.map_or(0, resume_point::ResumePoint::held_bytes);
        if held <= self.held_bytes.max(CHUNK_BYTES) {
            return true;
        }
        self.held_bytes = held;
        let stream = PhaseCost::stream() + held;
        let cost = self.call.run_cost + stream;
        self.call.memory.charge_answer(cost).await
    }

    /// Queues bytes for the caller; returns whether it still reads.
    ///
    /// Copies them, as a small chunk would keep the buffer that it was read into.
    async fn send(&self, bytes: &[u8]) -> bool {
        for chunk in bytes.chunks(CHUNK_BYTES) {
            if !self.sender.send(bytes::Bytes::copy_from_slice(chunk)).await {
                return false;
            }
        }
        true
    }

    /// Resumes the stream on another engine after the last event that was relayed; asks further ones
    /// while they don't run the call and the route and the budget allow it.
    async fn resume(&mut self, tried: &mut Vec<usher_types::TargetName>) -> Option<StreamStart> {
        let resume = self.resume.as_mut()?;
        let after = resume.begin_resume(self.call.metadata.last_event).ok()?;
        let mut sends = u32::try_from(tried.len()).unwrap_or(u32::MAX);
        let mut reached = true;
        loop {
            let policy = usher_place::RetryPolicy {
                sends,
                reached,
                runs: self.log.runs.ended(),
                time_left: self.call.time_left(),
            };
            let (service, route) = (&self.call.service, &self.call.route);
            let decide = |budget: &mut _| policy.decide(route, budget);
            // Nothing is drawn from the budget for a caller who has left, or for a call that would
            // crash the next engine as well.
            if self.sender.is_closed()
                || self.core.quarantine_refusal(&self.call).is_some()
                || self.core.with_budget(service, decide) != usher_place::RetryDecision::Retry
            {
                return None;
            }
            let (target, guard) = self.place_resume(tried)?;
            let result = self.send_resume(&target, after).await?;
            reached = !matches!(result, send::SendResult::NotSent(_));
            sends += u32::from(reached);
            match result {
                send::SendResult::Answer(answer) if continues_stream(&answer) => {
                    self.log.record_send(&target.name, "continued the stream");
                    return Some(StreamStart {
                        target,
                        guard,
                        answer,
                    });
                }
                send::SendResult::Answer(answer) => {
                    let outcome = format!("{}, not the rest of the stream", answer.status.as_str());
                    self.log.record_send(&target.name, &outcome);
                    self.log.runs.end_failed();
                }
                send::SendResult::NotSent(text) | send::SendResult::NotRun(text) => {
                    self.log.record_send(&target.name, &text);
                }
                send::SendResult::Broken(text) => {
                    self.log.record_send(&target.name, &text);
                    self.log.runs.end_failed();
                }
            }
            tried.push(target.name);
        }
    }

    /// Chooses the engine that resumes the stream.
    fn place_resume(&self, tried: &[usher_types::TargetName]) -> Option<(TargetEntry, CallGuard)> {
        let work = self.call.metadata.work.as_ref()?;
        let targets = self.core.targets(&self.call.service);
        let view = self.core.view(&targets, tried, &self.core.options.domain);
        let choose =
            |policy: &mut usher_place::EnginePolicy| policy.choose_decode(work, &view).cloned();
        let target = self.core.with_engine_policy(choose)?;
        let guard = self
            .core
            .loads
            .track_call(&target.name, work.prompt_tokens, self.urgency());
        Some((target, guard))
    }

    /// Sends the call to an engine that is to go on after an event; returns `None` at the deadline,
    /// or when the caller leaves.
    async fn send_resume(
        &self,
        target: &TargetEntry,
        after: Option<u64>,
    ) -> Option<send::SendResult> {
        let options = send::SendOptions {
            resume_after: after,
            urgency: Some(self.urgency()),
            ..send::SendOptions::new(dialect::SendStep::Complete)
        };
        let result = send::send(&self.core, &self.call, target, options);
        tokio::select! {
            biased;
            () = self.sender.closed() => None,
            result = tokio::time::timeout_at(self.call.deadline, result) => result.ok(),
        }
    }

    fn urgency(&self) -> usher_place::SendUrgency {
        usher_place::SendUrgency::of_rank(self.call.rank())
    }
}
