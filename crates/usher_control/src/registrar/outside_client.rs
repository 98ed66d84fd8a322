//! Calls the API outside the installation for the duties that this node holds. Not for: the content
//! of the calls.

use std::{sync, time};

use crate::registrar::{
    call_pacing,
    duty_holder::{DutyHolder, DutyStamp},
    options,
    outside_request::{self, OutsideRequest},
};

/// Timeout of one call, including the connection set-up; the next holder waits for as long.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Time by which the wait of a new holder exceeds the order lease and the timeout of a call: the
/// reset of an abandoned connection and one way of a segment between regions.
const WAIT_MARGIN: time::Duration = time::Duration::from_millis(500);

/// The reason why a call has no answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum OutsideError {
    /// This node doesn't hold the duties; nothing was sent.
    #[error("this node doesn't hold the duties")]
    NotHolder,
    /// The call may have been received.
    #[error("the call has no answer: {0}")]
    NoAnswer(String),
}

/// Sends calls under one rate and one pause for all duties; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct OutsideClient<C> {
    address: std::net::SocketAddr,
    holder: DutyHolder<C>,
    pacing: sync::Arc<sync::Mutex<call_pacing::CallPacing>>,
    clock: C,
}

impl<C> OutsideClient<C>
where
    C: usher_types::ClockSource,
{
    pub(crate) fn new(outside: &options::OutsideOptions, holder: DutyHolder<C>, clock: C) -> Self {
        let pacing = call_pacing::CallPacing::new(outside.calls_per_second);
        Self {
            address: outside.address,
            holder,
            pacing: sync::Arc::new(sync::Mutex::new(pacing)),
            clock,
        }
    }

    /// Returns the time that a new holder must wait before its first call.
    pub(crate) fn holder_wait(order_lease: time::Duration) -> time::Duration {
        order_lease + CALL_TIMEOUT + WAIT_MARGIN
    }

    /// Returns the holder whose stamp the calls carry.
    pub(crate) fn holder(&self) -> &DutyHolder<C> {
        &self.holder
    }

    /// Waits until a call may be sent, then builds it from the newest values and sends it.
    ///
    /// # Errors
    ///
    /// Fails when this node doesn't hold the duties, or there is no answer in time.
    pub(crate) async fn send<F>(&self, build: F) -> Result<http::StatusCode, OutsideError>
    where
        F: FnOnce(&DutyStamp) -> OutsideRequest,
    {
        self.holder.may_act().ok_or(OutsideError::NotHolder)?;
        while let Err(delay) = self.begin_call() {
            tokio::time::sleep(delay).await;
        }
        let stamp = self.holder.may_act().ok_or(OutsideError::NotHolder)?;
        let request = build(&stamp);
        let may_send = || self.holder.still_holds(&stamp);
        let answer =
            outside_request::send_request(self.address, request, CALL_TIMEOUT, &may_send).await;
        let is_served = answer.as_ref().is_ok_and(|(status, _)| {
            *status != http::StatusCode::TOO_MANY_REQUESTS && !status.is_server_error()
        });
        let random = usher_types::IncarnationSource::random().get();
        let now = self.clock.now();
        self.lock_pacing().end_call(is_served, random, now);
        let (status, _) = answer.map_err(OutsideError::NoAnswer)?;
        Ok(status)
    }

    fn begin_call(&self) -> Result<(), time::Duration> {
        self.lock_pacing().begin_call(self.clock.now())
    }

    fn lock_pacing(&self) -> sync::MutexGuard<'_, call_pacing::CallPacing> {
        self.pacing
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
