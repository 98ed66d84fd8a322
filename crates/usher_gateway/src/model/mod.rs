//! Model calls: one engine reads the prompt, another one generates the answer. Not for: relaying
//! the stream.

mod admission;
mod placement;
mod prefill;

use std::sync;

use usher_place::{RetryDecision, RetryPolicy};

use crate::{answer, body, call, core, dialect, held_prompt, relay, send};

/// A response for the caller.
#[derive(Debug)]
pub(crate) enum CallResponse {
    /// The answer is complete.
    Complete(call::CallAnswer),
    /// The body of the answer is still arriving.
    Stream(Box<relay::StreamStart>),
}

impl CallResponse {
    /// Makes a complete response from the head of a target's answer and a body.
    pub(crate) fn complete(
        status: http::StatusCode,
        headers: http::HeaderMap,
        body: body::AnswerBody,
    ) -> Self {
        let mut headers = headers;
        call::remove_connection_headers(&mut headers);
        headers.remove(http::header::CONTENT_LENGTH);
        let mut answer = http::Response::new(body);
        *answer.status_mut() = status;
        *answer.headers_mut() = headers;
        Self::Complete(answer)
    }
}

/// Runs a model call until the head of its answer arrives or it is given up.
pub(crate) async fn run<D, C>(
    core: &sync::Arc<core::GatewayCore<D, C>>,
    call: &sync::Arc<call::RoutedCall>,
    log: &mut call::CallLog,
) -> Result<CallResponse, answer::CallRefusal>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    core.with_budget(&call.service, usher_place::RetryBudget::record_call);
    let run = ModelRun {
        core,
        call,
        log,
        tried: Vec::new(),
        reason: String::new(),
        prefills: 0,
        decodes: 0,
        prompt: None,
    };
    run.run().await
}

/// A model call and what has happened to it so far.
struct ModelRun<'c, D, C>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    core: &'c sync::Arc<core::GatewayCore<D, C>>,
    call: &'c sync::Arc<call::RoutedCall>,
    log: &'c mut call::CallLog,
    /// Engines that failed the call.
    tried: Vec<usher_types::TargetName>,
    /// The failure of the last of them.
    reason: String,
    /// Engines that have received the call to read its prompt.
    prefills: u32,
    /// Engines that have received the call to generate its answer.
    decodes: u32,
    /// The prompt, once an engine has read it for another one.
    prompt: Option<held_prompt::HeldPrompt<D, C>>,
}

/// What follows a send.
enum NextStep {
    /// The next engine is chosen.
    Place,
    /// No other engine is asked.
    GiveUp,
    /// The engine answers.
    Answer(Box<placement::PlacedCall>, Box<send::TargetAnswer>),
}

