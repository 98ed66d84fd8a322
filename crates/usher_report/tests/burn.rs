//! Tests that burn rates, budgets and alerts depend only on the counts and the time.

use std::time::{Duration, SystemTime};

use usher_report::{
    burn_html, burn_table, explain_text, AlertLevel, BurnCause, BurnCounts, BurnEvent, BurnReport,
    BurnWindow, ObjectiveKind, ObjectiveSet, SeriesKey, MAX_SERIES,
};

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3_600);
const DAY: Duration = Duration::from_secs(24 * 3_600);

/// Returns a fixed time in the middle of an hour and of a minute.
fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_796_365_845)
}

fn objectives() -> ObjectiveSet {
    ObjectiveSet {
        availability: 0.999,
        first_token_share: 0.95,
        first_token: Duration::from_millis(510),
        in_time: 0.99,
        window: 30 * DAY,
    }
}

fn add(counts: &mut BurnCounts, key: &SeriesKey, ago: Duration, cause: BurnCause, count: u32) {
    let first_token = cause.is_answered().then(|| match cause {
        BurnCause::SlowTarget => Duration::from_millis(900),
        _ => Duration::from_millis(120),
    });
    for _ in 0..count {
        counts.record(&BurnEvent {
            key: key.clone(),
            at: now() - ago,
            cause,
            first_token,
        });
    }
}

/// Returns three days of good requests, then half an hour with refusals and slow targets.
fn busy_book() -> BurnCounts {
    let mut counts = BurnCounts::default();
    let assist = SeriesKey::new("assist", "loo-round");
    for hour in 1..72 {
        add(&mut counts, &assist, hour * HOUR, BurnCause::Ok, 200);
    }
    for minute in 0..30 {
        let ago = minute * MINUTE;
        add(&mut counts, &assist, ago, BurnCause::Ok, 90);
        add(&mut counts, &assist, ago, BurnCause::Refused, 4);
        add(&mut counts, &assist, ago, BurnCause::SlowTarget, 8);
        add(&mut counts, &assist, ago, BurnCause::Drain, 1);
    }
    let rounds = SeriesKey::new("rounds", "loo-round");
    add(&mut counts, &rounds, 2 * HOUR, BurnCause::Ok, 50);
    counts
}

fn report(counts: &BurnCounts) -> BurnReport {
    BurnReport::new(counts, objectives(), now())
}

#[test]
fn report_as_table() {
    insta::assert_snapshot!(burn_table(&report(&busy_book())));
}

#[test]
fn report_as_json() {
    let mut report = report(&busy_book());
    for objective in report
        .series
        .iter_mut()
        .flat_map(|series| &mut series.objectives)
    {
        // The 72 samples are left out here; the chart covers their content.
        objective.hourly.truncate(1);
    }
    insta::assert_json_snapshot!(report);
}

#[test]
fn report_as_page() {
    let mut report = report(&busy_book());
    report.series.truncate(1);
    for series in &mut report.series {
        series.objectives.truncate(1);
    }
    let page = burn_html(&report).unwrap();
    insta::assert_snapshot!(page);
}

/// Guards against a page that loads external parts, and against names that are rendered as markup.
#[test]
fn page_is_self_contained_and_escaped() {
    let mut counts = BurnCounts::default();
    let key = SeriesKey::new("<script>", "a&\"b\"");
    add(&mut counts, &key, MINUTE, BurnCause::Ok, 1);
    let page = burn_html(&report(&counts)).unwrap();
    assert!(page.contains("&lt;script&gt; / a&amp;&quot;b&quot;"));
    assert!(!page.contains("<script"));
    assert!(!page.contains("src=") && !page.contains("href="));
}

fn window_rate(counts: &BurnCounts, window: BurnWindow) -> f64 {
    let report = report(counts);
    let availability = &report.series[0].objectives[0];
    assert_eq!(availability.kind, ObjectiveKind::Availability);
    let burn = availability
        .windows
        .iter()
        .find(|burn| burn.window == window);
    burn.unwrap().rate
}

/// Records one refusal among ten requests at a time, and checks whether a window includes it.
fn check_window(ago: Duration, window: BurnWindow, included: bool) {
    let mut counts = BurnCounts::default();
    let key = SeriesKey::new("assist", "loo-round");
    add(&mut counts, &key, ago, BurnCause::Refused, 1);
    add(&mut counts, &key, ago, BurnCause::Ok, 9);
    let rate = window_rate(&counts, window);
    let expected = if included { 100.0 } else { 0.0 };
    assert!((rate - expected).abs() < 1e-6, "the burn rate is {rate}");
}

