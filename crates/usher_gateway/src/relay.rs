//! Passes a stream on to its caller, and continues it on another engine where that is allowed.
//! Not for: what happens before its head.

use std::{io, sync};

use http_body_util::BodyExt as _;
use usher_place::CallGuard;
use usher_roster::TargetEntry;
use usher_route::RepeatKind;

use crate::{body, call, core, dialect, events, send};

/// A stream whose head has arrived.
#[derive(Debug)]
pub(crate) struct StreamStart {
    pub(crate) target: TargetEntry,
    pub(crate) guard: CallGuard,
    pub(crate) answer: send::TargetAnswer,
}

/// How the passing on of one engine's stream ended.
enum RelayEnd {
    /// The engine ended it.
    Complete,
    /// The caller left.
    CallerLeft,
    /// The time of the call is over.
    Late,
    /// The engine broke it off.
    Broken(String),
}

/// A stream that is being passed on.
struct StreamRelay<D, C> {
    core: sync::Arc<core::GatewayCore<D, C>>,
    call: sync::Arc<call::RoutedCall>,
    log: call::CallLog,
    sender: body::PieceSender,
    /// Set where another engine may continue the stream.
    splitter: Option<events::EventSplitter>,
}

impl StreamStart {
    /// Starts passing the stream on; returns the answer with its head.
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
        let (sender, body) = body::AnswerBody::pieces();
        let mut answer = http::Response::new(body);
        *answer.status_mut() = self.answer.status;
        let mut headers = self.answer.headers.clone();
        call::remove_connection_headers(&mut headers);
        let resumable = call.route.kind == RepeatKind::ResumableStream;
        if resumable {
            headers.remove(http::header::CONTENT_LENGTH);
        }
        *answer.headers_mut() = headers;
        log.note_head(answer.status());
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
            let end = self.pass(answer).await;
            drop(guard);
            match end {
                RelayEnd::Complete => return self.log.end("answered"),
                RelayEnd::CallerLeft => return self.log.end("the caller left"),
                RelayEnd::Late => return self.fail("the time for the call is over").await,
                RelayEnd::Broken(text) => {
                    let lost = usher_place::TargetFailure::Lost;
                    let now = self.core.clock.now();
                    self.core.loads.record_failure(&target.name, lost, now);
                    self.log.note_send(&target.name, &text);
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

    /// Passes one engine's stream on until it ends.
    async fn pass(&mut self, answer: send::TargetAnswer) -> RelayEnd {
        let send::TargetAnswer { mut body, link, .. } = answer;
        let late = tokio::time::sleep_until(self.call.deadline);
        tokio::pin!(late);
        loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return RelayEnd::CallerLeft,
                () = &mut late => return RelayEnd::Late,
                frame = body.frame() => frame,
            };
            let bytes = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => return RelayEnd::Broken(error.to_string()),
                None => {
                    link.give_back();
                    let rest = self.splitter.as_mut().map(events::EventSplitter::rest);
                    if let Some(rest) = rest.filter(|rest| !rest.is_empty()) {
                        let _ = self.sender.send(Ok(rest)).await;
                    }
                    return RelayEnd::Complete;
                }
            };
            let bytes = match &mut self.splitter {
                Some(splitter) => splitter.take(&bytes).unwrap_or_default(),
                None => bytes,
            };
            if bytes.is_empty() {
                continue;
            }
            tokio::select! {
                sent = self.sender.send(Ok(bytes)) => if sent.is_err() {
                    return RelayEnd::CallerLeft;
                },
                () = &mut late => return RelayEnd::Late,
            }
        }
    }

    /// Lets another engine continue the stream behind the last event that was passed on.
    async fn resume(&mut self, tried: &[usher_types::TargetName]) -> Option<StreamStart> {
        let splitter = self.splitter.as_mut()?;
        let _ = splitter.rest();
        let after = splitter.last_id().or(self.call.mark.last_event);
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
        let work = call.mark.work.as_ref()?;
        let targets = core.targets(&call.service);
        let target = {
            let view = core.view(&targets, tried, &core.options.domain);
            core.with_engines(|policy| policy.choose_decode(work, &view).cloned())?
        };
        let urgency = usher_place::SendUrgency::of_rank(call.route.priority);
        let guard = core.loads.start(&target.name, work.prompt_tokens, urgency);
        let how = send::SendHow {
            resume_after: after,
            urgency: Some(urgency),
            ..send::SendHow::plain(dialect::SendStep::Whole)
        };
        let end = send::send(&core, &call, &target, how);
        let end = tokio::time::timeout_at(call.deadline, end).await.ok()?;
        match end {
            send::SendEnd::Answer(answer) if answer.status.is_success() => {
                self.log.note_send(&target.name, "continued the stream");
                Some(StreamStart {
                    target,
                    guard,
                    answer,
                })
            }
            send::SendEnd::Answer(answer) => {
                self.log.note_send(&target.name, answer.status.as_str());
                None
            }
            send::SendEnd::NotSent(text)
            | send::SendEnd::NotRun(text)
            | send::SendEnd::Broken(text) => {
                self.log.note_send(&target.name, &text);
                None
            }
        }
    }

    /// Breaks the stream off, so that it doesn't look complete.
    async fn fail(mut self, reason: &str) {
        let error = io::Error::other(reason.to_owned());
        let _ = self.sender.send(Err(error)).await;
        self.log.end(reason);
    }
}