impl<D, C> ModelRun<'_, D, C>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    async fn run(mut self) -> Result<CallResponse, answer::CallRefusal> {
        loop {
            if let Some(refusal) = self.core.quarantine_refusal(self.call) {
                if !self.log.runs.may_have_run() {
                    return Err(refusal);
                }
                break;
            }
            let Some(placed) = self.place() else {
                break;
            };
            if self.prompt.is_none() {
                admission::admit(self.core, self.call, self.log, &placed)?;
            }
            let next = if placed.also_decodes {
                self.generate(placed).await
            } else {
                self.read_prompt(placed).await
            };
            match next {
                NextStep::Place => {}
                NextStep::GiveUp => break,
                NextStep::Answer(placed, answer) => {
                    return to_response(self.core, self.call, *placed, answer).await;
                }
            }
        }
        Err(if self.log.runs.may_have_run() {
            answer::CallRefusal::Unknown(self.reason)
        } else {
            let reason = (!self.tried.is_empty()).then_some(self.reason);
            self.core.not_run(&self.call.service, reason)
        })
    }

    /// Chooses the engine of the next step.
    fn place(&mut self) -> Option<placement::PlacedCall> {
        let placed = if self.prompt.is_none() {
            placement::place_prefill(self.core, self.call, &self.tried, self.prefills)
        } else {
            placement::place_decode(self.core, self.call, self.prompt.as_ref(), &self.tried)
        };
        if let Some(placed) = &placed {
            self.log.expected_ms.push(placed.expected.as_millis());
            self.log.record_spill(placed.spill);
            self.log.queued_tokens.push(placed.queued);
        }
        placed
    }

    /// Has an engine read the prompt for another one.
    async fn read_prompt(&mut self, placed: placement::PlacedCall) -> NextStep {
        match prefill::prefill(self.core, self.call, self.log, &placed).await {
            Ok(handle) => {
                let core = self.core.clone();
                let held = held_prompt::HeldPrompt::new(core, placed.target, handle);
                self.prompt = Some(held);
                NextStep::Place
            }
            Err(failed) => {
                self.prefills += u32::from(failed.reached);
                let reached = failed.reached;
                self.record_failed(&placed.target.name, failed.text);
                let withdraw = usher_place::RetryBudget::try_withdraw;
                if !reached || self.core.with_budget(&self.call.service, withdraw) {
                    NextStep::Place
                } else {
                    NextStep::GiveUp
                }
            }
        }
    }

    /// Has an engine generate the answer, from the prompt that another one holds if there is one.
    async fn generate(&mut self, placed: placement::PlacedCall) -> NextStep {
        let mut placed = placed;
        let held = self.prompt.as_ref();
        let step = held.map_or(dialect::SendStep::Complete, held_prompt::HeldPrompt::step);
        self.log.runs.begin();
        let options = send::SendOptions {
            urgency: Some(placed.urgency),
            copy_from: placed.copy_from,
            ..send::SendOptions::new(step)
        };
        let result = send::send(self.core, self.call, &placed.target, options).await;
        let reached = !matches!(result, send::SendResult::NotSent(_));
        self.decodes += u32::from(reached);
        match result {
            send::SendResult::Answer(answer) => {
                self.record_answer(&mut placed, &answer);
                return NextStep::Answer(Box::new(placed), answer);
            }
            send::SendResult::NotSent(text) => {
                self.log.runs.end_not_run();
                self.record_failed(&placed.target.name, text);
            }
            send::SendResult::NotRun(text) => {
                self.log.runs.end_not_run();
                self.record_failed(&placed.target.name, text);
                if self.decodes > 1 {
                    self.drop_prompt();
                }
            }
            send::SendResult::Broken(text) => {
                self.log.runs.end_failed();
                self.record_failed(&placed.target.name, text);
                if let Some(held) = self.prompt.take() {
                    held.mark_taken();
                }
            }
        }
        let policy = RetryPolicy {
            sends: self.decodes,
            reached,
            runs: self.log.runs.ended(),
            time_left: self.call.time_left(),
        };
        let decide = |budget: &mut _| policy.decide(&self.call.route, budget);
        match self.core.with_budget(&self.call.service, decide) {
            RetryDecision::Retry => NextStep::Place,
            RetryDecision::RefuseNotRun | RetryDecision::FailUnknown => NextStep::GiveUp,
        }
    }

    fn record_failed(&mut self, target: &usher_types::TargetName, text: String) {
        self.log.record_send(target, &text);
        self.tried.push(target.clone());
        self.reason = text;
    }

    fn record_answer(&mut self, placed: &mut placement::PlacedCall, answer: &send::TargetAnswer) {
        let target = &placed.target;
        self.log.record_send(&target.name, answer.status.as_str());
        if let Some(held) = self.prompt.take() {
            held.mark_taken();
        }
        placed.guard.finish_prefill();
        if let (true, Some(sample)) = (answer.status.is_success(), &placed.sample) {
            prefill::record_time(self.core, self.call, sample, answer.sent_at);
        }
        prefill::record_read(self.core, self.call, target);
    }

    /// Drops the prompt that another engine holds. A second engine that refuses shows that it can't be
    /// fetched: its holder drops it, or can't be reached.
    fn drop_prompt(&mut self) {
        let Some(held) = self.prompt.take() else {
            return;
        };
        let now = self.core.clock.now();
        let refused = usher_place::TargetFailure::Refused;
        self.core
            .loads
            .record_failure(&held.holder().name, refused, now);
        // The engines that refused may run the call with a prompt of another holder.
        self.tried.clear();
        self.tried.push(held.holder().name.clone());
    }
}

/// Converts the answer of an engine to a response for the caller.
async fn to_response<D, C>(
    core: &core::GatewayCore<D, C>,
    call: &call::RoutedCall,
    placed: placement::PlacedCall,
    answer: Box<send::TargetAnswer>,
) -> Result<CallResponse, answer::CallRefusal>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    if answer.status.is_success() {
        return Ok(CallResponse::Stream(Box::new(relay::StreamStart {
            target: placed.target,
            guard: placed.guard,
            answer,
        })));
    }
    let read = answer.read(call, &core.answers).await.map_err(|fault| {
        core.record_lost(&placed.target.name);
        answer::CallRefusal::Unknown(fault.to_string())
    });
    let (status, headers, bytes) = read?;
    Ok(CallResponse::complete(
        status,
        headers,
        body::AnswerBody::complete(bytes),
    ))
}
