use std::path::Path;

use plotters::prelude::*;

use crate::replay::Report;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (760, 480);
/// Radius of a point, in pixels.
const RADIUS: u32 = 5;

/// Writes an SVG that plots cold-start p99 against idle hours, one point per policy.
pub(crate) fn write_plot(directory: &Path, trace: &str, reports: &[Report]) -> anyhow::Result<()> {
    std::fs::create_dir_all(directory)?;
    let file = directory.join(format!("{trace}.svg"));
    let points = reports.iter().map(|report| {
        let hours = thousandths(report.idle_millihours);
        let seconds = thousandths(report.cold_p99_ms);
        (hours, seconds, report.policy.as_str())
    });
    let points: Vec<(f64, f64, &str)> = points.collect();
    let axis_max =
        |value: fn(&(f64, f64, &str)) -> f64| points.iter().map(value).fold(1.0, f64::max) * 1.15;
    let (hours_max, seconds_max) = (axis_max(|point| point.0), axis_max(|point| point.1));
    let area = SVGBackend::new(&file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .caption(trace, ("sans-serif", 18))
        .build_cartesian_2d(0.0..hours_max, 0.0..seconds_max)?;
    chart
        .configure_mesh()
        .x_desc("idle accelerator hours")
        .y_desc("cold-start p99 of all requests, s")
        .draw()?;
    chart.draw_series(points.iter().map(|(hours, seconds, name)| {
        let color = if *name == "learned" { RED } else { BLUE };
        EmptyElement::at((*hours, *seconds))
            + Circle::new((0, 0), RADIUS, color.filled())
            + Text::new((*name).to_owned(), (8, -6), ("sans-serif", 12))
    }))?;
    area.present()?;
    Ok(())
}

fn thousandths(value: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "plotted values are small")]
    let value = value as f64;
    value / 1_000.0
}
