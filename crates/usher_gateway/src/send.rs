//! A single send of a call to one target. Not for: retries.

use std::{net, time};

use usher_answer::{AnswerFault, AnswerOwner, ConnectionUse};
use usher_place::TargetFailure;
use usher_quarantine::CallPhase;
use usher_roster::TargetEntry;

use crate::{answer_buffer, call, core, dialect, pool};

/// Last status that HTTP defines (RFC 9110, section 15); the library accepts three digits.
const LAST_STATUS: u16 = 599;

/// Maximum time to read the body of a refusal.
const REFUSAL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The head of an answer that belongs to the call, with its unread body.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    pub(crate) status: http::StatusCode,
    pub(crate) version: http::Version,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: pool::TargetBody,
    pub(crate) connection: pool::ConnectionLease,
    /// Time at which the call was sent.
    pub(crate) sent_at: time::Instant,
}

/// The result of a send.
#[derive(Debug)]
pub(crate) enum SendResult {
    /// The target answers.
    Answer(Box<TargetAnswer>),
    /// The call did not reach the target.
    NotSent(String),
    /// The target states that it didn't run the call.
    NotRun(String),
    /// The target may have run the call.
    Broken(String),
}

/// Options of a send in addition to the call itself.
#[derive(Debug)]
pub(crate) struct SendOptions {
    pub(crate) step: dialect::SendStep,
    pub(crate) urgency: Option<usher_place::SendUrgency>,
    pub(crate) resume_after: Option<u64>,
    pub(crate) copy_from: Option<net::SocketAddr>,
}

impl SendOptions {
    /// Makes the options for a part of the call, without an urgency.
    pub(crate) fn new(step: dialect::SendStep) -> Self {
        Self {
            step,
            urgency: None,
            resume_after: None,
            copy_from: None,
        }
    }
}

/// Sends a call to a target and waits for the head of its answer.
pub(crate) async fn send<D, C>(
    core: &core::GatewayCore<D, C>,
    call: &call::RoutedCall,
    target: &TargetEntry,
    options: SendOptions,
) -> SendResult
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let mut request = http::Request::new(pool::RequestBody::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let metadata = dialect::SendMetadata {
        target: target.name.clone(),
        time_left: call.time_left(),
        step: options.step,
        urgency: options.urgency,
        resume_after: options.resume_after,
        copy_from: options.copy_from,
        team: call.team.clone(),
    };
    core.dialect.write_send(request.headers_mut(), &metadata);
    let runs_call = metadata.step != dialect::SendStep::Prefill;
    let is_new = call.begin_send(&target.name);
    let distance = core.distance(target);
    core.metrics.body_moved(distance, "sent", call.body.len());
    let sent_at = core.clock.now();
    let result = match core.pool.send(target, request, is_new).await {
        Ok(answer) => {
            let result = check_answer(core, call, target, runs_call, answer, sent_at).await;
            if matches!(result, SendResult::NotRun(_)) {
                let refused = TargetFailure::Refused;
                let now = core.clock.now();
                core.loads.record_failure(&target.name, refused, now);
            }
            result
        }
        Err(pool::ConnectionError::NotSent(text)) => {
            core.record_lost(&target.name);
            SendResult::NotSent(text)
        }
        Err(pool::ConnectionError::Broken {
            text,
            connection_use,
        }) => {
            core.record_lost(&target.name);
            let phase = if runs_call {
                CallPhase::NoEvent
            } else {
                CallPhase::Prefill
            };
            // A target may drop a kept connection at any time, and resets what is sent on it next.
            if connection_use == ConnectionUse::First {
                core.record_broken_call(call, target, phase, sent_at);
            }
            SendResult::Broken(text)
        }
    };
    let outcome = match &result {
        SendResult::Answer(_) => "answer",
        SendResult::NotSent(_) => "not-sent",
        SendResult::NotRun(_) => "not-run",
        SendResult::Broken(_) => "broken",
    };
    core.metrics.send_ended(&call.service, outcome);
    result
}

async fn check_answer<D, C>(
    core: &core::GatewayCore<D, C>,
    call: &call::RoutedCall,
    target: &TargetEntry,
    runs_call: bool,
    answer: (http::Response<pool::TargetBody>, pool::ConnectionLease),
    sent_at: time::Instant,
) -> SendResult
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let (answer, connection) = answer;
    let (parts, mut body) = answer.into_parts();
    let metadata = core.dialect.read_answer(parts.status, &parts.headers);
    core.record_head(target, parts.status, &parts.headers, &metadata);
    let now = core.clock.now();
    match AnswerOwner::of(&call.id, metadata.id.as_ref(), connection.connection_use) {
        AnswerOwner::ThisRequest => {}
        AnswerOwner::OtherRequest => {
            return SendResult::Broken("the answer belongs to another call".to_owned());
        }
        AnswerOwner::Unknown => {
            let status = parts.status.as_u16();
            return SendResult::Broken(format!(
                "an answer with status {status} and without a request id, on a used connection, may \
                 belong to an earlier call"
            ));
        }
    }
    if parts.status.as_u16() > LAST_STATUS {
        let status = parts.status.as_u16();
        return SendResult::Broken(format!("no status {status} exists"));
    }
    let is_verified = metadata.signed && metadata.id.is_some();
    if runs_call && parts.status.is_success() && !is_verified {
        return SendResult::Broken("the answer has no signature or no request id".to_owned());
    }
    if let Some(report) = metadata.load {
        core.loads
            .update(&target.name, |load| load.set_report(report, now));
    }
    if metadata.not_run || metadata.wrong_target {
        let reason = format!("refused with {}", parts.status.as_u16());
        let read = body.read_all(answer_buffer::MAX_OWN_ANSWER_BYTES);
        if matches!(tokio::time::timeout(REFUSAL_TIMEOUT, read).await, Ok(Ok(_))) {
            connection.release();
        }
        return SendResult::NotRun(reason);
    }
    if parts.status.is_success() {
        core.loads.record_success(&target.name, now);
        if runs_call && call.route.kind.is_stream() {
            body = body.with_default_events();
        }
    }
    SendResult::Answer(Box::new(TargetAnswer {
        status: parts.status,
        version: parts.version,
        headers: parts.headers,
        body,
        connection,
        sent_at,
    }))
}

impl TargetAnswer {
    /// Reads the complete body for the caller.
    ///
    /// # Errors
    ///
    /// Fails when the answer was broken off or is too long; it must not be passed on then.
    pub(crate) async fn read(
        mut self,
        call: &call::RoutedCall,
        total: &answer_buffer::AnswerTotal,
    ) -> Result<(http::StatusCode, http::HeaderMap, bytes::Bytes), AnswerFault> {
        let buffer = answer_buffer::AnswerBuffer::new(call, total);
        let body = buffer.read(&mut self.body).await?;
        self.connection.release();
        Ok((self.status, self.headers, body))
    }

    /// Reads the complete body of an answer that is not passed on.
    ///
    /// # Errors
    ///
    /// Fails when the answer was broken off or is too long.
    pub(crate) async fn read_own(
        mut self,
    ) -> Result<(http::StatusCode, bytes::Bytes), AnswerFault> {
        let limit = answer_buffer::MAX_OWN_ANSWER_BYTES;
        let body = self.body.read_all(limit).await?;
        self.connection.release();
        Ok((self.status, body))
    }
}
