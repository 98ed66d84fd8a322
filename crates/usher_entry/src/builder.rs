//! Builds an entry from its components.
//!
//! Not for: running it.

use std::{io, sync};

use usher_policy::{EntryPolicy, RouteSettings};
use usher_types::SystemClock;

use crate::{
    client, config, connection_pool, core, explain, identity, link, metrics, node, options,
    outcome, policy, right, routing, types,
};

/// Collects the components of an entry and starts it.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// use usher_entry::{EntryBuilder, EntryOptions, MemoryControl};
/// use usher_kernel::StopSource;
/// let control = MemoryControl::new();
/// let (source, signal) = StopSource::new();
/// let options = EntryOptions::new("entry-1", "south-a");
/// let node = EntryBuilder::new(options, control.link()).start(signal).await.unwrap();
/// assert_ne!(node.address().port(), 0);
/// # drop(source);
/// # });
/// ```
pub struct EntryBuilder<L, C = SystemClock, O = outcome::NullOutcomes, D = EntryPolicy> {
    options: options::EntryOptions,
    link: L,
    clock: C,
    outcomes: O,
    policy: D,
    metrics: metrics::EntryMetrics,
}

impl<L> EntryBuilder<L>
where
    L: link::ControlLink,
{
    /// Creates a builder with the system clock and the default policy, without outcomes and
    /// metrics.
    pub fn new(options: options::EntryOptions, link: L) -> Self {
        let settings = RouteSettings::new(options.region.as_str())
            // Entries with equal seeds would choose the same targets.
            .with_seed(options.incarnation.get());
        Self {
            options,
            link,
            clock: SystemClock,
            outcomes: outcome::NullOutcomes,
            policy: EntryPolicy::new(settings),
            metrics: metrics::EntryMetrics::none(),
        }
    }
}

impl<L, C, O, D> EntryBuilder<L, C, O, D>
where
    L: link::ControlLink,
    C: usher_types::ClockSource,
    O: outcome::OutcomeSink,
    D: policy::DecisionPolicy,
{
    /// Sets the clock.
    pub fn with_clock<T>(self, clock: T) -> EntryBuilder<L, T, O, D> {
        EntryBuilder {
            options: self.options,
            link: self.link,
            clock,
            outcomes: self.outcomes,
            policy: self.policy,
            metrics: self.metrics,
        }
    }

    /// Sets the sink for outcomes.
    pub fn with_outcomes<T>(self, outcomes: T) -> EntryBuilder<L, C, T, D> {
        EntryBuilder {
            options: self.options,
            link: self.link,
            clock: self.clock,
            outcomes,
            policy: self.policy,
            metrics: self.metrics,
        }
    }

    /// Sets the decision policy.
    pub fn with_policy<T>(self, policy: T) -> EntryBuilder<L, C, O, T> {
        EntryBuilder {
            options: self.options,
            link: self.link,
            clock: self.clock,
            outcomes: self.outcomes,
            policy,
            metrics: self.metrics,
        }
    }

    /// Sets the client that metrics are sent to.
    #[must_use]
    pub fn with_metrics(mut self, client: cadence::StatsdClient) -> Self {
        self.metrics = metrics::EntryMetrics::new(client);
        self
    }

    /// Starts the entry in the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(
        self,
        stop: usher_kernel::StopSignal,
    ) -> io::Result<node::EntryNode<types::TypeSet<L, C, O, D>>> {
        let memory = usher_intake::CallerMemory::new("callers", self.options.caller_budget);
        let core = core::EntryCore {
            memory,
            right: right::RoutingRight::new(self.clock.now()),
            routing: sync::Mutex::new(routing::RoutingState::new(self.policy, &self.options)),
            config: config::ConfigStore::new(),
            client: client::TargetClient::new(self.options.connect_timeout),
            connections: connection_pool::ConnectionPool::new(self.options.connect_timeout),
            records: explain::RecordRing::new(),
            ids: identity::IdSource::new(self.options.incarnation),
            drain_started_at: sync::OnceLock::new(),
            running: sync::atomic::AtomicUsize::new(0),
            quarantine: sync::Mutex::new(usher_quarantine::PartQuarantine::new(
                self.options.crash_lifetime,
            )),
            options: self.options,
            clock: self.clock,
            link: self.link,
            outcomes: self.outcomes,
            metrics: self.metrics,
            stop,
        };
        node::EntryNode::start(core).await
    }
}
