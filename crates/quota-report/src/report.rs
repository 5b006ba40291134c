//! Writes the report as one HTML file with embedded plots.

use std::{error::Error, fs, path::Path};

use hdrhistogram::Histogram;
use plotters::prelude::*;

use crate::cases::CaseResult;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (760, 360);
/// Number of intervals between the plotted quantiles of a curve.
const QUANTILE_STEPS: u32 = 200;
/// Lower end of the logarithmic scale; shorter waits are drawn at this value.
const MIN_PLOTTED_MS: f64 = 10.0;

/// A curve of a plot.
struct Curve<'a> {
    name: String,
    waits_ms: &'a Histogram<u64>,
    colour: RGBColor,
    is_thin: bool,
}

/// Writes the report to a file.
pub fn write(path: &Path, results: &[CaseResult]) -> Result<(), Box<dyn Error>> {
    let mut body = String::from(HEAD);
    body += &table(results);
    let mut sizes: Vec<(usize, usize)> = Vec::new();
    for result in results {
        let size = (result.case.controllers, result.case.teams);
        if !sizes.contains(&size) {
            sizes.push(size);
        }
    }
    for (controllers, teams) in sizes {
        let has_size = |result: &&CaseResult| {
            (result.case.controllers, result.case.teams) == (controllers, teams)
        };
        let of_size: Vec<&CaseResult> = results.iter().filter(has_size).collect();
        body += &format!("<h2>{controllers} controllers, {teams} teams</h2>\n");
        body += &plot(&of_size)?;
    }
    for result in results
        .iter()
        .filter(|result| !result.violations.is_empty())
    {
        body += &format!(
            "<h2>Rule violations: {}</h2><pre>{}</pre>\n",
            result.case.name(),
            result.violations.join("\n")
        );
    }
    body += "</body></html>\n";
    fs::write(path, body)?;
    Ok(())
}

const HEAD: &str = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
<title>Division of quota among controllers</title><style>body{font-family:sans-serif;\
max-width:60em;margin:2em auto}td,th{padding:.2em .6em;text-align:right}td:first-child{text-align:left}\
</style></head><body>\n<h1>Division of quota among controllers</h1>\n\
<p>Measured on simulated machines. Bursts of two tasks per team move from one controller's \
machines to the next; each team's limit is three tasks. Waits are from submission to start, in \
milliseconds. \u{201c}leader\u{201d}: the leader divides the limits, as in earlier versions; \
\u{201c}transfers\u{201d}: controllers transfer quota to each other.</p>\n";

fn table(results: &[CaseResult]) -> String {
    let mut rows = String::from(
        "<table><tr><th>case</th><th>p50</th><th>p99</th><th>max</th>\
         <th>without a leader, p50</th><th>max</th><th>limit utilisation under overload</th>\
         <th>changes per start</th><th>not started</th><th>rule violations</th></tr>\n",
    );
    for result in results {
        rows += &format!(
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>\
             <td>{:.2}</td><td>{:.2}</td><td>{}</td><td>{}</td></tr>\n",
            result.case.name(),
            result.waits_ms.value_at_quantile(0.5),
            result.waits_ms.value_at_quantile(0.99),
            result.waits_ms.max(),
            result.waits_without_leader_ms.value_at_quantile(0.5),
            result.waits_without_leader_ms.max(),
            result.limit_utilisation,
            result.changes_per_start,
            result.not_started,
            result.violations.len(),
        );
    }
    rows + "</table>\n"
}

/// Returns two curves for each case: the waits while there is a leader, and just after its
/// crash.
fn curves<'a>(results: &[&'a CaseResult]) -> Vec<Curve<'a>> {
    let mut curves = Vec::new();
    for result in results {
        let (name, colour) = if result.case.transfers {
            ("transfers", BLUE)
        } else {
            ("leader", RED)
        };
        curves.push(Curve {
            name: name.to_owned(),
            waits_ms: &result.waits_ms,
            colour,
            is_thin: false,
        });
        curves.push(Curve {
            name: format!("{name}, without a leader"),
            waits_ms: &result.waits_without_leader_ms,
            colour,
            is_thin: true,
        });
    }
    curves
}

/// Plots the waits by quantile, as SVG.
fn plot(results: &[&CaseResult]) -> Result<String, Box<dyn Error>> {
    let curves = curves(results);
    let max_wait = curves.iter().map(|curve| curve.waits_ms.max()).max();
    let max_wait = max_wait.unwrap_or(0).max(1_000) as f64;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..1.0, (MIN_PLOTTED_MS..max_wait).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("fraction of jobs")
            .y_desc("wait, ms")
            .draw()?;
        for curve in &curves {
            let points = (0..=QUANTILE_STEPS).map(|step| {
                let quantile = f64::from(step) / f64::from(QUANTILE_STEPS);
                let wait = curve.waits_ms.value_at_quantile(quantile) as f64;
                (quantile, wait.max(MIN_PLOTTED_MS))
            });
            let colour = curve.colour;
            let style = colour.stroke_width(if curve.is_thin { 1 } else { 2 });
            chart
                .draw_series(LineSeries::new(points, style))?
                .label(curve.name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}
