//! Renders the burn report as a table for terminals. Not for: computing it.

use crate::burn;

/// Renders the report as a table, followed by the causes that used each budget.
pub fn burn_table(report: &burn::BurnReport) -> String {
    if report.series.is_empty() {
        return "no requests are recorded\n".to_owned();
    }
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header([
        "service",
        "cooperative",
        "objective",
        "asked",
        "reached",
        "budget left",
        "5m",
        "30m",
        "1h",
        "6h",
        "3d",
        "alert",
    ]);
    for series in &report.series {
        for objective in &series.objectives {
            table.add_row(cells(series, objective));
        }
    }
    format!("{table}\n\n{}", cause_lines(report))
}

fn cells(series: &burn::SeriesBurn, objective: &burn::ObjectiveBurn) -> Vec<String> {
    let mut cells = vec![
        series.service.to_string(),
        series.cooperative.clone(),
        objective.kind.to_string(),
        percent(objective.share),
        objective.reached.map_or_else(|| "-".to_owned(), percent),
        percent(objective.budget_left),
    ];
    cells.extend(objective.windows.iter().map(|burn| rate(burn.rate)));
    cells.push(alert_text(objective));
    cells
}

/// Returns the level, windows and threshold of the firing alert, or a dash.
pub(crate) fn alert_text(objective: &burn::ObjectiveBurn) -> String {
    match objective.firing() {
        None => "-".to_owned(),
        Some(alert) => {
            let rule = &alert.rule;
            format!(
                "{}: {}/{} above {}",
                rule.level,
                rule.short,
                rule.long,
                rate(alert.threshold)
            )
        }
    }
}

fn cause_lines(report: &burn::BurnReport) -> String {
    let mut text = String::new();
    for series in &report.series {
        for objective in &series.objectives {
            if objective.causes.is_empty() {
                continue;
            }
            let causes: Vec<_> = objective.causes.iter().map(cause_text).collect();
            text.push_str(&format!(
                "{} / {}, {}: {}\n",
                series.service,
                series.cooperative,
                objective.kind,
                causes.join(", ")
            ));
        }
    }
    if text.is_empty() {
        "no budget was used up\n".to_owned()
    } else {
        format!("budget used up by\n{text}")
    }
}

/// Returns the number of bad requests of a cause and its share of the budget.
pub(crate) fn cause_text(share: &burn::CauseShare) -> String {
    let cause = cause_name(share);
    format!(
        "{cause} {} ({} of the budget)",
        share.bad,
        percent(share.budget_used)
    )
}

pub(crate) fn cause_name(share: &burn::CauseShare) -> String {
    share
        .cause
        .map_or_else(|| "late first token".to_owned(), |cause| cause.to_string())
}

pub(crate) fn percent(share: f64) -> String {
    format!("{:.3}%", share * 100.0)
}

pub(crate) fn rate(rate: f64) -> String {
    format!("{rate:.1}")
}
