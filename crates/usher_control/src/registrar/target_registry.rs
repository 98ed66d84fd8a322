//! Registers targets by their heartbeats and answers the watch requests of gateways.
//! Not for: the routes.

use std::{collections, sync, time};

use tokio::sync::watch;
use usher_wire::message;

use crate::{
    fleet, plan,
    registrar::{self, broken_calls, departure_copies, refused_sources},
};

/// Upper limit of the time that a watch request may wait for a change.
const MAX_WAIT: time::Duration = time::Duration::from_secs(5);

/// Longest time for which the acknowledgement of a target that leaves waits for disks and other
/// registrars. Targets wait for a second, part of which the way between regions takes.
const MAX_STORE_TIME: time::Duration = time::Duration::from_millis(700);

/// The engines of a service by domain.
pub(crate) type DomainTable =
    collections::BTreeMap<usher_types::DomainName, usher_scale::DomainEngines>;

/// The targets known to this registrar, with change notifications for watchers; cheap to clone.
#[derive(Clone, Debug)]
pub struct TargetRegistry<C> {
    feed: sync::Arc<sync::Mutex<usher_roster::RosterFeed>>,
    /// Sequence number of the last change of the feed.
    changes: sync::Arc<watch::Sender<u64>>,
    /// Sequence number of the last change by which a target stopped taking work.
    departures: sync::Arc<watch::Sender<u64>>,
    /// Sequence number up to which the changes are in the file that a restart reads.
    stored: sync::Arc<watch::Sender<u64>>,
    access: fleet::FleetAccess,
    departure_copies: departure_copies::DepartureCopies,
    /// Identifies the run of this process; a cursor of another run is not valid here.
    epoch: u64,
    domain: usher_types::DomainName,
    /// Version of the routes that gateways can fetch here.
    published_routes: watch::Receiver<u64>,
    broken_calls: broken_calls::BrokenCallRegistry<C>,
    refused: sync::Arc<sync::Mutex<refused_sources::RefusedSources>>,
    clock: C,
}

