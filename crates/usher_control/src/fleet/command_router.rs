//! Routes commands to the leader, whichever node that is. Not for: creating commands.

use std::{sync, time};

use usher_replica::ProposeError;
use usher_wire::{
    message::{self, envelope, state_command},
    CallError,
};

use crate::{error, fleet};

/// Time for which a command may wait for a leader; longer than an election.
const ROUTE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Timeout of one call to the leader.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Pause between two attempts.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Proposes commands on this node or at the leader, and retries while that is safe.
#[derive(Debug)]
pub(crate) struct CommandRouter<C> {
    access: fleet::FleetAccess,
    clients: sync::Arc<fleet::PeerClients>,
    clock: C,
}

/// Reason why an attempt has no outcome.
enum AttemptError {
    /// The command has no effect.
    NotProposed,
    /// The command may take effect.
    Unknown(String),
    /// This node is stopping.
    Stopping,
    /// The command can't be proposed.
    Invalid(String),
}

impl<C> CommandRouter<C>
where
    C: usher_types::ClockSource,
{
    pub(crate) fn new(
        access: fleet::FleetAccess,
        clients: sync::Arc<fleet::PeerClients>,
        clock: C,
    ) -> Self {
        Self {
            access,
            clients,
            clock,
        }
    }

    /// Proposes a command and returns its outcome.
    ///
    /// A command with an unknown result is proposed again, because the state returns the first
    /// answer to a repeated configuration change, claim or end of a claim. Order intents are not
    /// retried; only the leader proposes them.
    pub(crate) async fn propose(
        &self,
        kind: state_command::Kind,
    ) -> Result<message::StateOutcome, error::CommandError> {
        let repeatable = !matches!(kind, state_command::Kind::OrderIntent(_));
        let deadline = self.clock.now() + ROUTE_TIMEOUT;
        let mut unknown = None;
        loop {
            match self.attempt(&kind).await {
                Ok(outcome) => return Ok(outcome),
                Err(AttemptError::Unknown(text)) if !repeatable => {
                    return Err(error::CommandError::Unknown(text));
                }
                Err(AttemptError::Unknown(text)) => unknown = Some(text),
                Err(AttemptError::NotProposed) => {}
                Err(AttemptError::Invalid(text)) => return Err(error::CommandError::Invalid(text)),
                Err(AttemptError::Stopping) => {
                    return Err(
                        unknown.map_or(error::CommandError::Stopping, error::CommandError::Unknown)
                    );
                }
            }
            if self.clock.now() + RETRY_DELAY >= deadline {
                return Err(
                    unknown.map_or(error::CommandError::NoLeader, error::CommandError::Unknown)
                );
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Proposes a command on this node only, with its wall time as the time stamp.
    pub(crate) async fn propose_locally(
        &self,
        kind: state_command::Kind,
    ) -> Result<message::StateOutcome, ProposeError> {
        let since_1970 = self
            .clock
            .wall()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or_default();
        let command = message::StateCommand {
            at_ms: u64::try_from(since_1970.as_millis()).unwrap_or(u64::MAX),
            kind: Some(kind),
        };
        self.access.propose(&command).await
    }

    async fn attempt(
        &self,
        kind: &state_command::Kind,
    ) -> Result<message::StateOutcome, AttemptError> {
        let leader = match self.propose_locally(kind.clone()).await {
            Ok(outcome) => return Ok(outcome),
            Err(ProposeError::NotLeader { leader }) => leader,
            Err(ProposeError::Busy) => None,
            Err(ProposeError::Unknown(text)) => return Err(AttemptError::Unknown(text)),
            Err(error @ ProposeError::TooLarge { .. }) => {
                return Err(AttemptError::Invalid(error.to_string()));
            }
            Err(ProposeError::Stopped) => return Err(AttemptError::Stopping),
        };
        let Some((_, address)) = leader else {
            return Err(AttemptError::NotProposed);
        };
        let request = message::ProposeRequest {
            command: Some(message::StateCommand {
                at_ms: 0,
                kind: Some(kind.clone()),
            }),
        };
        let client = self.clients.find(address);
        let call = client.call(envelope::Body::ProposeRequest(request), CALL_TIMEOUT);
        match call.await {
            Ok(envelope::Body::ProposeReply(reply)) => reply
                .outcome
                .ok_or_else(|| AttemptError::Unknown("the reply has no outcome".to_owned())),
            Ok(_) | Err(CallError::Unexpected) => Err(AttemptError::Unknown(
                "the leader's reply is not a propose reply".to_owned(),
            )),
            Err(CallError::NotSent(_)) => Err(AttemptError::NotProposed),
            Err(CallError::Unknown(text)) => Err(AttemptError::Unknown(text)),
            Err(CallError::Refused(reply)) if reply.kind() == message::ErrorKind::Unknown => {
                Err(AttemptError::Unknown(reply.message))
            }
            Err(CallError::Refused(_)) => Err(AttemptError::NotProposed),
        }
    }
}
