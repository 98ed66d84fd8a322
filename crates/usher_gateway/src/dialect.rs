//! The interface between a gateway and the message format on the wire. Not for: the header names.

use std::{net, time};

use usher_place::{LoadReport, PromptWork};

/// The metadata of a call that its headers state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallMetadata {
    /// Identity of the caller's attempt.
    pub id: Option<usher_types::RequestId>,
    /// Time for which the caller waits.
    pub caller_timeout: Option<time::Duration>,
    /// The work of a model call.
    pub work: Option<PromptWork>,
    /// Number of the last event that the caller has received of a stream that it resumes.
    pub last_event: Option<u64>,
    /// Digest of the caller's key; none when the call has no key, or different ones.
    pub key: Option<usher_route::KeyDigest>,
}

/// The KV cache of a prompt that an engine holds for another one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptHandle {
    /// Engine that holds it.
    pub holder: net::SocketAddr,
    /// Its name at that engine.
    pub handle: String,
}

/// The part of a call that a target runs.
#[derive(Clone, Debug, PartialEq)]
pub enum SendStep {
    /// The complete call.
    Complete,
    /// Only reading the prompt.
    Prefill,
    /// Generating from a prompt that another engine has read.
    Decode(PromptHandle),
}

/// The metadata that the gateway adds to a call for a target.
#[derive(Clone, Debug, PartialEq)]
pub struct SendMetadata {
    /// The intended target; any other one at its address refuses the call.
    pub target: usher_types::TargetName,
    /// Time left until the deadline of the call.
    pub time_left: time::Duration,
    /// Part of the call.
    pub step: SendStep,
    /// Urgency among the calls of the target; set for model calls.
    pub urgency: Option<usher_place::SendUrgency>,
    /// Number of the event after which a broken stream is resumed.
    pub resume_after: Option<u64>,
    /// Engine from which the target copies the shared prefix of the prompt if it isn't cached.
    pub copy_from: Option<net::SocketAddr>,
    /// Team of the caller; set only where the routes name teams.
    pub team: Option<usher_types::TeamName>,
}

/// The metadata of an answer that its status and headers state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMetadata {
    /// The target states that it didn't run the call.
    pub not_run: bool,
    /// The address belongs to another target.
    pub wrong_target: bool,
    /// The answer is signed by a target.
    pub signed: bool,
    /// Id of the call that the answer belongs to.
    pub id: Option<usher_types::RequestId>,
    /// Load of the target.
    pub load: Option<LoadReport>,
    /// The target states that it is leaving.
    pub leaving: bool,
}

/// A request of the gateway itself to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRequest {
    /// Method.
    pub method: http::Method,
    /// Path.
    pub path: String,
}

/// Translates between messages on the wire and the metadata that the gateway uses.
pub trait CallDialect: usher_route::RouteDialect {
    /// Returns the number of parts of a prompt that the metadata of a call will have, at most.
    fn count_parts(&self, headers: &http::HeaderMap) -> usize;

    /// Reads the metadata of a call.
    fn read_call(&self, headers: &http::HeaderMap) -> CallMetadata;

    /// Removes the headers that only the gateway may set.
    fn strip_system_headers(&self, headers: &mut http::HeaderMap);

    /// Removes the caller's key, and the name of a team that the caller may have set.
    fn strip_team_headers(&self, headers: &mut http::HeaderMap);

    /// Adds the metadata of a send.
    fn write_send(&self, headers: &mut http::HeaderMap, metadata: &SendMetadata);

    /// Reads the metadata of an answer.
    fn read_answer(&self, status: http::StatusCode, headers: &http::HeaderMap) -> AnswerMetadata;

    /// Reads the handle from the answer to a prefill.
    fn read_handle(&self, body: &[u8]) -> Option<String>;

    /// Makes the request that frees a handle.
    fn free_handle(&self, handle: &str) -> TargetRequest;

    /// Returns the path of the readiness check.
    fn ready_path(&self) -> &'static str;
}
