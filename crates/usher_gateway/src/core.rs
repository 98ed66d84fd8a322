//! State that all calls of a gateway share. Not for: the handling of a call.

use std::{collections, net, sync, time};

use usher_place::{AdmissionPolicy, EnginePolicy, LoadTracker, PlainPolicy, RetryBudget};
use usher_roster::{TargetEntry, TargetRoster};

use crate::{
    answer, answer_buffer, call, dialect, line_limit, metrics, options, pool, server, stop_step,
    usage,
};

type ServiceIndex = collections::HashMap<usher_types::ServiceName, sync::Arc<Vec<TargetEntry>>>;

type RoleChanges =
    collections::HashMap<net::SocketAddr, collections::HashSet<usher_types::TargetName>>;

/// What connections of load balancers and of collectors of metrics may take.
const CHECK_BUDGET: usher_memory::MemoryBudget = usher_memory::MemoryBudget {
    bytes: 4 * 1_024 * 1_024,
    connections: 64,
};

/// State of a gateway; shared by its calls and by the watch on registrars.
#[derive(Debug)]
pub(crate) struct GatewayCore<D, C> {
    pub(crate) options: options::GatewayOptions,
    pub(crate) dialect: D,
    pub(crate) clock: C,
    pub(crate) pool: pool::TargetPool,
    pub(crate) answers: answer_buffer::AnswerTotal,
    /// What the connections of callers hold.
    pub(crate) memory: usher_intake::CallerMemory,
    /// What the connections of load balancers and of collectors of metrics hold.
    pub(crate) check_memory: usher_intake::CallerMemory,
    pub(crate) line_limit: line_limit::LineLimit,
    pub(crate) loads: LoadTracker,
    pub(crate) metrics: metrics::GatewayMetrics,
    pub(crate) engine_policy: sync::Mutex<EnginePolicy>,
    admissions: sync::Mutex<collections::HashMap<usher_types::ServiceName, AdmissionPolicy>>,
    plain_policies: sync::Mutex<collections::HashMap<usher_types::ServiceName, PlainPolicy>>,
    /// Number of gateways that share the budgets; 0 until it is known.
    gateways: sync::atomic::AtomicU32,
    budgets: sync::Mutex<collections::HashMap<usher_types::ServiceName, RetryBudget>>,
    routes: tokio::sync::watch::Sender<Option<sync::Arc<usher_route::RouteTable>>>,
    /// Client of the nearest reachable registrar.
    pub(crate) nearest_registrar: sync::Mutex<Option<usher_wire::CallClient>>,
    roster: sync::Mutex<TargetRoster>,
    /// Engines that take no new calls because their role is changing, by the registrar that reports
    /// them.
    role_changes: sync::Mutex<RoleChanges>,
    /// Targets that have told this gateway in an answer that they are leaving, with the start of the
    /// process that did.
    leaving: sync::Mutex<collections::BTreeMap<usher_types::TargetName, u64>>,
    services: sync::RwLock<sync::Arc<ServiceIndex>>,
    /// Step of a planned stop.
    pub(crate) stop_step: tokio::sync::watch::Sender<stop_step::StopStep>,
    /// Calls that broke at engines, and the prompt parts that are refused for that.
    pub(crate) quarantine: sync::Mutex<usher_quarantine::PartQuarantine>,
    /// Counts of teams' calls, where they are reported.
    pub(crate) usage: Option<usage::GatewayUsage>,
}

