//! A page of plots.

use std::path::Path;

use plotters::prelude::*;

use super::Row;
use super::Rows;
use super::figures::Figures;
use super::report::median;
use super::work::Scenario;

/// What is plotted: title and value.
type Plot = (&'static str, fn(&Figures) -> f64);

const PLOTS: [Plot; 4] = [
    ("stalled requests", |f| f.stalled),
    ("batch efficiency", |f| f.batch),
    ("interactive p99, seconds", |f| f.short_p99),
    ("late requests", |f| f.late),
];

const COLOURS: [RGBColor; 5] = [
    RGBColor(150, 150, 150),
    RGBColor(90, 120, 200),
    RGBColor(230, 180, 90),
    RGBColor(200, 80, 60),
    RGBColor(60, 150, 90),
];

/// Writes a page with a group of bars a scenario, a bar a policy.
///
/// # Errors
///
/// When the file cannot be written.
pub fn write(file: &Path, deployment: &str, all: &[(Scenario, Vec<Rows>)]) -> Result<(), String> {
    let area = SVGBackend::new(file, (1_200, 900)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| e.to_string())?;
    let legend = Row::ALL.iter().zip(COLOURS);
    let legend: Vec<_> = legend.map(|(row, colour)| (row.word(), colour)).collect();
    let area = area
        .titled(&format!("{deployment}: medians"), ("sans-serif", 24))
        .map_err(|e| e.to_string())?;
    for (panel, plot) in area.split_evenly((2, 2)).iter().zip(PLOTS) {
        draw(panel, plot, all, &legend).map_err(|e| e.to_string())?;
    }
    area.present().map_err(|e| e.to_string())
}

type Panel<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(
    panel: &Panel<'_>,
    (title, f): Plot,
    all: &[(Scenario, Vec<Rows>)],
    legend: &[(&str, RGBColor)],
) -> Result<(), String> {
    let value = |rows: &[Rows], row: &Row| {
        let values = rows.iter().filter_map(|r| r.get(row).map(f));
        median(values.collect())
    };
    let tops = all
        .iter()
        .flat_map(|(_, rows)| Row::ALL.map(|r| value(rows, &r)));
    let top = tops.fold(1e-9, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(panel)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..all.len() as f64, 0.0..top)
        .map_err(|e| e.to_string())?;
    let name = |x: &f64| {
        let scenario = all.get(*x as usize);
        scenario.map_or_else(String::new, |(s, _)| s.word().to_owned())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(all.len())
        .x_label_formatter(&name)
        .draw()
        .map_err(|e| e.to_string())?;
    for (k, (row, (word, colour))) in Row::ALL.iter().zip(legend).enumerate() {
        let left = k as f64 * 0.16 + 0.1;
        let bars = all.iter().enumerate().map(|(i, (_, rows))| {
            let x = i as f64 + left;
            Rectangle::new([(x, 0.0), (x + 0.14, value(rows, row))], colour.filled())
        });
        let colour = *colour;
        chart
            .draw_series(bars)
            .map_err(|e| e.to_string())?
            .label(*word)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|e| e.to_string())
}
