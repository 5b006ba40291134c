//! The report: one HTML file with its plots inside.

use std::{error::Error, fs, path::Path};

use hdrhistogram::Histogram;
use plotters::prelude::*;

use crate::cases::CaseResult;

const SIZE: (u32, u32) = (760, 360);
/// Quantiles of a curve.
const STEPS: u32 = 200;
/// Waits below this are drawn as this: the scale is logarithmic.
const LEAST_MS: f64 = 10.0;

/// A curve of a plot.
struct Curve<'a> {
    name: String,
    waits: &'a Histogram<u64>,
    colour: RGBColor,
    is_thin: bool,
}

/// Writes the report.
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
        let is_here = |result: &&CaseResult| {
            (result.case.controllers, result.case.teams) == (controllers, teams)
        };
        let here: Vec<&CaseResult> = results.iter().filter(is_here).collect();
        body += &format!("<h2>{controllers} controllers, {teams} teams</h2>\n");
        body += &plot(&here)?;
    }
    for result in results.iter().filter(|result| !result.broken.is_empty()) {
        body += &format!(
            "<h2>Broken: {}</h2><pre>{}</pre>\n",
            result.case.name(),
            result.broken.join("\n")
        );
    }
    body += "</body></html>\n";
    fs::write(path, body)?;
    Ok(())
}

const HEAD: &str = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
<title>Quota between controllers</title><style>body{font-family:sans-serif;max-width:60em;\
margin:2em auto}td,th{padding:.2em .6em;text-align:right}td:first-child{text-align:left}\
</style></head><body>\n<h1>Quota between controllers</h1>\n\
<p>From simulated machines. Bursts of two tasks a team move from one controller's machines to \
the next; each team's limit is three tasks. Waits are from submission to start, in \
milliseconds. \u{201c}leader\u{201d} is the division by the leader, as in the versions before; \
\u{201c}transfers\u{201d} are transfers between controllers.</p>\n";

fn table(results: &[CaseResult]) -> String {
    let mut rows = String::from(
        "<table><tr><th>case</th><th>p50</th><th>p99</th><th>longest</th>\
         <th>without a leader, p50</th><th>longest</th><th>limits used in a flood</th>\
         <th>changes a start</th><th>not begun</th><th>rules broken</th></tr>\n",
    );
    for result in results {
        rows += &format!(
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>\
             <td>{:.2}</td><td>{:.2}</td><td>{}</td><td>{}</td></tr>\n",
            result.case.name(),
            result.waits.value_at_quantile(0.5),
            result.waits.value_at_quantile(0.99),
            result.waits.max(),
            result.without_leader.value_at_quantile(0.5),
            result.without_leader.max(),
            result.use_of_limits,
            result.changes,
            result.not_begun,
            result.broken.len(),
        );
    }
    rows + "</table>\n"
}

/// Two curves of each case: waits while a leader leads, and just after its death.
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
            waits: &result.waits,
            colour,
            is_thin: false,
        });
        curves.push(Curve {
            name: format!("{name}, without a leader"),
            waits: &result.without_leader,
            colour,
            is_thin: true,
        });
    }
    curves
}

/// Waits by the part of jobs that waited no longer, as a picture.
fn plot(results: &[&CaseResult]) -> Result<String, Box<dyn Error>> {
    let curves = curves(results);
    let longest = curves.iter().map(|curve| curve.waits.max()).max();
    let longest = longest.unwrap_or(0).max(1_000) as f64;
    let mut picture = String::new();
    {
        let area = SVGBackend::with_string(&mut picture, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..1.0, (LEAST_MS..longest).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("part of the jobs")
            .y_desc("wait, ms")
            .draw()?;
        for curve in &curves {
            let points = (0..=STEPS).map(|step| {
                let part = f64::from(step) / f64::from(STEPS);
                let wait = curve.waits.value_at_quantile(part) as f64;
                (part, wait.max(LEAST_MS))
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
    Ok(picture)
}
