//! Compares the sheet with the registry and plans as few orders as possible. Not for: sending them.

use std::collections;

use usher_types::EngineRole;
use usher_wire::message;

/// Roles in the order in which shortages are resolved.
const ROLES: [EngineRole; 3] = [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];

/// Limits of a plan.
#[derive(Clone, Copy, Debug)]
pub struct PlanRules {
    /// Maximum number of engines per service with an order in flight.
    pub per_service: usize,
    /// Disabled only by tests that show what the floor prevents.
    #[doc(hidden)]
    pub keep_floor: bool,
}

impl PlanRules {
    /// Creates rules with a maximum number of engines per service with an order in flight.
    pub fn new(per_service: usize) -> Self {
        Self {
            per_service,
            keep_floor: true,
        }
    }
}

impl Default for PlanRules {
    fn default() -> Self {
        Self::new(1)
    }
}

/// Input of a plan.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// The planners' sheet.
    pub sheet: &'a usher_config::FleetSheet,
    /// Registered targets that are not gone.
    pub targets: &'a [message::TargetRecord],
    /// Engines with an order in flight.
    pub busy: &'a collections::BTreeSet<String>,
    /// Engines that get no orders for now, for example because their last order just failed.
    pub backing_off: &'a collections::BTreeSet<String>,
}

usher_types::value_type! {
    /// An order that reduces the difference between the fleet and the sheet.
    pub struct PlannedOrder {
        /// Service of the engine.
        pub service: usher_types::ServiceName,
        /// Intent to propose.
        pub intent: message::OrderIntent,
    }
}

/// Plans the next orders, without falling below the floor of a row, and for one engine per service
/// at a time unless the rules allow more.
///
/// Loads are planned before role changes, because an engine without the model can't serve any
/// calls.
pub fn plan_fleet(view: FleetView<'_>, rules: PlanRules) -> Vec<PlannedOrder> {
    let mut plan = Vec::new();
    for service in view.sheet.services() {
        let ordered = view
            .targets
            .iter()
            .filter(|target| target.service == service.as_str() && view.busy.contains(&target.name))
            .count();
        let mut slots = rules.per_service.saturating_sub(ordered);
        let rows = view.sheet.service_rows(service);
        for row in rows.filter(|row| row.kind == usher_types::TargetKind::Engine) {
            let mut fleet = RowFleet::new(row, view, rules);
            while slots > 0 {
                let Some(intent) = fleet.next_order() else {
                    break;
                };
                slots -= 1;
                fleet.apply(&intent);
                plan.push(PlannedOrder {
                    service: service.clone(),
                    intent,
                });
            }
        }
    }
    plan
}

/// The engines of one row while orders are planned for them.
struct RowFleet<'a> {
    row: &'a usher_config::SheetRow,
    engines: Vec<&'a message::TargetRecord>,
    under_order: collections::BTreeSet<String>,
    backing_off: &'a collections::BTreeSet<String>,
    keep_floor: bool,
    roles: collections::BTreeMap<EngineRole, u32>,
}

impl<'a> RowFleet<'a> {
    fn new(row: &'a usher_config::SheetRow, view: FleetView<'a>, rules: PlanRules) -> Self {
        let engines: Vec<_> = view
            .targets
            .iter()
            .filter(|target| {
                target.kind == row.kind.to_string()
                    && target.service == row.service.as_str()
                    && target.region == row.region.as_str()
                    && !target.leaving
            })
            .collect();
        let mut roles = collections::BTreeMap::new();
        for engine in &engines {
            *roles.entry(role_of(engine)).or_insert(0) += 1;
        }
        Self {
            row,
            engines,
            under_order: view.busy.clone(),
            backing_off: view.backing_off,
            keep_floor: rules.keep_floor,
            roles,
        }
    }

    fn count(&self, role: EngineRole) -> u32 {
        self.roles.get(&role).copied().unwrap_or(0)
    }

    fn is_free(&self, engine: &message::TargetRecord) -> bool {
        !self.under_order.contains(&engine.name) && !self.backing_off.contains(&engine.name)
    }

    /// Returns whether the engine can serve calls now.
    fn serves(&self, engine: &message::TargetRecord) -> bool {
        let model = engine.shape.as_ref().map(|shape| shape.model.as_str());
        !self.under_order.contains(&engine.name) && model.is_some_and(|model| !model.is_empty())
    }

    /// Returns whether the floor holds while the engine is under order.
    fn keeps_floor(&self, engine: &message::TargetRecord) -> bool {
        let serving = self.engines.iter().filter(|other| self.serves(other));
        let serving = serving.count() as u32;
        !self.keep_floor || !self.serves(engine) || serving > self.row.floor
    }