impl<D, C> GatewayCore<D, C>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    pub(crate) fn new(options: options::GatewayOptions, dialect: D, clock: C) -> Self {
        let quarantine = usher_quarantine::PartQuarantine::new(options.crash_lifetime);
        let usage = options.usage_window.map(usage::GatewayUsage::new);
        let answers = answer_buffer::AnswerTotal::new(options.caller_budget.bytes);
        let memory = usher_intake::CallerMemory::new("callers", options.caller_budget);
        let check_memory = usher_intake::CallerMemory::new("health", CHECK_BUDGET);
        Self {
            options,
            answers,
            memory,
            check_memory,
            line_limit: line_limit::LineLimit::default(),
            dialect,
            clock,
            pool: pool::TargetPool::default(),
            loads: LoadTracker::new(),
            metrics: metrics::GatewayMetrics::new(),
            engine_policy: sync::Mutex::default(),
            admissions: sync::Mutex::default(),
            plain_policies: sync::Mutex::default(),
            gateways: sync::atomic::AtomicU32::new(0),
            budgets: sync::Mutex::default(),
            routes: tokio::sync::watch::Sender::new(None),
            nearest_registrar: sync::Mutex::default(),
            roster: sync::Mutex::default(),
            role_changes: sync::Mutex::default(),
            leaving: sync::Mutex::default(),
            services: sync::RwLock::default(),
            stop_step: tokio::sync::watch::Sender::new(stop_step::StopStep::Serving),
            quarantine: sync::Mutex::new(quarantine),
            usage,
        }
    }

    /// Counts a call of a team that a target runs, once.
    pub(crate) fn count_usage(&self, call: &call::RoutedCall) {
        let (Some(usage), Some(team)) = (&self.usage, &call.team) else {
            return;
        };
        if call.begin_usage() {
            usage.count(team, &self.clock);
        }
    }

    /// Returns the active routes.
    pub(crate) fn routes(&self) -> Option<sync::Arc<usher_route::RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Returns the active routes; waits for the first ones up to a limit.
    pub(crate) async fn wait_for_routes(
        &self,
        limit: time::Duration,
    ) -> Option<sync::Arc<usher_route::RouteTable>> {
        let mut routes = self.routes.subscribe();
        let known = routes.wait_for(Option::is_some);
        let known = tokio::time::timeout(limit, known).await.ok()?.ok()?;
        known.clone()
    }

    /// Returns the limits of a connection of a caller, as the routes state them.
    pub(crate) fn connection_limits(&self) -> Option<usher_intake::ConnectionLimits> {
        let routes = self.routes()?;
        let limits = routes.limits();
        Some(usher_intake::ConnectionLimits {
            idle: limits.idle_timeout + limits.head_timeout,
            // Packets that are lost and sent again delay a head that was sent in time.
            head: limits.head_timeout * 2,
            write: limits.idle_timeout + limits.head_timeout,
            // Heads are counted without spaces that may be left out.
            head_bytes: (limits.head_bytes * 2).max(server::MIN_HEAD_BYTES),
        })
    }

    /// Returns the version of the active routes; 0 before the first ones.
    pub(crate) fn routes_version(&self) -> u64 {
        self.routes().map_or(0, |routes| routes.version().get())
    }

    /// Changes the active routes to a newer version; returns whether it is newer. The version never
    /// goes back.
    ///
    /// # Errors
    ///
    /// Fails as `change` does, which must then leave the routes as they are.
    pub(crate) fn update_routes<E>(
        &self,
        version: usher_types::ConfigVersion,
        change: impl FnOnce(&mut usher_route::RouteTable) -> Result<(), E>,
    ) -> Result<bool, E> {
        let mut changed = Ok(());
        let is_newer = self.routes.send_if_modified(|routes| {
            if routes
                .as_ref()
                .is_some_and(|known| version <= known.version())
            {
                return false;
            }
            let had_routes = routes.is_some();
            let mut table = routes.take().unwrap_or_default();
            // Copies the routes only while a call looks up its own.
            changed = change(sync::Arc::make_mut(&mut table));
            if changed.is_ok() {
                let version = i64::try_from(version.get()).unwrap_or(i64::MAX);
                self.metrics.routes_version.set(version);
            }
            *routes = (had_routes || changed.is_ok()).then_some(table);
            changed.is_ok()
        });
        changed.map(|()| is_newer)
    }

    /// Merges target entries that a registrar sent.
    pub(crate) fn merge_targets(&self, entries: Vec<TargetEntry>) {
        let now = self.clock.now();
        let mut roster = self
            .roster
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let mut changed = false;
        for entry in entries {
            let (target, phase, silent) = (entry.name.clone(), entry.phase, entry.silent);
            if roster.merge(entry, now) {
                changed = true;
                tracing::info!(%target, ?phase, silent, "target changed");
            }
        }
        if !changed {
            return;
        }
        roster.forget(now);
        self.index_targets(&roster);
        let is_known = |name: &usher_types::TargetName| {
            let entry = roster.get(name);
            entry.is_some_and(|entry| entry.phase != usher_roster::TargetPhase::Gone)
        };
        self.pool.prune(is_known);
        self.loads.retain_targets(is_known);
        self.loads.add_targets(
            roster
                .iter()
                .map(|entry| &entry.name)
                .filter(|name| is_known(name)),
        );
    }

    /// Replaces the list of engines whose role a registrar changes; `None` when the registrar can't
    /// be reached.
    pub(crate) fn set_role_changes(
        &self,
        registrar: net::SocketAddr,
        engines: Option<collections::HashSet<usher_types::TargetName>>,
    ) {
        let roster = self
            .roster
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let mut lists = self.lock_role_changes();
        let before = match engines {
            Some(engines) => lists.insert(registrar, engines),
            None => lists.remove(&registrar),
        };
        let changed = before.as_ref() != lists.get(&registrar);
        drop(lists);
        if changed {
            self.index_targets(&roster);
        }
    }

    /// Removes the lists of registrars that are no longer watched.
    pub(crate) fn retain_role_changes(&self, is_watched: impl Fn(&net::SocketAddr) -> bool) {
        let stale: Vec<_> = {
            let lists = self.lock_role_changes();
            let registrars = lists.keys().copied();
            registrars
                .filter(|registrar| !is_watched(registrar))
                .collect()
        };
        // Takes the lock of the lists itself.
        for registrar in stale {
            self.set_role_changes(registrar, None);
        }
    }

    /// Indexes by service the targets that take new calls.
    fn index_targets(&self, roster: &TargetRoster) {
        let lists = self.lock_role_changes();
        let is_changing = |entry: &TargetEntry| lists.values().any(|l| l.contains(&entry.name));
        let mut index = collections::HashMap::<_, Vec<_>>::new();
        for entry in roster.iter().filter(|entry| entry.takes_work()) {
            if !is_changing(entry) {
                let service = index.entry(entry.service.clone()).or_default();
                service.push(entry.clone());
            }
        }
        let count: usize = index.values().map(Vec::len).sum();
        self.metrics
            .targets
            .set(i64::try_from(count).unwrap_or(i64::MAX));
        let index: ServiceIndex = index
            .into_iter()
            .map(|(service, targets)| (service, sync::Arc::new(targets)))
            .collect();
        *self
            .services
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner) = sync::Arc::new(index);
    }

    fn lock_role_changes(&self) -> sync::MutexGuard<'_, RoleChanges> {
        self.role_changes
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the targets of a service that take work.
    pub(crate) fn targets(
        &self,
        service: &usher_types::ServiceName,
    ) -> sync::Arc<Vec<TargetEntry>> {
        let services = self.services.read();
        let services = services.unwrap_or_else(sync::PoisonError::into_inner);
        services.get(service).cloned().unwrap_or_default()
    }

    /// Returns whether calls that arrive are refused because the gateway stops.
    pub(crate) fn refuses_calls(&self) -> bool {
        *self.stop_step.borrow() != stop_step::StopStep::Serving
    }

    /// Waits until calls without an answer are given up because the gateway stops.
    pub(crate) async fn calls_end(&self) {
        let mut step = self.stop_step.subscribe();
        // The sender lives as long as this value.
        let _ = step
            .wait_for(|step| *step == stop_step::StopStep::Ending)
            .await;
    }

    /// Returns whether calls can be served.
    pub(crate) fn is_ready(&self) -> bool {
        let services = self.services.read();
        let has_targets = !services
            .unwrap_or_else(sync::PoisonError::into_inner)
            .is_empty();
        has_targets && self.routes().is_some()
    }

    /// Sets the number of gateways that share the budgets.
    pub(crate) fn set_gateways(&self, count: u32) {
        self.gateways.store(count, sync::atomic::Ordering::Relaxed);
        self.metrics.gateways.set(i64::from(count));
    }

    /// Gives access to the retry budget of a service.
    pub(crate) fn with_budget<T>(
        &self,
        service: &usher_types::ServiceName,
        use_budget: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self
            .budgets
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let fresh = || RetryBudget::new(self.options.retry_share, self.options.retry_slack);
        let budget = budgets.entry(service.clone()).or_insert_with(fresh);
        budget.set_gateways(self.gateways.load(sync::atomic::Ordering::Relaxed));
        use_budget(budget)
    }

    /// Gives access to the placement policy of a service's plain calls.
    pub(crate) fn with_plain_policy<T>(
        &self,
        service: &usher_types::ServiceName,
        use_policy: impl FnOnce(&mut PlainPolicy) -> T,
    ) -> T {
        let mut policies = self
            .plain_policies
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        use_policy(policies.entry(service.clone()).or_default())
    }

    /// Gives access to the admission policy of a service's model calls.
    pub(crate) fn with_admission<T>(
        &self,
        service: &usher_types::ServiceName,
        use_policy: impl FnOnce(&mut AdmissionPolicy, time::Instant) -> T,
    ) -> T {
        let mut admissions = self
            .admissions
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let now = self.clock.now();
        use_policy(admissions.entry(service.clone()).or_default(), now)
    }

    /// Gives access to the placement policy of model calls.
    pub(crate) fn with_engine_policy<T>(
        &self,
        use_policy: impl FnOnce(&mut EnginePolicy) -> T,
    ) -> T {
        let mut policy = self
            .engine_policy
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        use_policy(&mut policy)
    }

    /// Records what the head of an answer of a target, to a call or to a request of the gateway,
    /// says of the target itself: that it is leaving, or that it wants a pause.
    pub(crate) fn record_head(
        &self,
        target: &TargetEntry,
        status: http::StatusCode,
        headers: &http::HeaderMap,
        metadata: &dialect::AnswerMetadata,
    ) {
        // The answer is that of another target at this address.
        if metadata.wrong_target {
            return;
        }
        if metadata.leaving {
            self.mark_leaving(target);
        }
        if let Some(pause) = usher_answer::PauseRequest::of_head(status, headers) {
            let length = pause.length();
            self.loads.request_pause(target, length, self.clock.now());
            self.metrics.target_notified("pause");
            tracing::info!(
                target_name = %target.name,
                born_ms = target.born_ms,
                pause_ms = length.as_millis(),
                "target asked for a pause"
            );
        }
    }

    /// Stops sending new work to a target until a later start of it is known.
    fn mark_leaving(&self, target: &TargetEntry) {
        let mut roster = self
            .roster
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if !roster.mark_leaving(&target.name, target.born_ms, self.clock.now()) {
            return;
        }
        self.index_targets(&roster);
        drop(roster);
        self.metrics.target_notified("leaving");
        tracing::info!(
            target_name = %target.name,
            born_ms = target.born_ms,
            "target said in an answer that it is leaving"
        );
        self.lock_leaving()
            .insert(target.name.clone(), target.born_ms);
    }

    /// Returns the targets that have told this gateway that they are leaving, until they have ended
    /// or started again. Registrars are told of them again and again, because one that restarts may
    /// restore a target from a file as one that takes work.
    pub(crate) fn leaving_targets(&self) -> Vec<(usher_types::TargetName, u64)> {
        let roster = self
            .roster
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let mut leaving = self.lock_leaving();
        leaving.retain(|name, born_ms| {
            let entry = roster.get(name);
            entry.is_some_and(|entry| {
                entry.phase == usher_roster::TargetPhase::Leaving && entry.is_process(*born_ms)
            })
        });
        let targets = leaving.iter();
        targets
            .map(|(name, born_ms)| (name.clone(), *born_ms))
            .collect()
    }

    fn lock_leaving(
        &self,
    ) -> sync::MutexGuard<'_, collections::BTreeMap<usher_types::TargetName, u64>> {
        self.leaving
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the refusal of a call that no target has run and none can run now; `reason` is that
    /// of the last target that refused it.
    pub(crate) fn not_run(
        &self,
        service: &usher_types::ServiceName,
        reason: Option<String>,
    ) -> answer::CallRefusal {
        let targets = self.targets(service);
        let view = self.view(&targets, &[], &self.options.domain);
        let service = service.clone();
        match (view.service_pause_end(), reason) {
            (Some(end), _) => answer::CallRefusal::Paused {
                service,
                left: end.saturating_duration_since(view.now),
            },
            (None, Some(reason)) => answer::CallRefusal::NotRun(reason),
            (None, None) => answer::CallRefusal::NoTarget { service },
        }
    }

    /// Records that a target couldn't be reached, or broke off its answer.
    pub(crate) fn record_lost(&self, target: &usher_types::TargetName) {
        let now = self.clock.now();
        let lost = usher_place::TargetFailure::Lost;
        self.loads.record_failure(target, lost, now);
    }

    /// Returns the distance of a target from this gateway.
    pub(crate) fn distance(&self, target: &TargetEntry) -> usher_place::TargetDistance {
        let options = &self.options;
        options.map.between(&options.domain, &target.domain)
    }

    /// Makes the view from which a target of a service is chosen.
    pub(crate) fn view<'t>(
        &'t self,
        targets: &'t [TargetEntry],
        tried: &'t [usher_types::TargetName],
        from: &'t usher_types::DomainName,
    ) -> usher_place::PlacementView<'t> {
        usher_place::PlacementView {
            targets,
            tried,
            loads: &self.loads,
            map: &self.options.map,
            from,
            now: self.clock.now(),
        }
    }
}
