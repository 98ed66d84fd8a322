//! Relays a stream to its caller, and resumes it on another engine where the route allows that. Not
//! for: the call before the head of its answer.

use std::{io, sync};

use http_body_util::BodyExt as _;
use usher_place::CallGuard;
use usher_roster::TargetEntry;
use usher_route::RepeatKind;

use crate::{answer_trace, body, call, core, dialect, events, send};

/// A stream whose head has arrived.
#[derive(Debug)]
pub(crate) struct StreamStart {
    pub(crate) target: TargetEntry,
    pub(crate) guard: CallGuard,
    pub(crate) answer: send::TargetAnswer,
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
    /// The stream broke.
    Broken(String),
}

impl RelayResult {
    /// Returns the name of the result in metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::CallerLeft => "caller-left",
            Self::Late => "late",
            Self::Broken(_) => "broken",
        }
    }
}

/// A stream that is being relayed.
struct StreamRelay<D, C> {
    core: sync::Arc<core::GatewayCore<D, C>>,
    call: sync::Arc<call::RoutedCall>,
    log: call::CallLog,
    sender: body::ChunkSender,
    /// Set where another engine may resume the stream.
    splitter: Option<events::EventSplitter>,
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
        let resumable = call.route.kind == RepeatKind::ResumableStream;
        if resumable {
            headers.remove(http::header::CONTENT_LENGTH);
        }
        *answer.headers_mut() = headers;
        log.record_head(answer.status());
        let relay = StreamRelay {
            core,
            call,
            log,
            sender,
            splitter: resumable.then(events::EventSplitter::default),
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
            let framing = usher_answer::AnswerFraming::of_head(&answer.headers);
            let mut trace = answer_trace::AnswerTrace::new(framing, answer.version);
            let result = self.relay(answer, &mut trace).await;
            drop(guard);
            let ended = result.name();
            self.core.metrics.answer_ended(trace.framing(), ended);
            self.log
                .record_send(&target.name, &format!("stream {ended}: {trace}"));
            match result {
                RelayResult::Complete => return self.log.finish("answered"),
                RelayResult::CallerLeft => return self.log.finish("the caller left"),
                RelayResult::Late => return self.fail("the deadline of the call passed").await,
                RelayResult::Broken(text) => {
                    let lost = usher_place::TargetFailure::Lost;
                    let now = self.core.clock.now();
                    self.core.loads.record_failure(&target.name, lost, now);
                    self.log.record_send(&target.name, &text);
                    tried.push(target.name);
                    self.log.runs += 1;
                    next = self.resume(&tried).await;
                    if next.is_none() {
                        return self.fail(&text).await;
                    }
                }
            }
        }
    }

    /// Relays the stream of one engine until it ends.
    async fn relay(
        &mut self,
        answer: send::TargetAnswer,
        trace: &mut answer_trace::AnswerTrace,
    ) -> RelayResult {
        let send::TargetAnswer {
            mut body,
            connection,
            ..
        } = answer;
        let late = tokio::time::sleep_until(self.call.deadline);
        tokio::pin!(late);
        loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return RelayResult::CallerLeft,
                () = &mut late => return RelayResult::Late,
                frame = body.frame() => frame,
            };
            let bytes = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => return RelayResult::Broken(error.to_string()),
                None => {
                    connection.release();
                    let rest = self.splitter.as_mut().map(events::EventSplitter::take_rest);
                    if let Some(rest) = rest.filter(|rest| !rest.is_empty()) {
                        let _ = self.sender.send(Ok(rest)).await;
                    }
                    return RelayResult::Complete;
                }
            };
            trace.add(&bytes);
            let bytes = match &mut self.splitter {
                Some(splitter) => match splitter.push(&bytes) {
                    Ok(events) => events.unwrap_or_default(),
                    Err(error) => return RelayResult::Broken(error.to_string()),
                },
                None => bytes,
            };
            if bytes.is_empty() {
                continue;
            }
            tokio::select! {
                sent = self.sender.send(Ok(bytes)) => if sent.is_err() {
                    return RelayResult::CallerLeft;
                },
                () = &mut late => return RelayResult::Late,
            }
        }
    }

    /// Resumes the stream on another engine after the last event that was relayed.
    async fn resume(&mut self, tried: &[usher_types::TargetName]) -> Option<StreamStart> {
        let splitter = self.splitter.as_mut()?;
        let _ = splitter.take_rest();
        let after = splitter.last_id().or(self.call.metadata.last_event);
        let (core, call) = (self.core.clone(), self.call.clone());
        let policy = usher_place::RetryPolicy {
            sends: u32::try_from(tried.len()).unwrap_or(u32::MAX),
            reached: true,
            runs: self.log.runs,
            time_left: call.time_left(),
        };
        let decision = core.with_budget(&call.service, |budget| policy.decide(&call.route, budget));
        if decision != usher_place::RetryDecision::Retry {
            return None;
        }
        let work = call.metadata.work.as_ref()?;
        let targets = core.targets(&call.service);
        let target = {
            let view = core.view(&targets, tried, &core.options.domain);
            core.with_engine_policy(|policy| policy.choose_decode(work, &view).cloned())?
        };
        let urgency = usher_place::SendUrgency::of_rank(call.route.priority);
        let guard = core
            .loads
            .track_call(&target.name, work.prompt_tokens, urgency);
        let options = send::SendOptions {
            resume_after: after,
            urgency: Some(urgency),
            ..send::SendOptions::new(dialect::SendStep::Complete)
        };
        let result = send::send(&core, &call, &target, options);
        let result = tokio::time::timeout_at(call.deadline, result).await.ok()?;
        match result {
            send::SendResult::Answer(answer) if answer.status.is_success() => {
                self.log.record_send(&target.name, "continued the stream");
                Some(StreamStart {
                    target,
                    guard,
                    answer,
                })
            }
            send::SendResult::Answer(answer) => {
                self.log.record_send(&target.name, answer.status.as_str());
                None
            }
            send::SendResult::NotSent(text)
            | send::SendResult::NotRun(text)
            | send::SendResult::Broken(text) => {
                self.log.record_send(&target.name, &text);
                None
            }
        }
    }

    /// Aborts the stream with an error, so that it doesn't look complete.
    async fn fail(mut self, reason: &str) {
        let error = io::Error::other(reason.to_owned());
        let _ = self.sender.send(Err(error)).await;
        self.log.finish(reason);
    }
}
