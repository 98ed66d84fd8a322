//! What a gateway reads from and writes into messages, as an interface. Not for: their names.

use std::{net, time};

use usher_place::{LoadReport, PromptWork};

/// What a call states beside its route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallMark {
    /// Identity of the caller's attempt.
    pub id: Option<usher_types::RequestId>,
    /// How long the caller waits.
    pub patience: Option<time::Duration>,
    /// The work of a model call.
    pub work: Option<PromptWork>,
    /// Number of the last event that the caller has of a stream that it resumes.
    pub last_event: Option<u64>,
}

/// Memory of a prompt that an engine holds for another one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptHandle {
    /// Engine that holds it.
    pub holder: net::SocketAddr,
    /// Its name at that engine.
    pub handle: String,
}

/// Which part of a call a target is asked for.
#[derive(Clone, Debug, PartialEq)]
pub enum SendStep {
    /// All of it.
    Whole,
    /// Only to read the prompt.
    Prefill,
    /// To generate from a prompt that another engine has read.
    Decode(PromptHandle),
}

/// What the gateway adds to a call for a target.
#[derive(Clone, Debug, PartialEq)]
pub struct SendMark {
    /// The target that is meant; another one at its address refuses the call.
    pub target: usher_types::TargetName,
    /// Time left for the call.
    pub time_left: time::Duration,
    /// Part of the call.
    pub step: SendStep,
    /// How urgent the call is among those of the target; set for model calls.
    pub urgency: Option<usher_place::SendUrgency>,
    /// Number of the event behind which a broken stream goes on.
    pub resume_after: Option<u64>,
    /// Engine from which the target copies shared parts of the prompt that it doesn't have.
    pub copy_from: Option<net::SocketAddr>,
}

/// What an answer of a target states beside its body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMark {
    /// The target states that it didn't run the call.
    pub not_run: bool,
    /// Another target has the address.
    pub wrong_target: bool,
    /// The answer is signed by a target.
    pub signed: bool,
    /// The call that the answer belongs to.
    pub id: Option<usher_types::RequestId>,
    /// Load of the target.
    pub load: Option<LoadReport>,
}

/// A request of the gateway itself to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRequest {
    /// Method.
    pub method: http::Method,
    /// Path.
    pub path: String,
}

/// Translates between messages on the wire and what the gateway acts on.
pub trait CallDialect: Clone + Send + Sync + 'static {
    /// Reads what a call states.
    fn read_call(&self, headers: &http::HeaderMap) -> CallMark;

    /// Removes headers that only the gateway may set.
    fn clear(&self, headers: &mut http::HeaderMap);

    /// Adds what a target must know of a send.
    fn write_send(&self, headers: &mut http::HeaderMap, mark: &SendMark);

    /// Reads what an answer states.
    fn read_answer(&self, status: http::StatusCode, headers: &http::HeaderMap) -> AnswerMark;

    /// Reads the handle from the answer to a prefill.
    fn read_handle(&self, body: &[u8]) -> Option<String>;

    /// Makes the request that frees a handle.
    fn free_handle(&self, handle: &str) -> TargetRequest;

    /// Reads a set of routes as its author sent it.
    ///
    /// # Errors
    ///
    /// Fails with a reason when it isn't one.
    fn read_routes(&self, document: &[u8]) -> Result<usher_route::RouteSheet, String>;

    /// Returns the path at which readiness is asked for.
    fn ready_path(&self) -> &'static str;
}