impl<C> TargetRegistry<C>
where
    C: usher_types::ClockSource,
{
    pub(crate) fn new(
        options: &registrar::RegistrarOptions,
        access: fleet::FleetAccess,
        departure_copies: departure_copies::DepartureCopies,
        clock: C,
        last_known: &message::LastKnown,
        published_routes: watch::Receiver<u64>,
        broken_calls: broken_calls::BrokenCallRegistry<C>,
    ) -> Self {
        let mut feed = usher_roster::RosterFeed::new(options.heartbeat);
        let wall = clock.wall();
        for beat in &last_known.targets {
            match usher_roster::TargetEntry::from_message(beat, wall) {
                Ok(entry) => feed.restore(entry, clock.now()),
                Err(error) => {
                    tracing::warn!(%error, "invalid target record in the last-known file")
                }
            }
        }
        Self {
            feed: sync::Arc::new(sync::Mutex::new(feed)),
            changes: sync::Arc::new(watch::Sender::new(0)),
            departures: sync::Arc::new(watch::Sender::new(0)),
            stored: sync::Arc::new(watch::Sender::new(0)),
            access,
            departure_copies,
            epoch: usher_types::IncarnationSource::random().get(),
            domain: options.domain.clone(),
            published_routes,
            broken_calls,
            refused: sync::Arc::default(),
            clock,
        }
    }

    /// Applies a heartbeat of a target.
    ///
    /// # Errors
    ///
    /// Fails when no sound process can have sent the heartbeat; what was known holds then.
    pub fn record_heartbeat(
        &self,
        entry: usher_roster::TargetEntry,
    ) -> Result<(), usher_roster::TargetEntryError> {
        entry.check(self.clock.wall())?;
        let now = self.clock.now();
        let reported = (entry.name.clone(), entry.phase, entry.address);
        let has_left = entry.has_left();
        let sequence = entry.sequence;
        if self.change(|feed| feed.record_heartbeat(entry, now)) {
            if has_left {
                self.mark_departure();
            }
            let (target, phase, address) = reported;
            tracing::info!(%target, ?phase, %address, sequence, "target changed");
        }
        Ok(())
    }

    /// Records that a target has ended; `born_ms` is the start time of the ended process, or 0 if
    /// unknown.
    ///
    /// # Errors
    ///
    /// Fails when no process can have that start.
    pub fn record_end(
        &self,
        target: &usher_types::TargetName,
        born_ms: u64,
    ) -> Result<(), usher_roster::TargetEntryError> {
        let ended = usher_roster::TargetEntry::ended(target.clone(), born_ms);
        ended.check(self.clock.wall())?;
        let now = self.clock.now();
        if self.change(|feed| feed.record_end(target, born_ms, now)) {
            self.mark_departure();
            tracing::info!(%target, born_ms, "target ended");
        }
        Ok(())
    }

    /// Logs that a record of a target was refused, once for each source.
    pub fn log_refusal<E>(&self, source: &str, error: &E)
    where
        E: std::fmt::Display,
    {
        let refused = self.refused.lock();
        let mut refused = refused.unwrap_or_else(sync::PoisonError::into_inner);
        if refused.record(source) {
            tracing::warn!(source, reason = %error, "target record refused");
        }
    }

    /// Records that a target has said in an answer to a gateway that it is leaving.
    pub(crate) fn record_leaving(
        &self,
        gateway: &usher_types::NodeName,
        target: &message::LeavingTarget,
    ) {
        let Ok(name) = target.name.parse() else {
            tracing::warn!(%gateway, target_name = target.name, "leaving target with an invalid name");
            return;
        };
        let now = self.clock.now();
        if self.change(|feed| feed.record_leaving(&name, target.born_ms, now)) {
            self.mark_departure();
            tracing::info!(
                target_name = %name, born_ms = target.born_ms, %gateway,
                "target is leaving, as a gateway has heard"
            );
        }
    }

    /// Merges a record that another registrar has sent.
    pub(crate) fn merge<N>(&self, from: &N, beat: &message::TargetBeat)
    where
        N: std::fmt::Display,
    {
        let entry = match usher_roster::TargetEntry::from_message(beat, self.clock.wall()) {
            Ok(entry) => entry,
            Err(error) => return self.log_refusal(&format!("{from} {}", beat.name), &error),
        };
        let now = self.clock.now();
        let has_left = entry.has_left();
        let changed = self.change(|feed| {
            let before = feed.last_change();
            feed.merge(entry, now);
            feed.last_change() != before
        });
        if changed && has_left {
            self.mark_departure();
        }
    }

    /// Marks targets whose heartbeats have stopped as silent.
    pub(crate) fn expire(&self) {
        let now = self.clock.now();
        let mut silent = Vec::new();
        self.change(|feed| {
            silent = feed.expire(now);
            !silent.is_empty()
        });
        for target in silent {
            tracing::warn!(%target, "target is silent");
        }
    }

    /// Returns the role changes that should be ordered now.
    pub(crate) fn plan_role_changes(
        &self,
        is_unconfirmed: impl Fn(&usher_types::TargetName) -> bool,
    ) -> Vec<plan::RoleAssignment> {
        let feed = self.lock();
        plan::plan_role_changes(feed.roster().iter(), |engine| {
            match feed.ordered_role(engine) {
                Some(role) => plan::RoleOrderState::Ordered(role),
                None if is_unconfirmed(engine) => plan::RoleOrderState::Unconfirmed,
                None => plan::RoleOrderState::Idle,
            }
        })
    }

    /// Announces to gateways that an engine takes no new calls until it reports its new role or
    /// `limit` has passed.
    pub(crate) fn begin_role_change(
        &self,
        assignment: &plan::RoleAssignment,
        limit: time::Duration,
    ) {
        let until = self.clock.now() + limit;
        self.change(|feed| {
            feed.begin_role_change(assignment.engine.name.clone(), assignment.role, until);
            true
        });
    }

    /// Announces to gateways that an engine keeps its role.
    pub(crate) fn end_role_change(&self, engine: &usher_types::TargetName) {
        self.change(|feed| feed.end_role_change(engine));
    }

    /// Returns the engines by service and domain.
    pub(crate) fn engines(&self) -> collections::HashMap<usher_types::ServiceName, DomainTable> {
        let feed = self.lock();
        let mut services = collections::HashMap::<_, DomainTable>::new();
        for entry in feed.roster().iter().filter(|entry| !entry.has_left()) {
            let domains = services.entry(entry.service.clone()).or_default();
            let engines = domains.entry(entry.domain.clone()).or_default();
            if entry.reclaimable {
                engines.reclaimable += 1;
                engines.reclaimable_ready += u32::from(entry.takes_work());
            } else {
                engines.lasting += 1;
            }
        }
        services
    }

    /// Returns the number of known targets that have not ended.
    pub fn target_count(&self) -> usize {
        let feed = self.lock();
        let live =
            |entry: &&usher_roster::TargetEntry| entry.phase != usher_roster::TargetPhase::Gone;
        feed.roster().iter().filter(live).count()
    }

    /// Returns the targets that a restart must know: those that accept calls, and those that have
    /// stopped to, as another registrar may have missed that.
    pub(crate) fn lasting_targets(&self) -> Vec<message::TargetBeat> {
        let feed = self.lock();
        let lasting = |entry: &&usher_roster::TargetEntry| entry.takes_work() || entry.has_left();
        let entries = feed.roster().iter().filter(lasting);
        entries.map(usher_roster::TargetEntry::to_message).collect()
    }

    /// Waits until the departure of a target may be acknowledged: until so many registrars have stored
    /// it that none uses the target again, also when all are restarted and as many as may be lost have
    /// lost their disks. Returns whether that was so within a time that the target waits.
    pub async fn departure_stored(&self, target: &usher_types::TargetName) -> bool {
        let entry = self.lock().roster().get(target).cloned();
        let Some(entry) = entry else {
            return true;
        };
        let copies = self
            .departure_copies
            .store(entry.to_message(), MAX_STORE_TIME);
        let (here, elsewhere) = tokio::join!(self.departures_stored_here(), copies);
        if !(here && elsewhere) {
            tracing::warn!(
                %target,
                here,
                elsewhere,
                max_ms = MAX_STORE_TIME.as_millis(),
                "target that leaves is not stored by enough registrars in time"
            );
        }
        here && elsewhere
    }

    /// Waits until all targets that have stopped taking work are in the file that a restart of this
    /// process reads; returns whether that was so in time, as a disk may stall.
    pub(crate) async fn departures_stored_here(&self) -> bool {
        let wanted = *self.departures.borrow();
        let mut stored = self.stored.subscribe();
        let is_stored = stored.wait_for(|stored| *stored >= wanted);
        let is_stored = tokio::time::timeout(MAX_STORE_TIME, is_stored).await;
        is_stored.is_ok()
    }

    fn mark_departure(&self) {
        self.departures.send_replace(self.last_change());
    }

    /// Returns the sequence number of the last change of the targets.
    pub(crate) fn last_change(&self) -> u64 {
        self.lock().last_change()
    }

    /// Returns a receiver that is notified of each target that stops taking work.
    pub(crate) fn watch_departures(&self) -> watch::Receiver<u64> {
        self.departures.subscribe()
    }

    /// Records that the changes up to a sequence number are in the file that a restart reads.
    pub(crate) fn mark_stored(&self, last_change: u64) {
        self.stored.send_replace(last_change);
    }

    /// Returns a receiver that is notified of each change of the targets.
    pub(crate) fn watch_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Answers a watch request as soon as there is a change since its cursor, or when its wait
    /// ends.
    pub(crate) async fn watch(&self, request: message::WatchRequest) -> message::WatchReply {
        let wait = time::Duration::from_millis(u64::from(request.wait_ms)).min(MAX_WAIT);
        let mut changes = self.changes.subscribe();
        let mut applied = self.access.watch_applied();
        let mut published = self.published_routes.clone();
        let mut broken_calls = self.broken_calls.watch_changes();
        let timeout = tokio::time::sleep(wait);
        tokio::pin!(timeout);
        loop {
            changes.mark_unchanged();
            applied.mark_unchanged();
            published.mark_unchanged();
            broken_calls.mark_unchanged();
            let (reply, has_changes) = self.reply(&request);
            if has_changes {
                return reply;
            }
            tokio::select! {
                () = &mut timeout => return reply,
                _ = changes.changed() => {}
                _ = applied.changed() => {}
                _ = published.changed() => {}
                _ = broken_calls.changed(), if request.own_targets_only => {}
            }
        }
    }

    fn reply(&self, request: &message::WatchRequest) -> (message::WatchReply, bool) {
        let is_known = request.epoch == self.epoch;
        let cursor = if is_known { request.cursor } else { 0 };
        let feed = self.lock();
        let targets: Vec<_> = feed
            .changes_since(cursor, request.own_targets_only)
            .map(usher_roster::TargetEntry::to_message)
            .collect();
        let last_change = feed.last_change();
        let known_role_changes = if request.all_role_changes { 0 } else { cursor };
        let role_changes = feed.role_changes_since(known_role_changes);
        drop(feed);
        let routes_version = *self.published_routes.borrow();
        let (members_index, members) = self.access.member_addresses(request.members_index);
        let (broken_calls, broken_calls_cursor) = if request.own_targets_only {
            let known = is_known.then_some(request.broken_calls_cursor);
            self.broken_calls.changes_since(known.unwrap_or_default())
        } else {
            Default::default()
        };
        let has_changes = !is_known
            || !broken_calls.is_empty()
            || !targets.is_empty()
            || role_changes.is_some()
            || routes_version != request.routes_version
            || members_index != request.members_index;
        let reply = message::WatchReply {
            epoch: self.epoch,
            cursor: last_change,
            targets,
            routes_version,
            members_index,
            members,
            domain: self.domain.to_string(),
            broken_calls,
            broken_calls_cursor,
            role_changes: role_changes.map(|engines| message::RoleChangeList {
                engines: engines.iter().map(ToString::to_string).collect(),
            }),
        };
        (reply, has_changes)
    }

    fn change(&self, change: impl FnOnce(&mut usher_roster::RosterFeed) -> bool) -> bool {
        let mut feed = self.lock();
        let changed = change(&mut feed);
        let last_change = feed.last_change();
        drop(feed);
        self.changes.send_if_modified(|known| {
            let newer = last_change > *known;
            *known = last_change;
            newer
        });
        changed
    }

    fn lock(&self) -> sync::MutexGuard<'_, usher_roster::RosterFeed> {
        self.feed
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
