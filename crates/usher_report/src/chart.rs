//! Renders charts of burn rates as SVG text. Not for: the page around them.

use plotters::{chart, prelude, style};

use crate::{burn, error};

/// Size of a chart in pixels.
const SIZE: (u32, u32) = (760, 220);
/// Largest burn rate in a chart; higher rates are drawn at this value, because one bad hour would
/// otherwise flatten all others.
const MAX_RATE: f64 = 30.0;

/// Draws the hourly burn rate of one objective, with a line at the allowed rate.
pub(crate) fn hourly_chart(objective: &burn::ObjectiveBurn) -> Result<String, error::ReportError> {
    let mut svg = String::new();
    draw(&mut svg, objective).map_err(|error| error::ReportError::Chart(error.to_string()))?;
    Ok(svg)
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

fn draw(svg: &mut String, objective: &burn::ObjectiveBurn) -> DrawResult {
    use prelude::IntoDrawingArea as _;
    let hours = objective.hourly.len().max(2);
    let highest = objective
        .hourly
        .iter()
        .map(|sample| sample.rate)
        .fold(2.0, f64::max);
    let root = prelude::SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&style::WHITE)?;
    let first = -(hours as f64);
    let mut chart = chart::ChartBuilder::on(&root)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(44)
        .build_cartesian_2d(first..0.0, 0.0..highest.min(MAX_RATE) * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("hours before the report")
        .y_desc("burn rate")
        .x_labels(7)
        .y_labels(5)
        .light_line_style(style::WHITE)
        .draw()?;
    let points = objective
        .hourly
        .iter()
        .enumerate()
        .map(|(index, sample)| (first + index as f64 + 1.0, sample.rate.min(MAX_RATE)));
    chart.draw_series(prelude::LineSeries::new(points, &style::BLUE))?;
    let allowed = [(first, 1.0), (0.0, 1.0)];
    chart.draw_series(prelude::LineSeries::new(allowed, &style::RED))?;
    root.present()?;
    Ok(())
}
