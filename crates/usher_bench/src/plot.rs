//! Renders plots of a report as SVG, and a page that contains them. Not for: computing results.

use std::{collections, fs, path};

use plotters::prelude as draw;

use crate::{error, metrics, report};

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (760, 360);
/// Size of the label areas in pixels.
const LABEL_AREA: u32 = 48;

fn plot_error(path: &path::Path, message: &dyn std::fmt::Display) -> error::BenchError {
    error::BenchError::Plot {
        path: path.display().to_string(),
        message: message.to_string(),
    }
}

/// Writes a plot for each experiment, scenario and metric, and an `index.html` that contains all
/// plots.
pub fn write_plots(
    report: &report::ExperimentReport,
    folder: &path::Path,
) -> Result<(), error::BenchError> {
    fs::create_dir_all(folder).map_err(|error| plot_error(folder, &error))?;
    let mut groups: collections::BTreeMap<String, Vec<&metrics::ResultRow>> =
        collections::BTreeMap::new();
    for row in &report.rows {
        let name = format!(
            "{}-{}-{}-{}",
            row.experiment, row.scenario, row.fleet, row.seed
        );
        groups.entry(name).or_default().push(row);
    }
    let mut page = String::from("<!doctype html><meta charset=\"utf-8\"><title>bench</title>\n");
    for (name, rows) in &groups {
        let goodput = bars(rows, |row| row.goodput_share * 100.0);
        let tail = bars(rows, |row| row.ttft_short.p99 * 1e3);
        page += &format!("<h2>{name}</h2>\n");
        for (figure, title, values) in [
            ("goodput", "completed in time, % of offered", goodput),
            ("ttft", "p99 TTFT of short work, ms", tail),
        ] {
            let path = folder.join(format!("{name}-{figure}.svg"));
            let svg = bar_chart(&format!("{name}: {title}"), &values)
                .map_err(|message| plot_error(&path, &message))?;
            fs::write(&path, &svg).map_err(|error| plot_error(&path, &error))?;
            page += &svg;
        }
    }
    let path = folder.join("index.html");
    fs::write(&path, page).map_err(|error| plot_error(&path, &error))
}

fn bars<F>(rows: &[&metrics::ResultRow], value: F) -> Vec<(String, f64)>
where
    F: Fn(&metrics::ResultRow) -> f64,
{
    let bars = rows.iter();
    bars.map(|row| (row.policy.to_string(), value(row)))
        .collect()
}

fn bar_chart(title: &str, values: &[(String, f64)]) -> Result<String, String> {
    use draw::IntoDrawingArea as _;
    let mut svg = String::new();
    let text = |error: &dyn std::fmt::Display| error.to_string();
    {
        let root = draw::SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&draw::WHITE).map_err(|e| text(&e))?;
        let top = values.iter().map(|(_, value)| *value).fold(1e-9, f64::max) * 1.1;
        let count = values.len() as f64;
        let mut chart = draw::ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 16))
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(0.0..count, 0.0..top)
            .map_err(|e| text(&e))?;
        let label = |at: &f64| {
            let name = values
                .get(at.floor() as usize)
                .map(|(name, _)| name.clone());
            name.unwrap_or_default()
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(values.len())
            .x_label_formatter(&label)
            .draw()
            .map_err(|e| text(&e))?;
        let boxes = values.iter().enumerate().map(|(at, (_, value))| {
            let corners = [(at as f64 + 0.1, 0.0), (at as f64 + 0.8, *value)];
            draw::Rectangle::new(corners, draw::ShapeStyle::from(&draw::BLUE).filled())
        });
        chart.draw_series(boxes).map_err(|e| text(&e))?;
        root.present().map_err(|e| text(&e))?;
    }
    Ok(svg)
}
