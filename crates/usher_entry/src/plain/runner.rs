//! Runs one plain call: attempts, retries and, for a claimed call, recording its outcome.
//!
//! Not for: acquiring claims.

use std::{sync, time};

use axum::response;
use usher_answer::ConnectionUse;
use usher_policy::{CallRequest, FailureKind, RetryDecision, RouteDecision};
use usher_types::RunState;

use crate::{
    attempt::AttemptGuard,
    client::SendError,
    connection_pool, core,
    error::CallError,
    identity,
    outcome::{self, OutcomeCause},
    plain::{answer::PlainAnswer, call::PlainCall, claim::HeldClaim},
    policy::DecisionPolicy as _,
    refusal, types,
};

/// Maximum number of body chunks of a long answer queued for the caller.
const REST_QUEUE_LEN: usize = 16;

/// Bytes of a long answer that a target must send within each timeout. A target that stalls and sends
/// a byte now and then would otherwise hold the call and its claim forever; sound ones send a
/// thousand times as much.
const MIN_PROGRESS_BYTES: usize = 1_024;

/// A plain call in flight.
pub(crate) struct PlainRunner<P>
where
    P: types::EntryTypes,
{
    core: sync::Arc<core::EntryCore<P>>,
    _running: core::RunningGuard<P>,
    identity: identity::CallIdentity,
    call: PlainCall,
    request: CallRequest,
    attempts: u32,
    /// Whether any attempt broke after some of its bytes may have been written.
    may_have_run: bool,
    recorded: bool,
    target: Option<(usher_types::TargetName, usher_types::RegionName)>,
}

/// The reason why an attempt produced no answer.
struct AttemptFailure {
    kind: FailureKind,
    target: usher_types::TargetName,
    message: String,
    // Answer of a busy target; its status is reported to the caller if there is no retry.
    answer: Option<PlainAnswer>,
}

