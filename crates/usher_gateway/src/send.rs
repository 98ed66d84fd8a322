//! One send of a call to one target. Not for: what follows a failed send.

use std::{net, time};

use http_body_util::BodyExt as _;
use usher_place::TargetFailure;
use usher_roster::TargetEntry;

use crate::{call, core, dialect, pool};

/// Largest answer that is read as a whole; plain answers are some kilobytes.
const MAX_ANSWER_BYTES: usize = 8 * 1_024 * 1_024;

/// How long the body of a refusal may take.
const REFUSAL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The head of an answer that belongs to the call, and the way to its body.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    pub(crate) status: http::StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: hyper::body::Incoming,
    pub(crate) link: pool::LinkReturn,
}

/// How a send ended.
#[derive(Debug)]
pub(crate) enum SendEnd {
    /// The target answers.
    Answer(TargetAnswer),
    /// The call did not reach the target.
    NotSent(String),
    /// The target says that it didn't run the call.
    NotRun(String),
    /// The call may have run there.
    Broken(String),
}

/// What is asked of a target beside the call itself.
#[derive(Debug)]
pub(crate) struct SendHow {
    pub(crate) step: dialect::SendStep,
    pub(crate) urgency: Option<usher_place::SendUrgency>,
    pub(crate) resume_after: Option<u64>,
    pub(crate) copy_from: Option<net::SocketAddr>,
}

impl SendHow {
    /// Asks for a part of the call, without an urgency.
    pub(crate) fn plain(step: dialect::SendStep) -> Self {
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
    how: SendHow,
) -> SendEnd
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let mut request = http::Request::new(pool::RequestBody::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let mark = dialect::SendMark {
        target: target.name.clone(),
        time_left: call.time_left(),
        step: how.step,
        urgency: how.urgency,
        resume_after: how.resume_after,
        copy_from: how.copy_from,
    };
    core.dialect.write_send(request.headers_mut(), &mark);
    let is_run = mark.step != dialect::SendStep::Prefill;
    let end = match core.pool.send(target, request).await {
        Ok((answer, link)) => {
            let end = check(core, call, target, is_run, answer, link).await;
            if matches!(end, SendEnd::NotRun(_)) {
                let refused = TargetFailure::Refused;
                let now = core.clock.now();
                core.loads.record_failure(&target.name, refused, now);
            }
            end
        }
        Err(pool::LinkError::NotSent(text)) => {
            core.loads
                .record_failure(&target.name, TargetFailure::Lost, core.clock.now());
            SendEnd::NotSent(text)
        }
        Err(pool::LinkError::Broken(text)) => {
            core.loads
                .record_failure(&target.name, TargetFailure::Lost, core.clock.now());
            SendEnd::Broken(text)
        }
    };
    let outcome = match &end {
        SendEnd::Answer(_) => "answer",
        SendEnd::NotSent(_) => "not-sent",
        SendEnd::NotRun(_) => "not-run",
        SendEnd::Broken(_) => "broken",
    };
    core.metrics.send_ended(&call.service, outcome);
    end
}

async fn check<D, C>(
    core: &core::GatewayCore<D, C>,
    call: &call::RoutedCall,
    target: &TargetEntry,
    is_run: bool,
    answer: http::Response<hyper::body::Incoming>,
    link: pool::LinkReturn,
) -> SendEnd
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let (parts, body) = answer.into_parts();
    let mark = core.dialect.read_answer(parts.status, &parts.headers);
    let now = core.clock.now();
    // A second answer to an earlier call comes where this one is due.
    let other = mark.id.as_ref().is_some_and(|id| *id != call.id);
    if other {
        return SendEnd::Broken("the answer belongs to another call".to_owned());
    }
    let proved = mark.signed && mark.id.is_some();
    if is_run && parts.status.is_success() && !proved {
        return SendEnd::Broken("the answer has no signature or no id".to_owned());
    }
    if let Some(report) = mark.load {
        core.loads
            .update(&target.name, |load| load.set_report(report, now));
    }
    if mark.not_run || mark.wrong_target {
        let reason = format!("refused with {}", parts.status.as_u16());
        let read = http_body_util::Limited::new(body, MAX_ANSWER_BYTES).collect();
        if matches!(tokio::time::timeout(REFUSAL_TIMEOUT, read).await, Ok(Ok(_))) {
            link.give_back();
        }
        return SendEnd::NotRun(reason);
    }
    if parts.status.is_success() {
        core.loads.record_success(&target.name, now);
    }
    SendEnd::Answer(TargetAnswer {
        status: parts.status,
        headers: parts.headers,
        body,
        link,
    })
}

impl TargetAnswer {
    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails when the body ends early; the answer must not be passed on then.
    pub(crate) async fn read(
        self,
    ) -> Result<(http::StatusCode, http::HeaderMap, bytes::Bytes), String> {
        let read = http_body_util::Limited::new(self.body, MAX_ANSWER_BYTES).collect();
        let body = read.await.map_err(|error| error.to_string())?;
        self.link.give_back();
        Ok((self.status, self.headers, body.to_bytes()))
    }
}
