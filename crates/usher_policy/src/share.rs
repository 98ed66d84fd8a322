//! Divides capacity fairly: weighted max-min over cooperative, firm and team. Not for: routing.

use std::{collections, time};

use usher_types::{FirmName, TeamName, WorkClass};

/// Time over which recent use fades to a third. One entry sees a few calls of a small firm per
/// second; over a shorter time their noise looks like unfair use.
const USE_MEMORY: time::Duration = time::Duration::from_secs(30);
/// Calls of usual size that a team may have had above its share: one entry sees only a few calls of a
/// team, and one more or less must not count as unfair.
const ALLOWED_CALLS: f64 = 4.0;
/// Weight of a new call in the usual work of a call.
const WORK_GAIN: f64 = 0.02;
/// Firms and teams idle for longer than this are forgotten.
const IDLE_FORGOTTEN: time::Duration = time::Duration::from_secs(120);
/// How often idle accounts are looked for.
const FORGET_PERIOD: time::Duration = time::Duration::from_secs(10);

/// Divides `capacity` among demands by weighted max-min: nobody gets more than asked for, and
/// what one leaves is divided among the others by weight.
///
/// ```
/// let parts = usher_policy::max_min_shares(10.0, &[(2.0, 1.0), (9.0, 1.0), (9.0, 1.0)]);
/// assert_eq!(parts, vec![2.0, 4.0, 4.0]);
/// ```
pub fn max_min_shares(capacity: f64, demands: &[(f64, f64)]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let need = |at: &usize| demands[*at].0 / demands[*at].1.max(f64::MIN_POSITIVE);
    order.sort_by(|a, b| need(a).total_cmp(&need(b)).then(a.cmp(b)));
    let mut parts = vec![0.0; demands.len()];
    let mut left = capacity.max(0.0);
    let mut weights: f64 = demands.iter().map(|(_, weight)| weight.max(0.0)).sum();
    for at in order {
        let (demand, weight) = demands[at];
        if weight <= 0.0 || weights <= 0.0 {
            continue;
        }
        let part = demand.clamp(0.0, (left * weight / weights).max(0.0));
        parts[at] = part;
        left -= part;
        weights -= weight;
    }
    parts
}

/// Returns the part that an account of weight 1 gets when it asks for more than its part. Use is
/// compared with this and not with the own part, which for a small demand is the demand itself.
fn water_level(capacity: f64, demands: &[(f64, f64)]) -> f64 {
    let parts = max_min_shares(capacity, demands);
    let levels = parts.iter().zip(demands);
    levels
        .filter(|(_, (_, weight))| *weight > 0.0)
        .map(|(part, (_, weight))| part / weight)
        .fold(0.0, f64::max)
}

/// Returns the water level of meters with their weights; without a capacity, what they used.
fn level_of(meters: &[(UseMeter, f64)], capacity: Option<f64>) -> f64 {
    let used = meters.iter().map(|(meter, _)| meter.used).sum();
    let demands = meters.iter().map(|(meter, weight)| (meter.asked, *weight));
    water_level(capacity.unwrap_or(used), &demands.collect::<Vec<_>>())
}

/// Use relative to a share; nothing used is never over.
fn relative(used: f64, part: f64) -> f64 {
    if used <= 0.0 {
        0.0
    } else {
        used / part.max(f64::MIN_POSITIVE)
    }
}

#[derive(Clone, Debug)]
struct UseMeter {
    asked: f64,
    used: f64,
    at: time::Instant,
}

impl UseMeter {
    fn new(at: time::Instant) -> Self {
        Self {
            asked: 0.0,
            used: 0.0,
            at,
        }
    }

    /// Returns the meter as it stands at a later time.
    fn at(&self, now: time::Instant) -> Self {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        let factor = (-elapsed / USE_MEMORY.as_secs_f64()).exp();
        Self {
            asked: self.asked * factor,
            used: self.used * factor,
            at: self.at.max(now),
        }
    }

    fn fade(&mut self, now: time::Instant) {
        *self = self.at(now);
    }

    fn is_idle(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.at) >= IDLE_FORGOTTEN
    }
}

#[derive(Clone, Debug)]
struct FirmMeter {
    meter: UseMeter,
    weight: f64,
    teams: collections::BTreeMap<TeamName, (UseMeter, f64)>,
}

/// Recent use of capacity by firm and team, and who is over the fair share.
///
/// Work is counted in engine-seconds. The cooperative is the root: its use is that of all firms.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    firms: collections::BTreeMap<FirmName, FirmMeter>,
    forgotten_at: Option<time::Instant>,
    /// Work of short and long calls.
    classes: [Option<UseMeter>; 2],
    /// Usual work of a call.
    mean_work: f64,
}

impl FairShare {
    /// Makes a record without use.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the weight of a firm; 1 unless set.
    pub fn set_firm_weight(&mut self, firm: &FirmName, weight: f64, now: time::Instant) {
        self.firm_mut(firm, now).weight = weight.max(0.0);
    }

    /// Sets the weight of a team in its firm; 1 unless set.
    pub fn set_team_weight(
        &mut self,
        firm: &FirmName,
        team: &TeamName,
        weight: f64,
        now: time::Instant,
    ) {
        let firm = self.firm_mut(firm, now);
        let entry = firm.teams.entry(team.clone());
        entry.or_insert_with(|| (UseMeter::new(now), 1.0)).1 = weight.max(0.0);
    }

