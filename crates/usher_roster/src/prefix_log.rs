//! Log of the shared prefixes that engines have read, as gateways report them to each other. Not
//! for: choosing engines.

use std::collections;

use usher_wire::message;

/// Maximum number of kept reads; a gateway that asks every 100 ms gets all of them at 10,000 new
/// reads a second.
const MAX_READS: usize = 4_096;

/// Number of gateways at which their positions in the log are reset; more than there are gateways
/// and registrars.
const MAX_GATEWAYS: usize = 2_000;

#[derive(Clone, Debug)]
struct LoggedRead {
    read: message::PartsRead,
    sender: usher_types::NodeName,
    /// Whether another registrar forwarded it.
    is_forwarded: bool,
}

/// The newest reads in the order of their arrival, and the position of each gateway in them.
///
/// Each registrar keeps one: gateways report the reads that their calls caused and get those of the
/// others; registrars forward the reads of their own gateways.
#[derive(Clone, Debug, Default)]
pub struct PrefixLog {
    reads: collections::VecDeque<LoggedRead>,
    /// Number of reads that were dropped from the front.
    dropped: usize,
    /// Position up to which the reads were sent to each gateway.
    sent_to: collections::HashMap<usher_types::NodeName, usize>,
    /// Position up to which the reads were forwarded to other registrars.
    forwarded: usize,
}

impl PrefixLog {
    /// Adds reads that a gateway reported or a registrar forwarded.
    pub fn add(
        &mut self,
        sender: &usher_types::NodeName,
        is_forwarded: bool,
        reads: Vec<message::PartsRead>,
    ) {
        self.reads.extend(reads.into_iter().map(|read| LoggedRead {
            read,
            sender: sender.clone(),
            is_forwarded,
        }));
        let excess = self.reads.len().saturating_sub(MAX_READS);
        self.reads.drain(..excess);
        self.dropped += excess;
    }

    /// Returns the reads that have not been sent to a gateway yet, and marks them as sent; all that
    /// are kept on its first request.
    pub fn take_unsent(&mut self, gateway: &usher_types::NodeName) -> Vec<message::PartsRead> {
        if self.sent_to.len() >= MAX_GATEWAYS {
            self.sent_to.clear();
        }
        let end = self.dropped + self.reads.len();
        let from = self
            .sent_to
            .insert(gateway.clone(), end)
            .unwrap_or_default();
        let unsent = self.reads.iter().skip(from.saturating_sub(self.dropped));
        let unsent = unsent.filter(|logged| logged.sender != *gateway);
        unsent.map(|logged| logged.read).collect()
    }

    /// Returns the reads of this registrar's own gateways that have not been forwarded yet, and
    /// marks them as forwarded.
    pub fn take_unforwarded(&mut self) -> Vec<message::PartsRead> {
        let end = self.dropped + self.reads.len();
        let from = std::mem::replace(&mut self.forwarded, end);
        let unforwarded = self.reads.iter().skip(from.saturating_sub(self.dropped));
        let unforwarded = unforwarded.filter(|logged| !logged.is_forwarded);
        unforwarded.map(|logged| logged.read).collect()
    }
}
