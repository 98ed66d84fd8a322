//! Computes burn rates, error budgets and alerts from counts. Not for: rendering them.

use std::time;

use crate::{bucket, counts, objective, window};

/// Bad requests needed in both windows before an alert fires. Otherwise, one refused request of
/// three at night would page somebody.
const MIN_BAD_REQUESTS: u64 = 3;

usher_types::value_type! {
    /// Burn rate over one window.
    #[derive(Copy, serde::Serialize)]
    pub struct WindowBurn {
        /// The window.
        pub window: window::BurnWindow,
        /// Requests that the objective applies to.
        pub total: u64,
        /// Bad requests.
        pub bad: u64,
        /// Rate at which the budget is used, relative to the allowed rate.
        pub rate: f64,
    }
}

usher_types::value_type! {
    /// An alert rule and whether it fires.
    #[derive(Copy, serde::Serialize)]
    pub struct AlertState {
        /// Rule of the alert.
        #[serde(flatten)]
        pub rule: window::AlertRule,
        /// Burn rate above which the alert fires.
        pub threshold: f64,
        /// Whether the alert fires now.
        pub firing: bool,
    }
}

usher_types::value_type! {
    /// Share of the error budget that one cause has used.
    #[derive(Copy, serde::Serialize)]
    pub struct CauseShare {
        /// Cause; `None` for first tokens, which are judged by their time.
        pub cause: Option<bucket::BurnCause>,
        /// Bad requests.
        pub bad: u64,
        /// Share of the total budget; above 1 when the cause used more than the total.
        pub budget_used: f64,
    }
}

usher_types::value_type! {
    /// Burn rate at a point in time, for charts.
    #[derive(Copy, serde::Serialize)]
    pub struct RateSample {
        /// End of the hour, in seconds since 1970.
        pub at: u64,
        /// Burn rate.
        pub rate: f64,
    }
}

usher_types::value_type! {
    /// Burn rates, budget and alerts of one objective in one series.
    #[derive(serde::Serialize)]
    pub struct ObjectiveBurn {
        /// Kind of the objective.
        pub kind: objective::ObjectiveKind,
        /// Share of good requests that the objective requires.
        pub share: f64,
        /// Share that was reached over the budget window; `None` without requests.
        pub reached: Option<f64>,
        /// Share of the budget that is left; negative when the budget is overdrawn.
        pub budget_left: f64,
        /// Burn rates, the shortest window first.
        pub windows: Vec<WindowBurn>,
        /// Alerts, the most urgent first.
        pub alerts: Vec<AlertState>,
        /// Causes that used the budget, the largest first.
        pub causes: Vec<CauseShare>,
        /// Burn rate per hour over three days, the oldest first.
        pub hourly: Vec<RateSample>,
    }
}

impl ObjectiveBurn {
    /// Returns the most urgent alert that is firing.
    pub fn firing(&self) -> Option<&AlertState> {
        self.alerts.iter().find(|alert| alert.firing)
    }
}

usher_types::value_type! {
    /// All objectives of one service and cooperative.
    #[derive(serde::Serialize)]
    pub struct SeriesBurn {
        /// Service.
        pub service: usher_types::ServiceName,
        /// Cooperative.
        pub cooperative: String,
        /// Requests in the budget window.
        pub requests: u64,
        /// Objectives.
        pub objectives: Vec<ObjectiveBurn>,
    }
}

usher_types::value_type! {
    /// Burn report of all services and cooperatives.
    #[derive(serde::Serialize)]
    pub struct BurnReport {
        /// Time of the report, in seconds since 1970.
        pub at: u64,
        /// Objectives that the report is based on.
        pub objectives: objective::ObjectiveSet,
        /// Services and cooperatives in order.
        pub series: Vec<SeriesBurn>,
    }
}

impl BurnReport {
    /// Computes the report for a wall-clock time.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use usher_report::{BurnCounts, BurnReport, ObjectiveSet};
    /// let objectives = ObjectiveSet {
    ///     availability: 0.999,
    ///     first_token_share: 0.95,
    ///     first_token: Duration::from_millis(510),
    ///     in_time: 0.99,
    ///     window: Duration::from_secs(30 * 24 * 3_600),
    /// };
    /// let report = BurnReport::new(&BurnCounts::default(), objectives, SystemTime::now());
    /// assert!(report.series.is_empty());
    /// ```
    pub fn new(
        counts: &counts::BurnCounts,
        objectives: objective::ObjectiveSet,
        now: time::SystemTime,
    ) -> Self {
        let context = ReportContext { objectives, now };
        let series = counts
            .series()
            .map(|(key, counts)| context.series(key, counts))
            .collect();
        let since = now.duration_since(time::UNIX_EPOCH).unwrap_or_default();
        Self {
            at: since.as_secs(),
            objectives,
            series,
        }
    }

    /// Returns whether any alert fires.
    pub fn is_firing(&self) -> bool {
        let mut objectives = self.series.iter().flat_map(|series| &series.objectives);
        objectives.any(|burn| burn.firing().is_some())
    }
}

/// Inputs that all parts of a report share.
struct ReportContext {
    objectives: objective::ObjectiveSet,
    now: time::SystemTime,
}