impl<P> PlainRunner<P>
where
    P: types::EntryTypes,
{
    pub(crate) fn new(
        core: sync::Arc<core::EntryCore<P>>,
        identity: identity::CallIdentity,
        call: PlainCall,
    ) -> Self {
        let id = identity.engine_id.as_str();
        let mut request = CallRequest::new(id, call.service.as_str(), identity.arrived);
        request.team = identity.team.clone();
        request.firm = identity.firm.clone();
        request.deadline = identity.deadline;
        request.idempotent = call.idempotent;
        Self {
            _running: core::RunningGuard::new(core.clone()),
            core,
            identity,
            call,
            request,
            attempts: 0,
            may_have_run: false,
            recorded: false,
            target: None,
        }
    }

    /// Decides on admission.
    pub(crate) fn admit(&mut self) -> Result<(), CallError> {
        let now = self.core.now();
        let (decision, verdict) = {
            let mut routing = self.core.routing();
            routing.count_demand(&self.request);
            let decision = routing.policy.choose(&self.request, now);
            let verdict = routing.policy.admit(&self.request, &decision, now);
            (decision, verdict)
        };
        let Some(reason) = verdict.refused else {
            return Ok(());
        };
        let unknown = decision.target == Err(usher_policy::NoRoute::UnknownService);
        let error = refusal::refusal_error(reason, &decision, verdict.retry_after);
        self.core
            .record_decision(&self.identity, "refuse", &decision, error.message.clone());
        self.record_outcome(OutcomeCause::Refused);
        if unknown && !self.core.knows_service(&self.call.service) {
            let message = format!(
                "service {} is in neither the sheet nor the registry",
                self.call.service
            );
            return Err(CallError::not_found(message));
        }
        Err(error)
    }

    /// Runs an idempotent call, with retries.
    pub(crate) async fn run(mut self) -> Result<response::Response, CallError> {
        let (answer, guard) = self.run_attempts().await?;
        self.forward_answer(answer, guard, None).await
    }

    /// Runs a claimed call, which is sent at most once even if its caller disconnects.
    pub(crate) async fn run_claimed(
        mut self,
        claim: HeldClaim<P>,
    ) -> Result<response::Response, CallError> {
        match self.run_attempts().await {
            Ok((answer, guard)) => self.forward_answer(answer, guard, Some(claim)).await,
            Err(error) => {
                match error.run {
                    RunState::NotRun => claim.release(),
                    RunState::Unknown => claim.mark_unknown(),
                }
                Err(error)
            }
        }
    }

    async fn run_attempts(&mut self) -> Result<(PlainAnswer, AttemptGuard<P>), CallError> {
        let result = self.try_attempts().await;
        result.map_err(|error| error.after_attempts(self.may_have_run))
    }

    async fn try_attempts(&mut self) -> Result<(PlainAnswer, AttemptGuard<P>), CallError> {
        loop {
            // The routing right may have expired while the claim was acquired.
            if let Err((error, cause)) = self.core.check_right() {
                self.record_outcome(cause);
                return Err(error);
            }
            let now = self.core.now();
            let decision = self.core.routing().policy.choose(&self.request, now);
            self.core
                .record_decision(&self.identity, "route", &decision, String::new());
            let failure = match self.attempt(&decision).await {
                Ok(answered) => return Ok(answered),
                Err(failure) => failure,
            };
            if let Some(answered) = self.after_failure(failure)? {
                return Ok(answered);
            }
        }
    }

    async fn attempt(
        &mut self,
        decision: &RouteDecision,
    ) -> Result<(PlainAnswer, AttemptGuard<P>), AttemptFailure> {
        let not_sent = |target, message: &str| AttemptFailure {
            kind: FailureKind::NotSent,
            target,
            message: message.to_owned(),
            answer: None,
        };
        let no_name = usher_types::TargetName::default();
        let Ok(slot) = decision.target else {
            return Err(not_sent(no_name, "no target is currently available"));
        };
        self.attempts += 1;
        let guard = AttemptGuard::begin(&self.core, &self.request, slot, None);
        let Some(guard) = guard else {
            return Err(not_sent(no_name, "target was removed from the registry"));
        };
        self.target = Some((guard.name.clone(), guard.region.clone()));
        let request = self.call.to_http(guard.address, &self.identity.id);
        let request = match request {
            Ok(request) => request,
            Err(error) => return Err(not_sent(guard.name.clone(), &error.to_string())),
        };
        let exchange = async {
            // The target may be closing an idle connection, and then it would be unknown whether the
            // call was executed.
            let allowed_use = if self.call.idempotent {
                ConnectionUse::Repeated
            } else {
                ConnectionUse::First
            };
            let pool = &self.core.connections;
            let may_write = || self.core.has_right();
            let (connection, response) = pool
                .send(guard.address, request, allowed_use, may_write)
                .await?;
            guard.record_head(&response);
            PlainAnswer::read(pool, connection, response).await
        };
        let result = tokio::time::timeout(self.time_left(), exchange).await;
        let result = result.unwrap_or_else(|_| {
            Err(SendError::Unknown(
                "target did not answer within the time limit".into(),
            ))
        });
        let target = guard.name.clone();
        match result {
            Ok(answer) if is_busy(answer.status) && self.call.idempotent => {
                guard.fail(FailureKind::Refused);
                Err(AttemptFailure {
                    kind: FailureKind::Refused,
                    target,
                    message: format!("target answered {}", answer.status),
                    answer: Some(answer),
                })
            }
            Ok(answer) => {
                guard.first_token();
                Ok((answer, guard))
            }
            Err(SendError::NotSent(message)) => {
                guard.fail(FailureKind::NotSent);
                Err(not_sent(target, &message))
            }
            Err(SendError::Unknown(message)) => {
                guard.fail(FailureKind::Broken);
                Err(AttemptFailure {
                    kind: FailureKind::Broken,
                    target,
                    message,
                    answer: None,
                })
            }
        }
    }

    fn time_left(&self) -> time::Duration {
        let limit = self.core.options.plain_timeout;
        let now = self.core.now();
        match self.request.deadline {
            Some(deadline) => deadline.saturating_duration_since(now).min(limit),
            None => limit,
        }
    }

    /// Decides on a retry; returns `None` if the call is to be retried.
    fn after_failure(
        &mut self,
        failure: AttemptFailure,
    ) -> Result<Option<(PlainAnswer, AttemptGuard<P>)>, CallError> {
        tracing::info!(
            request = %self.identity.id, target = %failure.target, reason = failure.message,
            "attempt failed"
        );
        self.may_have_run |= failure.kind == FailureKind::Broken;
        let now = self.core.now();
        let retry = {
            let mut routing = self.core.routing();
            let attempts = self.attempts.max(1);
            routing
                .policy
                .after_failure(&self.request, failure.kind, attempts, now)
        };
        let run = match retry {
            RetryDecision::Retry | RetryDecision::Resume => {
                self.request.avoid.push(failure.target);
                self.core.metrics.add("entry.retries");
                return Ok(None);
            }
            RetryDecision::FailNotRun => RunState::NotRun,
            RetryDecision::FailUnknown => RunState::Unknown,
        };
        self.record_outcome(OutcomeCause::Failed);
        match failure.answer {
            Some(answer) => Err(CallError::target(
                "target_busy",
                format!("target answered {}", answer.status),
                run,
            )),
            None => Err(CallError::target("target_failed", failure.message, run)),
        }
    }

    /// Returns the answer to the caller; for a claimed call, after its record is committed.
    async fn forward_answer(
        mut self,
        mut answer: PlainAnswer,
        guard: AttemptGuard<P>,
        claim: Option<HeldClaim<P>>,
    ) -> Result<response::Response, CallError> {
        let record = answer.to_record();
        let Some(rest) = answer.take_rest() else {
            guard.finish();
            if let Some(claim) = claim {
                claim.record_answer(record).await;
            }
            self.complete();
            return Ok(answer.into_response(None));
        };
        let (sender, body) = usher_answer::StreamBody::new(REST_QUEUE_LEN);
        let timeout = self.core.options.plain_timeout;
        tokio::spawn(async move {
            let forwarded = forward(rest, &sender, timeout).await;
            match (&forwarded, claim) {
                (Ok(()), Some(claim)) => claim.record_answer(record).await,
                (Err(_), Some(claim)) => claim.mark_unknown(),
                (_, None) => {}
            }
            match forwarded {
                Ok(()) => {
                    sender.finish();
                    guard.finish();
                    self.complete();
                }
                Err(reason) => {
                    tracing::info!(
                        request = %self.identity.id, target = %guard.name, reason,
                        "answer broke"
                    );
                    guard.fail(FailureKind::Broken);
                    self.record_outcome(OutcomeCause::Failed);
                }
            }
        });
        Ok(answer.into_response(Some(axum::body::Body::new(body))))
    }

    fn complete(&mut self) {
        let now = self.core.now();
        let late = self.request.deadline.is_some_and(|deadline| now > deadline);
        self.record_outcome(if late {
            OutcomeCause::Late
        } else {
            OutcomeCause::Ok
        });
    }

    fn record_outcome(&mut self, cause: OutcomeCause) {
        if std::mem::replace(&mut self.recorded, true) {
            return;
        }
        let now = self.core.now();
        let total = now.saturating_duration_since(self.identity.arrived);
        let (target, region) = self.target.clone().unzip();
        self.core.finish_call(outcome::OutcomeEvent {
            request: self.identity.id.clone(),
            service: self.request.service.clone(),
            team: self.identity.team.clone(),
            firm: self.identity.firm.clone(),
            class: self.request.class,
            cause,
            at: self.identity.arrived_wall,
            first_token: None,
            total,
            tokens: 0,
            retries: self.attempts.saturating_sub(1),
            hedged: false,
            target,
            region,
        });
    }
}

