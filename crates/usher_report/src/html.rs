//! Renders the burn report as one self-contained HTML page. Not for: computing it.

use crate::{burn, chart, error, table};

const STYLE: &str = "body{font-family:sans-serif;margin:2em;max-width:60em}\
table{border-collapse:collapse}td,th{border:1px solid #999;padding:.2em .6em;text-align:right}\
td:first-child,th:first-child{text-align:left}.firing{background:#fdd}";

/// Renders the report as a page with tables and charts.
///
/// # Errors
///
/// Fails when a chart cannot be drawn.
pub fn burn_html(report: &burn::BurnReport) -> Result<String, error::ReportError> {
    let mut page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <title>Service-level burn</title>\n<style>{STYLE}</style>\n</head>\n<body>\n\
         <h1>Service-level burn</h1>\n<p>Time of the report: {} s since 1970. Budget over {} days. \
         A burn rate of 1 uses up exactly the budget.</p>\n",
        report.at,
        report.objectives.window.as_secs() / 86_400
    );
    if report.series.is_empty() {
        page.push_str("<p>No requests are recorded.</p>\n");
    }
    for series in &report.series {
        push_series(&mut page, series)?;
    }
    page.push_str("</body>\n</html>\n");
    Ok(page)
}

fn push_series(page: &mut String, series: &burn::SeriesBurn) -> Result<(), error::ReportError> {
    page.push_str(&format!(
        "<h2>{} / {}</h2>\n<p>{} requests</p>\n<table>\n<tr><th>objective</th><th>asked</th>\
         <th>reached</th><th>budget left</th>",
        escape(series.service.as_str()),
        escape(&series.cooperative),
        series.requests
    ));
    if let Some(objective) = series.objectives.first() {
        for burn in &objective.windows {
            page.push_str(&format!("<th>{}</th>", burn.window));
        }
    }
    page.push_str("<th>alert</th></tr>\n");
    for objective in &series.objectives {
        push_row(page, objective);
    }
    page.push_str("</table>\n");
    for objective in &series.objectives {
        push_objective(page, objective)?;
    }
    Ok(())
}

fn push_row(page: &mut String, objective: &burn::ObjectiveBurn) {
    let class = objective.firing().map_or("", |_| " class=\"firing\"");
    page.push_str(&format!(
        "<tr{class}><td>{}</td><td>{}</td><td>{}</td><td>{}</td>",
        objective.kind,
        table::percent(objective.share),
        objective
            .reached
            .map_or_else(|| "-".to_owned(), table::percent),
        table::percent(objective.budget_left)
    ));
    for burn in &objective.windows {
        page.push_str(&format!("<td>{}</td>", table::rate(burn.rate)));
    }
    let alert = table::alert_text(objective);
    page.push_str(&format!("<td>{}</td></tr>\n", escape(&alert)));
}

fn push_objective(
    page: &mut String,
    objective: &burn::ObjectiveBurn,
) -> Result<(), error::ReportError> {
    page.push_str(&format!("<h3>{}</h3>\n", objective.kind));
    if objective.causes.is_empty() {
        page.push_str("<p>No budget was used up.</p>\n");
    } else {
        page.push_str("<ul>\n");
        for share in &objective.causes {
            page.push_str(&format!("<li>{}</li>\n", escape(&table::cause_text(share))));
        }
        page.push_str("</ul>\n");
    }
    page.push_str(&chart::hourly_chart(objective)?);
    page.push('\n');
    Ok(())
}

/// Escapes HTML; names come from settings and sheets, and may contain special characters.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            _ => escaped.push(character),
        }
    }
    escaped
}
