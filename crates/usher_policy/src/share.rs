//! Divides capacity fairly by weighted max-min over cooperative, firm and team. Not for: routing.

use std::{collections, time};

use usher_types::{FirmName, TeamName, WorkClass};

/// Time constant over which recent usage decays to about a third. One entry sees a few calls of a
/// small firm per second; over a shorter time their noise looks like unfair usage.
const USAGE_TIME_CONSTANT: time::Duration = time::Duration::from_secs(30);
/// Calls of average size that a team may have above its share. One entry sees only a few calls of
/// a team, and one more or less must not count as unfair.
const TOLERATED_CALLS: f64 = 4.0;
/// Weight of a new call in the average work of a call.
const WORK_GAIN: f64 = 0.02;
/// Idle time after which firms and teams are evicted.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(120);
/// Interval between evictions of idle accounts.
const EVICTION_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Divides `capacity` by weighted max-min fairness: no demand gets more than it requests, and the
/// capacity that one leaves is divided among the others by weight.
///
/// ```
/// let parts = usher_policy::max_min_shares(10.0, &[(2.0, 1.0), (9.0, 1.0), (9.0, 1.0)]);
/// assert_eq!(parts, vec![2.0, 4.0, 4.0]);
/// ```
pub fn max_min_shares(capacity: f64, demands: &[(f64, f64)]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let need = |index: &usize| demands[*index].0 / demands[*index].1.max(f64::MIN_POSITIVE);
    order.sort_by(|a, b| need(a).total_cmp(&need(b)).then(a.cmp(b)));
    let mut parts = vec![0.0; demands.len()];
    let mut left = capacity.max(0.0);
    let mut weights: f64 = demands.iter().map(|(_, weight)| weight.max(0.0)).sum();
    for index in order {
        let (demand, weight) = demands[index];
        if weight <= 0.0 || weights <= 0.0 {
            continue;
        }
        let part = demand.clamp(0.0, (left * weight / weights).max(0.0));
        parts[index] = part;
        left -= part;
        weights -= weight;
    }
    parts
}

/// Returns the share that an account of weight 1 gets when its demand exceeds its share. Usage is
/// compared with this level and not with the own share, which equals the demand when the demand is
/// small.
fn water_level(capacity: f64, demands: &[(f64, f64)]) -> f64 {
    let parts = max_min_shares(capacity, demands);
    let levels = parts.iter().zip(demands);
    levels
        .filter(|(_, (_, weight))| *weight > 0.0)
        .map(|(part, (_, weight))| part / weight)
        .fold(0.0, f64::max)
}

/// Returns the water level of meters with their weights. Without a given capacity, the capacity is
/// the total usage.
fn meters_level(meters: &[(UsageMeter, f64)], capacity: Option<f64>) -> f64 {
    let used = meters.iter().map(|(meter, _)| meter.used).sum();
    let demands = meters.iter().map(|(meter, weight)| (meter.demand, *weight));
    water_level(capacity.unwrap_or(used), &demands.collect::<Vec<_>>())
}

/// Returns usage relative to a share; zero usage never exceeds a share.
fn usage_ratio(used: f64, part: f64) -> f64 {
    if used <= 0.0 {
        0.0
    } else {
        used / part.max(f64::MIN_POSITIVE)
    }
}

#[derive(Clone, Debug)]
struct UsageMeter {
    demand: f64,
    used: f64,
    updated_at: time::Instant,
}

impl UsageMeter {
    fn new(updated_at: time::Instant) -> Self {
        Self {
            demand: 0.0,
            used: 0.0,
            updated_at,
        }
    }

    /// Returns the meter decayed to a later time.
    fn decayed(&self, now: time::Instant) -> Self {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let factor = (-elapsed / USAGE_TIME_CONSTANT.as_secs_f64()).exp();
        Self {
            demand: self.demand * factor,
            used: self.used * factor,
            updated_at: self.updated_at.max(now),
        }
    }

    fn decay(&mut self, now: time::Instant) {
        *self = self.decayed(now);
    }

    fn is_idle(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.updated_at) >= IDLE_TIMEOUT
    }
}

#[derive(Clone, Debug)]
struct FirmMeter {
    meter: UsageMeter,
    weight: f64,
    teams: collections::BTreeMap<TeamName, (UsageMeter, f64)>,
}

/// Recent usage of capacity by firm and team, relative to their fair shares.
///
/// Work is counted in engine-seconds. The cooperative is the root: its usage is that of all firms.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    firms: collections::BTreeMap<FirmName, FirmMeter>,
    evicted_at: Option<time::Instant>,
    /// Usage of short and of long work.
    classes: [Option<UsageMeter>; 2],
    /// Average work of a call.
    mean_work: f64,
}

impl FairShare {
    /// Creates a record without usage.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the weight of a firm, which is 1 by default.
    pub fn set_firm_weight(&mut self, firm: &FirmName, weight: f64, now: time::Instant) {
        self.firm_mut(firm, now).weight = weight.max(0.0);
    }

    /// Sets the weight of a team within its firm, which is 1 by default.
    pub fn set_team_weight(
        &mut self,
        firm: &FirmName,
        team: &TeamName,
        weight: f64,
        now: time::Instant,
    ) {
        let firm = self.firm_mut(firm, now);
        let entry = firm.teams.entry(team.clone());
        entry.or_insert_with(|| (UsageMeter::new(now), 1.0)).1 = weight.max(0.0);
    }

