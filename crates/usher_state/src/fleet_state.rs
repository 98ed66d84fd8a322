//! The replicated state machine. Not for: proposing commands.

use prost::Message as _;
use usher_wire::message::{self, state_command, state_outcome};

use crate::{
    claim_table, config_state, history, mechanism, order_table, route_state, snapshot,
    target_table, usage_state, violation_log,
};

/// Holds the configuration, routes, claims, orders, targets and usage; only committed commands change it.
///
/// ```
/// use usher_replica::StateMachine as _;
/// let mut state = usher_state::FleetState::new();
/// let copy = state.snapshot();
/// state.restore(&copy).unwrap();
/// assert_eq!(state.config().version(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    now_ms: u64,
    index: u64,
    config: config_state::ConfigState,
    routes: route_state::RouteState,
    claims: claim_table::ClaimTable,
    orders: order_table::OrderTable,
    targets: target_table::TargetTable,
    usage: usage_state::UsageState,
    history: history::HistoryRing,
    claim_history: history::HistoryRing,
    violations: violation_log::ViolationLog,
    disabled: Option<mechanism::StateMechanism>,
}

impl FleetState {
    /// Creates an empty state.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty state with one mechanism disabled, for tests of the invariants.
    #[doc(hidden)]
    pub fn without(mechanism: mechanism::StateMechanism) -> Self {
        Self {
            disabled: Some(mechanism),
            ..Self::default()
        }
    }

    /// Returns the time of the state, in ms since 1970.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the log index of the newest applied command.
    pub fn index(&self) -> usher_types::LogIndex {
        usher_types::LogIndex::new(self.index)
    }

    /// Returns the configuration.
    pub fn config(&self) -> &config_state::ConfigState {
        &self.config
    }

    /// Returns the current routes.
    pub fn routes(&self) -> &route_state::RouteState {
        &self.routes
    }

    /// Returns the claims.
    pub fn claims(&self) -> &claim_table::ClaimTable {
        &self.claims
    }

    /// Returns the orders.
    pub fn orders(&self) -> &order_table::OrderTable {
        &self.orders
    }

    /// Returns the targets.
    pub fn targets(&self) -> &target_table::TargetTable {
        &self.targets
    }

    /// Returns the fixed usage.
    pub fn usage(&self) -> &usage_state::UsageState {
        &self.usage
    }

    /// Returns the recorded events of a subject, such as a request, target or entry, oldest first.
    pub fn explain(&self, subject: &str) -> Vec<history::HistoryRecord> {
        let mut records: Vec<_> = self
            .history
            .iter()
            .chain(self.claim_history.iter())
            .filter(|record| record.subject == subject)
            .cloned()
            .collect();
        records.sort_by_key(|record| record.index);
        records
    }

