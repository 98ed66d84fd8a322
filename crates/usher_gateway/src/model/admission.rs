//! Refuses model calls that can't be served, and measures the waits of others. Not for: the policy,
//! which is in `usher_place`.

use crate::{answer, call, core, dialect, model::placement};

/// Refuses a call that can't be served before its caller gives up.
pub(super) fn admit<D, C>(
    core: &core::GatewayCore<D, C>,
    call: &call::RoutedCall,
    log: &mut call::CallLog,
    placed: &placement::PlacedCall,
) -> Result<(), answer::CallRefusal>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    if placed.urgency != usher_place::SendUrgency::late() || log.runs.may_have_run() {
        return Ok(());
    }
    let rates = core.with_engine_policy(|policy| policy.rates(&call.service));
    let targets = core.targets(&call.service);
    let view = core.view(&targets, &[], &core.options.domain);
    let input = usher_place::AdmissionInput {
        expected: placed.expected,
        time_left: call.time_left(),
        is_measured: if placed.also_decodes {
            rates.decode_prefill.is_measured()
        } else {
            rates.prefill.is_measured()
        },
        has_free_places: usher_place::has_free_places(&view),
        key: usher_place::text_key(call.id.as_str()),
    };
    let (decision, stretch) = core.with_admission(&call.service, |policy, now| {
        (policy.decide(&input, now), policy.stretch(now))
    });
    log.admissions.push(format!(
        "{decision:?}: {} ms left, stretch {stretch:.2}, measured {}, free places {}",
        input.time_left.as_millis(),
        input.is_measured,
        input.has_free_places
    ));
    match decision {
        usher_place::AdmissionDecision::Accept => Ok(()),
        usher_place::AdmissionDecision::Refuse { wait, retry_after } => {
            Err(answer::CallRefusal::Overloaded {
                service: call.service.clone(),
                wait,
                left: input.time_left,
                retry_after,
            })
        }
    }
}

/// Measures the wait of an accepted call that can't be on time; it counts as not served when it is
/// dropped first.
pub(super) struct WaitGuard<'c, D, C>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    core: &'c core::GatewayCore<D, C>,
    service: &'c usher_types::ServiceName,
    id: usher_place::WaitId,
    pub(super) served: bool,
}

impl<'c, D, C> WaitGuard<'c, D, C>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    /// Starts to measure; `None` for a call that is expected to be on time.
    pub(super) fn start(
        core: &'c core::GatewayCore<D, C>,
        call: &'c call::RoutedCall,
        placed: &placement::PlacedCall,
    ) -> Option<Self> {
        let is_late = placed.urgency == usher_place::SendUrgency::late();
        is_late.then(|| {
            let begin = |policy: &mut usher_place::AdmissionPolicy, now| {
                policy.begin_wait(placed.expected, now)
            };
            Self {
                core,
                service: &call.service,
                id: core.with_admission(&call.service, begin),
                served: false,
            }
        })
    }
}

impl<D, C> Drop for WaitGuard<'_, D, C>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    fn drop(&mut self) {
        let (id, served) = (self.id, self.served);
        self.core
            .with_admission(self.service, |policy, now| policy.end_wait(id, served, now));
    }
}
