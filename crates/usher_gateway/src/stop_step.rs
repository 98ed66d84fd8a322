//! The steps of a planned stop as calls see them. Not for: closing connections.

use std::time;

use tokio::sync::watch;

use crate::server;

/// Time between the answers to calls that are given up at the end of the grace period and the end of
/// the process, in which they reach their callers.
const ANSWER_TIME: time::Duration = time::Duration::from_millis(200);

usher_types::value_type! {
    /// A step of a planned stop.
    pub(crate) enum StopStep {
        /// New calls are taken.
        Serving,
        /// Calls that arrive are refused, and those that were taken go on.
        Refusing,
        /// Calls without an answer are given up.
        Ending,
    }
}

/// Takes the steps of a stop once it has begun; the process ends after `limit`.
pub(crate) async fn run(
    stop: usher_kernel::StopSignal,
    limit: time::Duration,
    steps: watch::Sender<StopStep>,
) {
    stop.draining().await;
    let until_end = limit.saturating_sub(ANSWER_TIME);
    let until_refusing = server::DRAIN_DELAY.min(until_end);
    tokio::time::sleep(until_refusing).await;
    steps.send_replace(StopStep::Refusing);
    tokio::time::sleep(until_end.saturating_sub(until_refusing)).await;
    steps.send_replace(StopStep::Ending);
}