    /// Returns the names of the invariants whose violation this state machine has detected.
    pub fn violations(&self) -> Vec<&'static str> {
        let parts = [
            &self.violations,
            &self.config.violations,
            &self.claims.violations,
            &self.orders.violations,
            &self.targets.violations,
        ];
        parts
            .into_iter()
            .flat_map(|log| log.names().iter().copied())
            .collect()
    }

    /// Applies a decoded command.
    pub fn apply_command(
        &mut self,
        index: usher_types::LogIndex,
        command: message::StateCommand,
    ) -> message::StateOutcome {
        self.index = index.get();
        self.advance_time(command.at_ms);
        let kind = match command.kind {
            Some(kind) => self.apply_kind(kind),
            None => refused("command has no kind"),
        };
        message::StateOutcome { kind: Some(kind) }
    }

    fn advance_time(&mut self, at_ms: u64) {
        let clamp = mechanism::is_enabled(self.disabled, mechanism::StateMechanism::StateTime);
        let next = if clamp { at_ms.max(self.now_ms) } else { at_ms };
        violation_log::check!(
            self.violations,
            "state.time_goes_forward",
            next >= self.now_ms,
            "time of the state went back from {} to {next}",
            self.now_ms
        );
        self.now_ms = next;
    }

    fn apply_kind(&mut self, kind: state_command::Kind) -> state_outcome::Kind {
        match kind {
            state_command::Kind::ConfigChange(change) => self.change_config(change),
            state_command::Kind::ClaimCall(call) => self.claim(&call),
            state_command::Kind::FinishClaim(finish) => self.finish_claim(finish),
            state_command::Kind::OrderIntent(intent) => self.start_order(intent),
            state_command::Kind::OrderResult(result) => self.finish_order(result),
            state_command::Kind::AnnounceTarget(record) => self.announce(record),
            state_command::Kind::MarkTarget(mark) => self.mark(&mark),
            state_command::Kind::ExpireClaims(expire) => self.expire(&expire),
            state_command::Kind::PutRoutes(put) => self.put_routes(put),
            state_command::Kind::FixUsage(fix) => state_outcome::Kind::Usage(self.usage.fix(fix)),
        }
    }

    fn put_routes(&mut self, put: message::RoutePut) -> state_outcome::Kind {
        let version = put.version;
        let outcome = self.routes.put(put);
        if outcome.changed {
            self.record_event("routes", format!("version {version} is in force"));
        }
        state_outcome::Kind::Routes(outcome)
    }

    fn change_config(&mut self, change: message::ConfigChange) -> state_outcome::Kind {
        let operator = change.operator.clone();
        let request_id = change.request_id.clone();
        match self.config.change(change, self.disabled) {
            Ok(outcome) => {
                let outcome_text = match (outcome.accepted, outcome.repeated) {
                    (true, false) => "accepted as",
                    (false, false) => "conflicts with",
                    (_, true) => "was answered already; first answer named",
                };
                let text = format!(
                    "change of {operator} {outcome_text} version {}",
                    outcome.version
                );
                if outcome.accepted && !outcome.repeated {
                    self.record_event("config", text.clone());
                }
                self.record_event(&request_id, text);
                state_outcome::Kind::Config(outcome)
            }
            Err(reason) => refused(&reason),
        }
    }

    fn claim(&mut self, call: &message::ClaimCall) -> state_outcome::Kind {
        match self.claims.claim(call, self.now_ms, self.disabled) {
            Ok(reply) => {
                let text = format!("claim answered {}", reply.state().as_str_name());
                self.record_claim_event(&call.request_id, text);
                state_outcome::Kind::Claim(reply)
            }
            Err(reason) => refused(&reason),
        }
    }

    fn finish_claim(&mut self, finish: message::FinishClaim) -> state_outcome::Kind {
        let request_id = finish.request_id.clone();
        let kind = finish.kind();
        match self.claims.finish(finish, self.now_ms, self.disabled) {
            Ok(()) => {
                self.record_claim_event(&request_id, format!("claim ended {}", kind.as_str_name()));
                done()
            }
            Err(reason) => refused(&reason),
        }
    }

    fn expire(&mut self, expire: &message::ExpireClaims) -> state_outcome::Kind {
        let count = self.claims.expire(&expire.gone, self.now_ms, self.disabled);
        for entry in &expire.gone {
            let text = format!("incarnation {} is gone", entry.incarnation);
            self.record_event(&entry.name, text);
        }
        if count > 0 {
            tracing::info!(
                count,
                "running claims of entries that are gone were set to unknown"
            );
        }
        done()
    }

    fn start_order(&mut self, intent: message::OrderIntent) -> state_outcome::Kind {
        let engine = intent.engine.clone();
        let text = format!(
            "order {} for incarnation {}: {}",
            intent.kind().as_str_name(),
            intent.incarnation,
            intent.reason
        );
        let outcome = self.orders.start(
            self.index,
            self.now_ms,
            intent,
            &self.targets,
            self.disabled,
        );
        if outcome.accepted {
            self.record_event(&engine, format!("{text} (fence {})", outcome.fence));
        }
        state_outcome::Kind::Order(outcome)
    }

    fn finish_order(&mut self, result: message::OrderResult) -> state_outcome::Kind {
        let engine = result.engine.clone();
        let outcome_text = if result.succeeded { "done" } else { "failed" };
        let text = format!("order {} {outcome_text}: {}", result.fence, result.detail);
        match self.orders.finish(self.now_ms, result, self.disabled) {
            Ok(()) => {
                self.record_event(&engine, text);
                done()
            }
            Err(reason) => refused(&reason),
        }
    }

    fn announce(&mut self, record: message::TargetRecord) -> state_outcome::Kind {
        let name = record.name.clone();
        let text = format!(
            "announced incarnation {} at {}{}",
            record.incarnation,
            record.address,
            if record.leaving { ", leaving" } else { "" }
        );
        match self.targets.announce(record, self.disabled) {
            Ok(true) => {
                self.record_event(&name, text);
                done()
            }
            Ok(false) => done(),
            Err(reason) => refused(&reason),
        }
    }

    fn mark(&mut self, mark: &message::TargetMark) -> state_outcome::Kind {
        match self.targets.mark(mark) {
            Ok(true) => {
                let state = if mark.gone { "gone" } else { "leaving" };
                self.record_event(&mark.name, format!("marked {state} by {:?}", mark.operator));
                done()
            }
            Ok(false) => done(),
            Err(reason) => refused(&reason),
        }
    }

    fn record_event(&mut self, subject: &str, text: String) {
        let record = self.new_record(subject, text);
        self.history.push(record);
    }

    // Claims are hundreds of times more frequent than other events, so they have a ring buffer of
    // their own and don't evict the other events.
    fn record_claim_event(&mut self, subject: &str, text: String) {
        let record = self.new_record(subject, text);
        self.claim_history.push(record);
    }

    fn new_record(&self, subject: &str, text: String) -> history::HistoryRecord {
        history::HistoryRecord {
            index: self.index,
            at_ms: self.now_ms,
            subject: subject.to_owned(),
            text,
        }
    }

    fn load(part: snapshot::StatePart) -> Result<Self, String> {
        let targets = part.targets.ok_or("targets are missing")?;
        let config = part.config.ok_or("configuration is missing")?;
        let claims = part.claims.ok_or("claims are missing")?;
        let orders = part.orders.ok_or("orders are missing")?;
        Ok(Self {
            now_ms: part.now_ms,
            index: part.index,
            config: config_state::ConfigState::load(config)?,
            routes: part
                .routes
                .map(route_state::RouteState::load)
                .unwrap_or_default(),
            claims: claim_table::ClaimTable::load(claims)?,
            orders: order_table::OrderTable::load(orders)?,
            targets: target_table::TargetTable::load(targets)?,
            usage: usage_state::UsageState::load(part.usage),
            history: part.history.into_iter().collect(),
            claim_history: part.claim_history.into_iter().collect(),
            ..Self::default()
        })
    }
}

