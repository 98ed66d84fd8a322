//! Which engines have read shared parts of prompts, as gateways tell it, for the others.
//! Not for: choosing engines.

use std::collections;

use usher_wire::message;

/// Most reads that are kept; a gateway that asks every 100 ms gets all of them at 10,000 new reads
/// a second.
const MAX_READS: usize = 4_096;

/// Most senders whose place in the log is kept; more than there are gateways and registrars.
const MAX_SENDERS: usize = 2_000;

#[derive(Clone, Debug)]
struct LoggedRead {
    read: message::PartsRead,
    sender: usher_types::NodeName,
    /// Whether another registrar passed it on.
    is_passed: bool,
}

/// The newest reads in the order of their arrival, and how far each gateway has them.
///
/// A registrar keeps one: gateways tell it what their calls made engines read, and get what others
/// told; registrars pass on what their own gateways told.
#[derive(Clone, Debug, Default)]
pub struct ReadLog {
    reads: collections::VecDeque<LoggedRead>,
    /// Number of reads that were dropped from the front.
    dropped: usize,
    told: collections::HashMap<usher_types::NodeName, usize>,
    /// How far other registrars have them.
    passed: usize,
}

impl ReadLog {
    /// Adds what a gateway told, or what a registrar passes on.
    pub fn add(
        &mut self,
        sender: &usher_types::NodeName,
        is_passed: bool,
        reads: Vec<message::PartsRead>,
    ) {
        self.reads.extend(reads.into_iter().map(|read| LoggedRead {
            read,
            sender: sender.clone(),
            is_passed,
        }));
        let excess = self.reads.len().saturating_sub(MAX_READS);
        self.reads.drain(..excess);
        self.dropped += excess;
    }

    /// Returns what a gateway hasn't been told yet; all that is kept when it asks first.
    pub fn take_unsent(&mut self, gateway: &usher_types::NodeName) -> Vec<message::PartsRead> {
        if self.told.len() >= MAX_SENDERS {
            self.told.clear();
        }
        let end = self.dropped + self.reads.len();
        let from = self.told.insert(gateway.clone(), end).unwrap_or_default();
        let news = self.reads.iter().skip(from.saturating_sub(self.dropped));
        let news = news.filter(|logged| logged.sender != *gateway);
        news.map(|logged| logged.read).collect()
    }

    /// Returns the reads of gateways that report here and that other registrars don't have yet.
    pub fn take_unforwarded(&mut self) -> Vec<message::PartsRead> {
        let end = self.dropped + self.reads.len();
        let from = std::mem::replace(&mut self.passed, end);
        let news = self.reads.iter().skip(from.saturating_sub(self.dropped));
        let news = news.filter(|logged| !logged.is_passed);
        news.map(|logged| logged.read).collect()
    }
}