    /// Accounts for a planned order.
    fn apply(&mut self, intent: &message::OrderIntent) {
        let count = |fleet: &Self| {
            let serving = fleet.engines.iter().filter(|one| fleet.serves(one));
            serving.count() as u32
        };
        let before = count(self);
        self.under_order.insert(intent.engine.clone());
        let after = count(self);
        usher_types::invariant!(
            "plan.floor",
            after == before || after >= self.row.floor,
            "an order to {} leaves {after} engines in service, the floor is {}",
            intent.engine,
            self.row.floor
        );
        if intent.kind() != message::OrderKind::Role {
            return;
        }
        let engine = self.engines.iter().find(|one| one.name == intent.engine);
        let role = intent
            .shape
            .as_ref()
            .and_then(|shape| shape.role.parse().ok());
        if let (Some(engine), Some(role)) = (engine, role) {
            let from = self.roles.entry(role_of(engine)).or_insert(0);
            *from = from.saturating_sub(1);
            *self.roles.entry(role).or_insert(0) += 1;
        }
    }

    fn next_order(&self) -> Option<message::OrderIntent> {
        self.next_load().or_else(|| self.next_role())
    }

    fn next_load(&self) -> Option<message::OrderIntent> {
        let free = self.engines.iter().filter(|engine| self.is_free(engine));
        let mut orders: Vec<_> = free
            .filter(|engine| self.keeps_floor(engine))
            .filter_map(|engine| Some((self.serves(engine), self.load_order(engine)?)))
            .collect();
        // Engines that don't serve calls come first.
        orders.sort_by_key(|(serves, _)| *serves);
        orders.into_iter().map(|(_, intent)| intent).next()
    }

    /// Returns the load order that an engine needs; adapters are loaded one at a time.
    fn load_order(&self, engine: &message::TargetRecord) -> Option<message::OrderIntent> {
        let shape = engine.shape.clone().unwrap_or_default();
        let model = self.row.model.as_ref()?.to_string();
        let version = self.row.version.as_ref()?.to_string();
        let same = shape.model == model && shape.version == version;
        let missing = self
            .row
            .adapters
            .iter()
            .find(|adapter| !shape.adapters.iter().any(|one| one == adapter.as_str()));
        let (adapters, reason) = match (same, missing) {
            (false, _) => (Vec::new(), format!("the sheet wants {model} {version}")),
            (true, Some(adapter)) => (
                vec![adapter.to_string()],
                format!("the sheet wants adapter {adapter}"),
            ),
            (true, None) => return None,
        };
        let shape = message::EngineShape {
            model,
            version,
            adapters,
            role: shape.role,
        };
        Some(intent(engine, message::OrderKind::Load, shape, reason))
    }

    fn next_role(&self) -> Option<message::OrderIntent> {
        let missing = ROLES
            .into_iter()
            .find(|role| self.count(*role) < self.row.range(*role).min);
        if let Some(role) = missing {
            return self.fill_role(role, |count, range| count > range.min);
        }
        // Every role has its minimum; only engines above the maximum of their role still change, to
        // a role that is below its maximum.
        ROLES
            .into_iter()
            .filter(|role| self.count(*role) < self.row.range(*role).max)
            .find_map(|role| self.fill_role(role, |count, range| count > range.max))
    }

    /// Plans a change to `role` for an engine of the role with the largest excess, among the roles
    /// for which `can_spare` holds.
    fn fill_role(
        &self,
        role: EngineRole,
        can_spare: impl Fn(u32, usher_config::CountRange) -> bool,
    ) -> Option<message::OrderIntent> {
        let mut sources: Vec<_> = ROLES
            .into_iter()
            .filter(|other| *other != role)
            .filter(|other| can_spare(self.count(*other), self.row.range(*other)))
            .collect();
        sources.sort_by_key(|other| {
            let excess = i64::from(self.count(*other)) - i64::from(self.row.range(*other).max);
            std::cmp::Reverse(excess)
        });
        sources.into_iter().find_map(|source| {
            let engine = self.engines.iter().find(|engine| {
                role_of(engine) == source && self.is_free(engine) && self.keeps_floor(engine)
            })?;
            let shape = message::EngineShape {
                role: role.to_string(),
                ..engine.shape.clone().unwrap_or_default()
            };
            let reason = format!("the sheet wants {} {role}", self.row.range(role));
            Some(intent(engine, message::OrderKind::Role, shape, reason))
        })
    }
}

fn role_of(engine: &message::TargetRecord) -> EngineRole {
    let shape = engine.shape.as_ref();
    shape
        .and_then(|shape| shape.role.parse().ok())
        .unwrap_or_default()
}

fn intent(
    engine: &message::TargetRecord,
    kind: message::OrderKind,
    shape: message::EngineShape,
    reason: String,
) -> message::OrderIntent {
    message::OrderIntent {
        engine: engine.name.clone(),
        incarnation: engine.incarnation,
        kind: kind.into(),
        shape: Some(shape),
        reason,
    }
}