impl<P> Drop for PlainRunner<P>
where
    P: types::EntryTypes,
{
    fn drop(&mut self) {
        self.record_outcome(OutcomeCause::Cancelled);
    }
}

impl<P> core::EntryCore<P>
where
    P: types::EntryTypes,
{
    /// Returns whether the sheet or the registry contains a service.
    fn knows_service(&self, service: &usher_types::ServiceName) -> bool {
        let config = self.config.current();
        let in_sheet = config.sheet.service_rows(service).next().is_some();
        let routing = self.routing();
        let announced = routing
            .records()
            .any(|record| record.service == service.as_str());
        in_sheet || announced
    }
}

fn is_busy(status: http::StatusCode) -> bool {
    status == http::StatusCode::SERVICE_UNAVAILABLE
}

/// Forwards the rest of an answer to the caller.
///
/// `timeout` limits the time in which the target is waited for until it has sent
/// `MIN_PROGRESS_BYTES`; the time that the caller takes doesn't count. Without it, a target that stays
/// connected but sends nothing would hold the call and its claim forever.
///
/// # Errors
///
/// Fails with the reason when the answer isn't complete.
async fn forward(
    mut rest: connection_pool::DrivenAnswer,
    sender: &usher_answer::StreamSender,
    timeout: time::Duration,
) -> Result<(), String> {
    let mut waited = time::Duration::ZERO;
    let mut received = 0;
    loop {
        let begin = tokio::time::Instant::now();
        let next = tokio::time::timeout(timeout.saturating_sub(waited), rest.next()).await;
        waited += begin.elapsed();
        match next {
            Ok(Ok(None)) => return Ok(()),
            Ok(Ok(Some(bytes))) => {
                received += bytes.len();
                if received >= MIN_PROGRESS_BYTES {
                    (waited, received) = (time::Duration::ZERO, 0);
                }
                // The answer is read to its end even if the caller has disconnected.
                let _ = sender.send(bytes).await;
            }
            Ok(Err(fault)) => return Err(fault.to_string()),
            Err(_) => {
                return Err(format!(
                    "target sent {received} bytes of its answer within {timeout:?}"
                ));
            }
        }
    }
}
