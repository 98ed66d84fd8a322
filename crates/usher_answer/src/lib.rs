//! Describes how the answers of targets are framed and where the events of their streams end.
//!
//! For: the daemons that read answers. Not for: connections, and the contents of events.

mod answer_framing;
mod event_scanner;

pub use answer_framing::AnswerFraming;
pub use event_scanner::EventScanner;
