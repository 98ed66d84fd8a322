//! Drives one order from its committed intent to its committed result. Not for: planning orders.

use std::{sync, time};

use usher_state::OrderRecord;
use usher_wire::message::{self, state_command};

use crate::{error, fleet, order::engine_client, plan};

/// Pause between two reads of the state of an engine.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Time for which the bytes of a failed request may still arrive: the TCP user timeout.
const FLIGHT_TIME: time::Duration = time::Duration::from_secs(2);

/// Drives one order while this node is the leader of one term.
pub(crate) struct OrderDriver<C> {
    pub(crate) access: fleet::FleetAccess,
    pub(crate) router: sync::Arc<fleet::CommandRouter<C>>,
    pub(crate) client: engine_client::EngineClient,
    pub(crate) clock: C,
    pub(crate) term: usher_types::TermNumber,
    pub(crate) order: OrderRecord,
}

impl<C> OrderDriver<C>
where
    C: usher_types::ClockSource,
{
    /// Runs until the result is committed or the leadership ends.
    ///
    /// Returns whether the order succeeded; returns `None` if it is still in flight, for this or a
    /// later leader to continue.
    pub(crate) async fn run(self) -> Option<bool> {
        let intent = self.order.intent.clone()?;
        let mut sent = plan::SendState::NotSent;
        loop {
            if !self.leads() {
                return None;
            }
            let target = self
                .access
                .view(|state| state.targets().find(&intent.engine).cloned());
            let reading = match &target {
                Some(target) => self.client.read(&target.record.address).await,
                None => None,
            };
            let step = plan::next_step(&self.order, target.as_ref(), reading.as_ref(), sent);
            match step.action {
                plan::OrderAction::Wait => tokio::time::sleep(POLL_INTERVAL).await,
                plan::OrderAction::Send => {
                    let address = target
                        .map(|target| target.record.address)
                        .unwrap_or_default();
                    sent = self.send(&address).await;
                }
                plan::OrderAction::Succeed => return self.finish(true, step.detail).await,
                plan::OrderAction::Fail => return self.finish(false, step.detail).await,
            }
        }
    }

    fn leads(&self) -> bool {
        self.access.leads() && self.access.status().term == self.term
    }

    async fn send(&self, address: &str) -> plan::SendState {
        let may_write = || self.access.holds_lease(self.term, self.clock.now());
        match self.client.send(address, &self.order, may_write).await {
            Ok(engine_client::OrderAnswer::Accepted) => plan::SendState::Sent,
            Ok(engine_client::OrderAnswer::Refused) => plan::SendState::Refused,
            Err(error::EngineError::NotSent(text)) => {
                tracing::debug!(%address, "order not sent: {text}");
                tokio::time::sleep(POLL_INTERVAL).await;
                plan::SendState::NotSent
            }
            Err(error::EngineError::Unknown(text)) => {
                tracing::debug!(%address, "outcome of sending the order unknown: {text}");
                tokio::time::sleep(FLIGHT_TIME).await;
                plan::SendState::Sent
            }
        }
    }

    async fn finish(&self, succeeded: bool, detail: String) -> Option<bool> {
        let result = message::OrderResult {
            engine: self.order.intent.as_ref()?.engine.clone(),
            fence: self.order.fence,
            succeeded,
            detail,
        };
        let kind = state_command::Kind::OrderResult(result);
        match self.router.propose_locally(kind).await {
            Ok(_) => Some(succeeded),
            // The order stays in flight, and this or a later leader drives it again.
            Err(error) => {
                tracing::debug!(%error, "result of an order not committed");
                None
            }
        }
    }
}
