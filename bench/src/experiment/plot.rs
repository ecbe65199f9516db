//! What the mechanisms are worth, as a picture.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;

use super::ExperimentError;
use super::plan::Variant;
use super::table::Worth;

const SIZE: (u32, u32) = (1_100, 700);

/// The least change that the axis shows.
const LEAST_SIDE: f64 = 0.02;

/// Writes a bar for each mechanism: the mean over the days of what is lost
/// without it.
pub(super) fn write(
    file: &Path,
    worths: &BTreeMap<(Variant, (String, String)), Worth>,
) -> Result<(), ExperimentError> {
    let mut lost: BTreeMap<Variant, Vec<f64>> = BTreeMap::new();
    for ((variant, _), worth) in worths {
        if variant.0.is_some() && worth.lost.is_finite() {
            lost.entry(*variant).or_default().push(worth.lost);
        }
    }
    let bars = lost.iter().map(|(variant, all)| {
        let mean = all.iter().sum::<f64>() / all.len() as f64;
        (variant.to_string(), mean)
    });
    let bars: Vec<_> = bars.collect();
    draw(file, &bars).map_err(|e| ExperimentError::Plot(e.to_string()))
}

fn draw(file: &Path, bars: &[(String, f64)]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let side = bars.iter().map(|(_, v)| v.abs()).fold(LEAST_SIDE, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption("Worth lost without each mechanism", ("sans-serif", 22))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(150)
        .build_cartesian_2d(-side..side, 0.0..bars.len().max(1) as f64)?;
    let name = |y: &f64| {
        bars.get(*y as usize)
            .map_or_else(String::new, |b| b.0.clone())
    };
    chart
        .configure_mesh()
        .y_labels(bars.len())
        .y_label_formatter(&name)
        .draw()?;
    let rows = bars.iter().enumerate().map(|(n, (_, value))| {
        let corners = [(0.0, n as f64 + 0.2), (*value, n as f64 + 0.8)];
        Rectangle::new(corners, BLUE.filled())
    });
    chart.draw_series(rows)?;
    area.present()?;
    Ok(())
}
