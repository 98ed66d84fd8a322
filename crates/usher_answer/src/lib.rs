//! Decides what the answers of targets are: whose they are, whether they are complete, and what
//! their heads ask for.
//!
//! For: every daemon that reads an answer or relays it. Not for: connections, retries, and the
//! contents of events.

mod answer_check;
mod answer_fault;
mod answer_framing;
mod answer_owner;
mod answer_reader;
mod event_scanner;
mod event_splitter;
mod head_limit;
mod json_scanner;
mod pause_request;
mod stream_body;

pub use answer_check::AnswerCheck;
pub use answer_fault::AnswerFault;
pub use answer_framing::AnswerFraming;
pub use answer_owner::{AnswerOwner, ConnectionUse};
pub use answer_reader::AnswerReader;
pub use event_scanner::EventScanner;
pub use event_splitter::EventSplitter;
pub use head_limit::{HeadLimit, LimitedStream, RequestProgress};
pub use pause_request::PauseRequest;
pub use stream_body::{StreamBody, StreamSender};
