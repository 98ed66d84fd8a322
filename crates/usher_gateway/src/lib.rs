//! Forwards calls by route to the targets of a service, and passes their answers back.
//!
//! For: the handling of a forwarded call, connections to targets, and the watch on registrars. Not
//! for: decisions, which are in `usher_place`, nor for header names, which a [`CallDialect`]
//! translates.

mod answer;
mod answer_buffer;
mod body;
mod body_reader;
mod call;
mod core;
mod dialect;
mod health;
mod held_prompt;
mod line_limit;
mod load_exchange;
mod metrics;
mod model;
mod node;
mod options;
mod plain;
mod pool;
mod quarantine;
mod registrar_watch;
mod relay;
mod resume_point;
mod route_follower;
mod run_record;
mod send;
mod server;
mod stop_step;
mod usage;

pub use dialect::{
    AnswerMetadata, CallDialect, CallMetadata, PromptHandle, SendMetadata, SendStep, TargetRequest,
};
pub use node::{GatewayNode, RunningGateway};
pub use options::GatewayOptions;