    /// Notes that work was asked for.
    pub fn on_demand(&mut self, firm: &FirmName, team: &TeamName, work: f64, now: time::Instant) {
        self.mean_work += WORK_GAIN * (work - self.mean_work);
        let (firm_meter, team_meter) = self.meters(firm, team, now);
        firm_meter.asked += work;
        team_meter.asked += work;
    }

    /// Notes that work was accepted.
    pub fn on_accepted(&mut self, firm: &FirmName, team: &TeamName, work: f64, now: time::Instant) {
        let (firm_meter, team_meter) = self.meters(firm, team, now);
        firm_meter.used += work;
        team_meter.used += work;
    }

    /// Returns the use of the firm relative to its fair share, increased by how far the team is above
    /// its fair share of the firm.
    ///
    /// The capacity divided is what all firms together used recently.
    pub fn overuse(&mut self, firm: &FirmName, team: &TeamName, now: time::Instant) -> f64 {
        self.forget_idle(now);
        let meters = self.firms.values();
        let meters = meters.map(|firm| (firm.meter.at(now), firm.weight));
        let level = level_of(&meters.collect::<Vec<_>>(), None);
        let allowed = self.mean_work * ALLOWED_CALLS;
        let Some(meter) = self.firms.get(firm) else {
            return 0.0;
        };
        let firm_over = relative(meter.meter.at(now).used, level * meter.weight);
        // Inside a firm that leaves a part of its share, no team takes anything from another.
        firm_over * Self::team_over(meter, team, allowed, now).max(1.0)
    }

    fn team_over(firm: &FirmMeter, team: &TeamName, allowed: f64, now: time::Instant) -> f64 {
        let meters = firm.teams.values();
        let meters = meters.map(|(meter, weight)| (meter.at(now), *weight));
        let used = firm.meter.at(now).used;
        let level = level_of(&meters.collect::<Vec<_>>(), Some(used));
        firm.teams.get(team).map_or(0.0, |(meter, weight)| {
            relative(meter.at(now).used - allowed, level * weight)
        })
    }

    /// Notes work of a class that was asked for, and whether it was accepted.
    pub fn on_class(&mut self, class: WorkClass, work: f64, accepted: bool, now: time::Instant) {
        let meter = &mut self.classes[usize::from(class == WorkClass::Long)];
        let meter = meter.get_or_insert_with(|| UseMeter::new(now));
        meter.fade(now);
        meter.asked += work;
        meter.used += if accepted { work } else { 0.0 };
    }

    /// Returns how much more of its demand a class got than all work did. Without this the class
    /// with the later deadlines takes the capacity of the other when there is too little.
    pub fn class_overuse(&self, class: WorkClass) -> f64 {
        let meters = self.classes.iter().flatten();
        let (asked, used) = meters.fold((0.0, 0.0), |(asked, used), meter| {
            (asked + meter.asked, used + meter.used)
        });
        let own = self.classes[usize::from(class == WorkClass::Long)].as_ref();
        let part = own.map_or(0.0, |meter| {
            meter.asked * used / f64::max(asked, f64::MIN_POSITIVE)
        });
        own.map_or(0.0, |meter| relative(meter.used, part))
    }

    /// Returns the recent demand of each firm.
    pub fn demands(&self, now: time::Instant) -> Vec<(FirmName, f64)> {
        let firms = self.firms.iter();
        firms
            .map(|(name, firm)| (name.clone(), firm.meter.at(now).asked))
            .collect()
    }

    fn firm_mut(&mut self, firm: &FirmName, now: time::Instant) -> &mut FirmMeter {
        self.firms.entry(firm.clone()).or_insert_with(|| FirmMeter {
            meter: UseMeter::new(now),
            weight: 1.0,
            teams: collections::BTreeMap::new(),
        })
    }

    fn meters(
        &mut self,
        firm: &FirmName,
        team: &TeamName,
        now: time::Instant,
    ) -> (&mut UseMeter, &mut UseMeter) {
        let firm = self.firm_mut(firm, now);
        firm.meter.fade(now);
        let entry = firm.teams.entry(team.clone());
        let (team_meter, _) = entry.or_insert_with(|| (UseMeter::new(now), 1.0));
        team_meter.fade(now);
        (&mut firm.meter, team_meter)
    }

    /// Forgets accounts without recent use, so that memory doesn't grow with every team ever seen.
    ///
    /// Accounts with a weight of their own are kept.
    pub fn forget_idle(&mut self, now: time::Instant) {
        let last = *self.forgotten_at.get_or_insert(now);
        if now.saturating_duration_since(last) < FORGET_PERIOD {
            return;
        }
        self.forgotten_at = Some(now);
        let weighted = |weight: f64| (weight - 1.0).abs() > f64::EPSILON;
        for firm in self.firms.values_mut() {
            firm.teams
                .retain(|_, (meter, weight)| !meter.is_idle(now) || weighted(*weight));
        }
        self.firms.retain(|_, firm| {
            !firm.meter.is_idle(now) || weighted(firm.weight) || !firm.teams.is_empty()
        });
    }

    /// Returns how many teams are remembered.
    pub fn team_count(&self) -> usize {
        self.firms.values().map(|firm| firm.teams.len()).sum()
    }
}
