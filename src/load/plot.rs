//! Plots of several runs side by side.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

use crate::load::Report;

const SIZE: (u32, u32) = (900, 480);
const BARS: [(&str, RGBColor); 3] = [
    ("p50", RGBColor(120, 160, 200)),
    ("p95", RGBColor(60, 100, 160)),
    ("p99", RGBColor(20, 40, 90)),
];

/// Draws the time to first token of each run as bars into an SVG file.
///
/// # Errors
/// When there is nothing to draw or the file can't be written.
pub fn plot_reports(reports: &[Report], path: &Path) -> Result<()> {
    if reports.is_empty() {
        return Err(eyre!("no runs to draw"));
    }
    let top = reports.iter().map(|r| r.first_token.p99).fold(1.0, f64::max) * 1.1;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let width = reports.len() as f64;
    let mut chart = ChartBuilder::on(&root)
        .margin(16)
        .x_label_area_size(8)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..width, 0.0..top)?;
    chart.configure_mesh().disable_x_mesh().disable_x_axis().draw()?;
    for (i, report) in reports.iter().enumerate() {
        let values = [report.first_token.p50, report.first_token.p95, report.first_token.p99];
        for (j, (value, (_, colour))) in values.into_iter().zip(BARS).enumerate() {
            let left = i as f64 + 0.1 + j as f64 * 0.27;
            let bar = Rectangle::new([(left, 0.0), (left + 0.25, value)], colour.filled());
            chart.draw_series(std::iter::once(bar))?;
        }
    }
    root.present()?;
    label(path, reports)
}

/// Writes the labels as SVG text: the drawing library is built without font support.
fn label(path: &Path, reports: &[Report]) -> Result<()> {
    let svg = std::fs::read_to_string(path)?;
    let step = f64::from(SIZE.0 - 92) / reports.len() as f64;
    let mut labels = String::from(
        "<text x=\"8\" y=\"14\" font-size=\"12\">time to first token, ms: p50, p95, p99</text>\n",
    );
    for (i, report) in reports.iter().enumerate() {
        let x = 76.0 + step * i as f64;
        labels.push_str(&format!(
            "<text x=\"{x:.0}\" y=\"{}\" font-size=\"11\">{} (seed {})</text>\n",
            SIZE.1 - 4,
            report.policy,
            report.seed
        ));
    }
    std::fs::write(path, svg.replace("</svg>", &format!("{labels}</svg>")))?;
    Ok(())
}