impl usher_replica::StateMachine for FleetState {
    fn apply(&mut self, index: usher_types::LogIndex, command: &[u8]) -> Vec<u8> {
        let outcome = match message::StateCommand::decode(command) {
            Ok(command) => self.apply_command(index, command),
            Err(error) => message::StateOutcome {
                kind: Some(refused(&format!("invalid state command: {error}"))),
            },
        };
        outcome.encode_to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        snapshot::encode(&snapshot::StatePart {
            now_ms: self.now_ms,
            index: self.index,
            config: Some(self.config.save()),
            routes: Some(self.routes.save()),
            claims: Some(self.claims.save()),
            orders: Some(self.orders.save()),
            targets: Some(self.targets.save()),
            history: self.history.iter().cloned().collect(),
            claim_history: self.claim_history.iter().cloned().collect(),
            usage: self.usage.save(),
        })
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), usher_replica::RestoreError> {
        let part = snapshot::decode(bytes).map_err(usher_replica::RestoreError)?;
        let mut state = Self::load(part).map_err(usher_replica::RestoreError)?;
        state.disabled = self.disabled;
        // Violations belong to this process and not to the state, so a restore keeps them.
        state.violations = self.violations.clone();
        state.config.violations = self.config.violations.clone();
        state.claims.violations = self.claims.violations.clone();
        state.orders.violations = self.orders.violations.clone();
        state.targets.violations = self.targets.violations.clone();
        *self = state;
        Ok(())
    }
}

fn refused(reason: &str) -> state_outcome::Kind {
    state_outcome::Kind::Refused(reason.to_owned())
}

fn done() -> state_outcome::Kind {
    state_outcome::Kind::Done(message::Ack {})
}
