//! Runs plain calls, whose answers are read completely before the caller gets them. Not for:
//! streams.

use std::sync;

use usher_place::{RetryDecision, RetryPolicy};
use usher_quarantine::CallPhase;
use usher_route::RepeatKind;

use crate::{answer, body, call, core, dialect, model, send};

/// Runs a plain call until it has an answer or is given up.
pub(crate) async fn run<D, C>(
    core: &sync::Arc<core::GatewayCore<D, C>>,
    call: &sync::Arc<call::RoutedCall>,
    log: &mut call::CallLog,
) -> Result<model::CallResponse, answer::CallRefusal>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let mut tried = Vec::new();
    let mut sends = 0;
    // The answer of a target that failed; passed on when no other target succeeds.
    let mut failed = None;
    let mut reason = String::new();
    let rank = usher_place::SendUrgency::of_rank(call.rank());
    core.with_budget(&call.service, usher_place::RetryBudget::record_call);
    loop {
        if let Some(refusal) = core.quarantine_refusal(call) {
            if !log.runs.may_have_run() {
                return Err(refusal);
            }
            break;
        }
        let targets = core.targets(&call.service);
        let target = {
            let view = core.view(&targets, &tried, &core.options.domain);
            let choose = |policy: &mut usher_place::PlainPolicy| policy.choose(&view).cloned();
            let target = core.with_plain_policy(&call.service, choose);
            log.record_spill(target.as_ref().and_then(|target| view.spill_reason(target)));
            target
        };
        let Some(target) = target else {
            break;
        };
        let guard = core.loads.track_call(&target.name, 0, rank);
        log.runs.begin();
        let sent = tokio::time::Instant::now();
        let options = send::SendOptions::new(dialect::SendStep::Complete);
        let result = send::send(core, call, &target, options).await;
        let result = match result {
            send::SendResult::Answer(answer) => {
                core.count_usage(call);
                read(core, call, &target, answer).await
            }
            other => Err(other),
        };
        drop(guard);
        let reached = !matches!(result, Err(send::SendResult::NotSent(_)));
        match result {
            Ok(PlainAnswer {
                status,
                headers,
                bytes,
                framing,
            }) => {
                let outcome = format!("{}, {framing}", status.as_str());
                log.record_send(&target.name, &outcome);
                let answer = model::CallResponse::complete(
                    status,
                    headers,
                    body::AnswerBody::complete(bytes),
                );
                if status.is_success() {
                    core.record_complete_answer(call);
                    core.with_plain_policy(&call.service, |policy| {
                        policy.record_call_time(sent.elapsed())
                    });
                    return Ok(answer);
                }
                if !status.is_server_error() || call.route.kind != RepeatKind::Repeatable {
                    return Ok(answer);
                }
                log.runs.end_failed();
                failed = Some(answer);
            }
            Err(send::SendResult::NotSent(text) | send::SendResult::NotRun(text)) => {
                log.runs.end_not_run();
                log.record_send(&target.name, &text);
                reason = text;
            }
            Err(send::SendResult::Broken(text)) => {
                log.runs.end_failed();
                log.record_send(&target.name, &text);
                reason = text;
            }
            Err(send::SendResult::Answer(_)) => break,
        }
        tried.push(target.name);
        sends += u32::from(reached);
        let policy = RetryPolicy {
            sends,
            reached,
            runs: log.runs.ended(),
            time_left: call.time_left(),
        };
        let decision = core.with_budget(&call.service, |budget| policy.decide(&call.route, budget));
        if decision != RetryDecision::Retry {
            break;
        }
    }
    if let Some(answer) = failed {
        return Ok(answer);
    }
    Err(if log.runs.may_have_run() {
        answer::CallRefusal::Unknown(reason)
    } else {
        let reason = (!tried.is_empty()).then_some(reason);
        core.not_run(&call.service, reason)
    })
}

/// A complete answer.
struct PlainAnswer {
    status: http::StatusCode,
    headers: http::HeaderMap,
    bytes: bytes::Bytes,
    framing: usher_answer::AnswerFraming,
}

/// Reads the complete body of an answer; a target that breaks it off counts as lost.
async fn read<D, C>(
    core: &core::GatewayCore<D, C>,
    call: &call::RoutedCall,
    target: &usher_roster::TargetEntry,
    answer: Box<send::TargetAnswer>,
) -> Result<PlainAnswer, send::SendResult>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let framing = answer.body.check().framing();
    let sent_at = answer.sent_at;
    match answer.read(call, &core.answers).await {
        Ok((status, headers, bytes)) => {
            let distance = core.distance(target);
            core.metrics.body_moved(distance, "received", bytes.len());
            core.metrics.answer_ended(framing, "complete");
            Ok(PlainAnswer {
                status,
                headers,
                bytes,
                framing,
            })
        }
        Err(fault) => {
            core.metrics.answer_ended(framing, "broken");
            core.record_lost(&target.name);
            if fault.is_cut_off() {
                core.record_broken_call(call, target, CallPhase::NoEvent, sent_at);
            }
            Err(send::SendResult::Broken(fault.to_string()))
        }
    }
}