    /// Records that work was requested.
    pub fn on_demand(&mut self, firm: &FirmName, team: &TeamName, work: f64, now: time::Instant) {
        self.mean_work += WORK_GAIN * (work - self.mean_work);
        let (firm_meter, team_meter) = self.meters(firm, team, now);
        firm_meter.demand += work;
        team_meter.demand += work;
    }

    /// Records that work was accepted.
    pub fn on_accepted(&mut self, firm: &FirmName, team: &TeamName, work: f64, now: time::Instant) {
        let (firm_meter, team_meter) = self.meters(firm, team, now);
        firm_meter.used += work;
        team_meter.used += work;
    }

    /// Returns the usage of the firm relative to its fair share, multiplied by the overuse of the
    /// team within the firm when that is above 1.
    ///
    /// The capacity that is divided is the recent usage of all firms together.
    pub fn overuse(&mut self, firm: &FirmName, team: &TeamName, now: time::Instant) -> f64 {
        self.evict_idle(now);
        let meters = self.firms.values();
        let meters = meters.map(|firm| (firm.meter.decayed(now), firm.weight));
        let level = meters_level(&meters.collect::<Vec<_>>(), None);
        let tolerated = self.mean_work * TOLERATED_CALLS;
        let Some(meter) = self.firms.get(firm) else {
            return 0.0;
        };
        let firm_overuse = usage_ratio(meter.meter.decayed(now).used, level * meter.weight);
        // In a firm that does not use its full share, no team takes capacity from another.
        firm_overuse * Self::team_overuse(meter, team, tolerated, now).max(1.0)
    }

    fn team_overuse(firm: &FirmMeter, team: &TeamName, tolerated: f64, now: time::Instant) -> f64 {
        let meters = firm.teams.values();
        let meters = meters.map(|(meter, weight)| (meter.decayed(now), *weight));
        let used = firm.meter.decayed(now).used;
        let level = meters_level(&meters.collect::<Vec<_>>(), Some(used));
        firm.teams.get(team).map_or(0.0, |(meter, weight)| {
            usage_ratio(meter.decayed(now).used - tolerated, level * weight)
        })
    }

    /// Records requested work of a class, and whether it was accepted.
    pub fn record_class(
        &mut self,
        class: WorkClass,
        work: f64,
        accepted: bool,
        now: time::Instant,
    ) {
        let meter = &mut self.classes[usize::from(class == WorkClass::Long)];
        let meter = meter.get_or_insert_with(|| UsageMeter::new(now));
        meter.decay(now);
        meter.demand += work;
        meter.used += if accepted { work } else { 0.0 };
    }

    /// Returns the share of its demand that a class got, relative to that of all work. Without
    /// this, the class with the later deadlines takes the capacity of the other under overload.
    pub fn class_overuse(&self, class: WorkClass) -> f64 {
        let meters = self.classes.iter().flatten();
        let (demand, used) = meters.fold((0.0, 0.0), |(demand, used), meter| {
            (demand + meter.demand, used + meter.used)
        });
        let own = self.classes[usize::from(class == WorkClass::Long)].as_ref();
        let part = own.map_or(0.0, |meter| {
            meter.demand * used / f64::max(demand, f64::MIN_POSITIVE)
        });
        own.map_or(0.0, |meter| usage_ratio(meter.used, part))
    }

    /// Returns the recent demand of each firm.
    pub fn demands(&self, now: time::Instant) -> Vec<(FirmName, f64)> {
        let firms = self.firms.iter();
        firms
            .map(|(name, firm)| (name.clone(), firm.meter.decayed(now).demand))
            .collect()
    }

    fn firm_mut(&mut self, firm: &FirmName, now: time::Instant) -> &mut FirmMeter {
        self.firms.entry(firm.clone()).or_insert_with(|| FirmMeter {
            meter: UsageMeter::new(now),
            weight: 1.0,
            teams: collections::BTreeMap::new(),
        })
    }

    fn meters(
        &mut self,
        firm: &FirmName,
        team: &TeamName,
        now: time::Instant,
    ) -> (&mut UsageMeter, &mut UsageMeter) {
        let firm = self.firm_mut(firm, now);
        firm.meter.decay(now);
        let entry = firm.teams.entry(team.clone());
        let (team_meter, _) = entry.or_insert_with(|| (UsageMeter::new(now), 1.0));
        team_meter.decay(now);
        (&mut firm.meter, team_meter)
    }

    /// Evicts accounts without recent usage, so that memory does not grow with every team ever
    /// seen.
    ///
    /// Accounts with a weight other than 1 are kept.
    pub fn evict_idle(&mut self, now: time::Instant) {
        let last = *self.evicted_at.get_or_insert(now);
        if now.saturating_duration_since(last) < EVICTION_INTERVAL {
            return;
        }
        self.evicted_at = Some(now);
        let weighted = |weight: f64| (weight - 1.0).abs() > f64::EPSILON;
        for firm in self.firms.values_mut() {
            firm.teams
                .retain(|_, (meter, weight)| !meter.is_idle(now) || weighted(*weight));
        }
        self.firms.retain(|_, firm| {
            !firm.meter.is_idle(now) || weighted(firm.weight) || !firm.teams.is_empty()
        });
    }

    /// Returns the number of teams in memory.
    pub fn team_count(&self) -> usize {
        self.firms.values().map(|firm| firm.teams.len()).sum()
    }
}