impl ReportContext {
    fn series(&self, key: &counts::SeriesKey, counts: &counts::SeriesCounts) -> SeriesBurn {
        let budget = self.sum_hours(counts, self.objectives.window);
        let kinds = objective::ObjectiveKind::ALL.into_iter();
        SeriesBurn {
            service: key.service.clone(),
            cooperative: key.cooperative.clone(),
            requests: budget.total(),
            objectives: kinds
                .map(|kind| self.objective(kind, counts, &budget))
                .collect(),
        }
    }

    fn objective(
        &self,
        kind: objective::ObjectiveKind,
        counts: &counts::SeriesCounts,
        budget: &bucket::CountBucket,
    ) -> ObjectiveBurn {
        let count = self.objectives.count_bad(kind, budget);
        let used = self.objectives.burn_rate(kind, count);
        let reached = (count.total > 0).then(|| 1.0 - count.bad as f64 / count.total as f64);
        let windows: Vec<_> = window::BurnWindow::ALL
            .into_iter()
            .map(|window| self.window(kind, window, counts))
            .collect();
        let alerts = window::AlertRule::ALL
            .into_iter()
            .map(|rule| self.alert(rule, &windows))
            .collect();
        ObjectiveBurn {
            kind,
            share: self.objectives.share(kind),
            reached,
            budget_left: 1.0 - used,
            windows,
            alerts,
            causes: self.causes(kind, budget, used),
            hourly: self.hourly(kind, counts),
        }
    }

    fn window(
        &self,
        kind: objective::ObjectiveKind,
        window: window::BurnWindow,
        counts: &counts::SeriesCounts,
    ) -> WindowBurn {
        let sum = if window == window::BurnWindow::ThreeDays {
            self.sum_hours(counts, window.length())
        } else {
            self.sum_minutes(counts, window.length())
        };
        let count = self.objectives.count_bad(kind, &sum);
        WindowBurn {
            window,
            total: count.total,
            bad: count.bad,
            rate: self.objectives.burn_rate(kind, count),
        }
    }

    fn alert(&self, rule: window::AlertRule, windows: &[WindowBurn]) -> AlertState {
        let threshold = rule.threshold(self.objectives.window);
        let find = |wanted| windows.iter().find(|burn| burn.window == wanted);
        let above = |burn: &WindowBurn| burn.rate > threshold && burn.bad >= MIN_BAD_REQUESTS;
        let firing = find(rule.short).is_some_and(above) && find(rule.long).is_some_and(above);
        AlertState {
            rule,
            threshold,
            firing,
        }
    }

    fn causes(
        &self,
        kind: objective::ObjectiveKind,
        budget: &bucket::CountBucket,
        used: f64,
    ) -> Vec<CauseShare> {
        let count = self.objectives.count_bad(kind, budget);
        let share = |cause, bad: u64| CauseShare {
            cause,
            bad,
            budget_used: used * bad as f64 / count.bad.max(1) as f64,
        };
        if kind == objective::ObjectiveKind::FirstToken {
            let late = Some(share(None, count.bad));
            return late.into_iter().filter(|late| late.bad > 0).collect();
        }
        let mut causes: Vec<_> = bucket::BurnCause::ALL
            .into_iter()
            .filter(|cause| objective::ObjectiveSet::is_bad(kind, *cause))
            .map(|cause| share(Some(cause), budget.count(cause)))
            .filter(|share| share.bad > 0)
            .collect();
        causes.sort_by_key(|share| std::cmp::Reverse(share.bad));
        causes
    }

    /// Returns the burn rate of each of the last 72 hours, the oldest first.
    fn hourly(
        &self,
        kind: objective::ObjectiveKind,
        counts: &counts::SeriesCounts,
    ) -> Vec<RateSample> {
        let now = counts::minute_of(self.now) / 60;
        (now.saturating_sub(71)..=now)
            .map(|hour| {
                let count = counts
                    .hours
                    .get(&hour)
                    .map(|sum| self.objectives.count_bad(kind, sum));
                RateSample {
                    at: (hour + 1) * 3_600,
                    rate: self.objectives.burn_rate(kind, count.unwrap_or_default()),
                }
            })
            .collect()
    }

    /// Sums the minutes of a window. The current minute counts as the last one.
    fn sum_minutes(
        &self,
        counts: &counts::SeriesCounts,
        length: time::Duration,
    ) -> bucket::CountBucket {
        let now = counts::minute_of(self.now);
        let first = (now + 1).saturating_sub(length.as_secs() / 60);
        sum(counts.minutes.range(first..=now))
    }

    /// Sums the hours of a window. The current hour counts as the last one.
    fn sum_hours(
        &self,
        counts: &counts::SeriesCounts,
        length: time::Duration,
    ) -> bucket::CountBucket {
        let now = counts::minute_of(self.now) / 60;
        let first = (now + 1).saturating_sub(length.as_secs() / 3_600);
        sum(counts.hours.range(first..=now))
    }
}

fn sum<'a>(
    buckets: impl Iterator<Item = (&'a u64, &'a bucket::CountBucket)>,
) -> bucket::CountBucket {
    let mut sum = bucket::CountBucket::default();
    for (_, bucket) in buckets {
        sum.merge(bucket);
    }
    sum
}
