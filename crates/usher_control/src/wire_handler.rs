//! Answers the wire messages of entries and other control nodes. Not for: operators.

use std::sync;

use usher_replica::ProposeError;
use usher_wire::message::{self, envelope, state_command, state_outcome};

use crate::{error, fleet, grant};

/// Handles the wire messages that reach a control node.
pub(crate) struct WireHandler<C> {
    pub(crate) access: fleet::FleetAccess,
    pub(crate) router: sync::Arc<fleet::CommandRouter<C>>,
    pub(crate) service: sync::Arc<grant::SyncService<C>>,
    pub(crate) leader_state: sync::Arc<sync::Mutex<grant::LeaderState>>,
    pub(crate) clock: C,
}

impl<C> usher_wire::CallHandler for WireHandler<C>
where
    C: usher_types::ClockSource,
{
    async fn handle(
        &self,
        _peer: &usher_wire::WireIdentity,
        body: envelope::Body,
    ) -> Option<envelope::Body> {
        match body {
            envelope::Body::Consensus(message) => {
                self.access.receive(message);
                None
            }
            envelope::Body::SyncRequest(request) => {
                Some(envelope::Body::SyncReply(self.service.answer(request)))
            }
            envelope::Body::ClaimRequest(request) => Some(self.claim(request).await),
            envelope::Body::FinishRequest(request) => Some(self.finish(request).await),
            envelope::Body::ProposeRequest(request) => {
                Some(answer_propose(&self.router, request).await)
            }
            envelope::Body::RelayRequest(request) => Some(self.relay(request).await),
            _ => Some(refuse(
                message::ErrorKind::BadRequest,
                "a control node doesn't answer this message",
            )),
        }
    }
}

impl<C> WireHandler<C>
where
    C: usher_types::ClockSource,
{
    async fn claim(&self, request: message::ClaimRequest) -> envelope::Body {
        let Some(call) = request.call else {
            return refuse(message::ErrorKind::BadRequest, "the request has no call");
        };
        match self.route(state_command::Kind::ClaimCall(call)).await {
            Ok(state_outcome::Kind::Claim(reply)) => envelope::Body::ClaimReply(reply),
            Ok(_) => refuse(
                message::ErrorKind::Unknown,
                "the outcome is not one of a claim",
            ),
            Err(body) => *body,
        }
    }

    async fn finish(&self, request: message::FinishRequest) -> envelope::Body {
        let Some(finish) = request.finish else {
            return refuse(
                message::ErrorKind::BadRequest,
                "the request doesn't say how the claim ended",
            );
        };
        match self.route(state_command::Kind::FinishClaim(finish)).await {
            Ok(_) => envelope::Body::Ack(message::Ack {}),
            Err(body) => *body,
        }
    }

    async fn relay(&self, request: message::RelayRequest) -> envelope::Body {
        let (leader_state, access) = (&self.leader_state, &self.access);
        let reply = grant::answer_relay(leader_state, access, &self.router, &self.clock, request);
        reply.await.map_or_else(
            || {
                refuse(
                    message::ErrorKind::NotLeader,
                    "this node is not the leader, or no quorum confirms its leadership",
                )
            },
            envelope::Body::RelayReply,
        )
    }

    async fn route(
        &self,
        kind: state_command::Kind,
    ) -> Result<state_outcome::Kind, Box<envelope::Body>> {
        let outcome = self.router.propose(kind).await.map_err(|error| {
            let kind = match &error {
                error::CommandError::NoLeader => message::ErrorKind::NoQuorum,
                error::CommandError::Unknown(_) => message::ErrorKind::Unknown,
                error::CommandError::Invalid(_) => message::ErrorKind::BadRequest,
                error::CommandError::Stopping => message::ErrorKind::Stopping,
            };
            Box::new(refuse(kind, &error.to_string()))
        })?;
        match outcome.kind {
            Some(state_outcome::Kind::Refused(text)) => {
                Err(Box::new(refuse(message::ErrorKind::BadRequest, &text)))
            }
            Some(kind) => Ok(kind),
            None => Err(Box::new(refuse(
                message::ErrorKind::Unknown,
                "the outcome has no kind",
            ))),
        }
    }
}

/// Builds an error reply.
pub(crate) fn refuse(kind: message::ErrorKind, text: &str) -> envelope::Body {
    envelope::Body::Error(message::ErrorReply {
        kind: kind.into(),
        message: text.to_owned(),
        leader: String::new(),
    })
}

/// Proposes a command from another control node on this node; never forwards it.
pub(crate) async fn answer_propose<C>(
    router: &fleet::CommandRouter<C>,
    request: message::ProposeRequest,
) -> envelope::Body
where
    C: usher_types::ClockSource,
{
    let Some(kind) = request.command.and_then(|command| command.kind) else {
        return refuse(message::ErrorKind::BadRequest, "the command has no kind");
    };
    match router.propose_locally(kind).await {
        Ok(outcome) => envelope::Body::ProposeReply(message::ProposeReply {
            outcome: Some(outcome),
        }),
        Err(error) => {
            let kind = match &error {
                ProposeError::NotLeader { .. } => message::ErrorKind::NotLeader,
                ProposeError::Busy => message::ErrorKind::NoQuorum,
                ProposeError::Unknown(_) => message::ErrorKind::Unknown,
                ProposeError::TooLarge { .. } => message::ErrorKind::BadRequest,
                ProposeError::Stopped => message::ErrorKind::Stopping,
            };
            refuse(kind, &error.to_string())
        }
    }
}