usher_types::cases! { check_window:
    /// Guards against windows that are one minute or hour too long or too short.
    last_minute_of_5m(4 * MINUTE, BurnWindow::FiveMinutes, true);
    minute_before_5m(5 * MINUTE, BurnWindow::FiveMinutes, false);
    last_minute_of_30m(29 * MINUTE, BurnWindow::HalfHour, true);
    minute_before_30m(30 * MINUTE, BurnWindow::HalfHour, false);
    last_minute_of_1h(59 * MINUTE, BurnWindow::Hour, true);
    minute_before_1h(60 * MINUTE, BurnWindow::Hour, false);
    last_minute_of_6h(359 * MINUTE, BurnWindow::SixHours, true);
    minute_before_6h(360 * MINUTE, BurnWindow::SixHours, false);
    last_hour_of_3d(71 * HOUR, BurnWindow::ThreeDays, true);
    hour_before_3d(72 * HOUR, BurnWindow::ThreeDays, false);
}

/// Records refusals the given minutes ago, among 100 good requests per minute over six hours.
fn check_alert(refused: &[(u32, u32)], expected: Option<AlertLevel>) {
    let mut counts = BurnCounts::default();
    let key = SeriesKey::new("assist", "loo-round");
    for minute in 0..360 {
        add(&mut counts, &key, minute * MINUTE, BurnCause::Ok, 100);
    }
    for (ago, count) in refused {
        add(&mut counts, &key, *ago * MINUTE, BurnCause::Refused, *count);
    }
    let report = report(&counts);
    let firing = report.series[0].objectives[0].firing();
    assert_eq!(firing.map(|alert| alert.rule.level), expected);
}

usher_types::cases! { check_alert:
    /// Guards against an alert that continues after the fault has ended.
    past_fault_leaves_only_a_ticket(&[(30, 200), (31, 200)], Some(AlertLevel::Ticket));
    running_fault_pages(&[(1, 20), (20, 100)], Some(AlertLevel::Page));
    /// Guards against paging somebody for a single refused request.
    single_refusal_is_silent(&[(1, 2)], None);
    no_refusal_is_silent(&[], None);
}

/// Guards against a budget that ignores the window of the objective.
#[test]
fn budget_counts_only_its_window() {
    let mut counts = BurnCounts::default();
    let key = SeriesKey::new("assist", "loo-round");
    add(&mut counts, &key, 31 * DAY, BurnCause::Failed, 100);
    add(&mut counts, &key, 29 * DAY, BurnCause::Failed, 1);
    add(&mut counts, &key, 29 * DAY, BurnCause::Ok, 1_999);
    let report = report(&counts);
    let availability = &report.series[0].objectives[0];
    assert!((availability.budget_left - 0.5).abs() < 1e-9);
    assert_eq!(availability.causes[0].bad, 1);
}

/// Guards against counting a first token as good when its bucket reaches past the goal.
#[test]
fn goal_between_bounds_is_judged_strictly() {
    let mut counts = BurnCounts::default();
    let key = SeriesKey::new("assist", "loo-round");
    add(&mut counts, &key, MINUTE, BurnCause::Ok, 1);
    let mut objectives = objectives();
    objectives.first_token = Duration::from_millis(140);
    let report = BurnReport::new(&counts, objectives, now());
    assert_eq!(report.series[0].objectives[1].windows[0].bad, 1);
}

/// Guards against callers that exhaust the memory with invented services.
#[test]
fn series_are_bounded() {
    let mut counts = BurnCounts::default();
    for number in 0..3 * MAX_SERIES {
        let key = SeriesKey::new(&format!("service-{number}"), "loo-round");
        add(&mut counts, &key, MINUTE, BurnCause::Ok, 1);
    }
    assert_eq!(counts.keys().count(), MAX_SERIES);
    let requests: u64 = report(&counts)
        .series
        .iter()
        .map(|series| series.requests)
        .sum();
    assert_eq!(requests, 3 * MAX_SERIES as u64);
}

/// Guards against requests that are lost or counted twice when the counts of entries are merged.
#[test]
fn counts_of_entries_add_up() {
    let (mut one, other) = (busy_book(), busy_book());
    one.merge(&other);
    let single = report(&other);
    let both = report(&one);
    for (single, both) in single.series.iter().zip(&both.series) {
        assert_eq!(both.requests, 2 * single.requests);
        for (single, both) in single.objectives.iter().zip(&both.objectives) {
            assert!((single.budget_left - both.budget_left).abs() < 1e-9);
        }
    }
}

#[test]
fn explanation_as_text() {
    let record = serde_json::json!({
        "id": "r-17", "at": "2026-12-04T06:00:00Z", "decision": {"target": "engine-3", "reason": null},
        "candidates": [
            {"target": "engine-3", "expected_ms": 180, "prefix_hit": true},
            {"target": "engine-5", "expected_ms": 240},
        ],
        "retries": [], "notes": ["reserved for short work", 7],
    });
    insta::assert_snapshot!(explain_text(&record));
}
