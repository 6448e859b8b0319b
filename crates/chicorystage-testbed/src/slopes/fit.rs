use crate::slopes::measurement::{Measurement, QUANTITIES};

/// A least-squares line, and the largest distance of a point from it along the y axis.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Fit {
    slope: f64,
    intercept: f64,
    residual: f64,
}

/// Prints one row per quantity: slope, intercept and largest residual.
pub(super) fn print_fits(points: &[(u32, Measurement)]) {
    println!(
        "  {:<26} {:>14} {:>14} {:>14}",
        "quantity", "slope", "intercept", "residual"
    );
    for (i, name) in QUANTITIES.iter().enumerate() {
        let points: Vec<(f64, f64)> = points
            .iter()
            .map(|(size, measured)| (f64::from(*size), as_f64(measured.values[i])))
            .collect();
        let fit = fit(&points);
        println!(
            "  {name:<26} {:>14.4} {:>14.1} {:>14.1}",
            fit.slope, fit.intercept, fit.residual
        );
    }
}

/// Fits a line by least squares; the slope is 0 where all x values are equal.
fn fit(points: &[(f64, f64)]) -> Fit {
    let count: f64 = points.iter().map(|_| 1.0).sum();
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    let intercept = mean_y - slope * mean_x;
    let residuals = points
        .iter()
        .map(|(x, y)| (y - slope * x - intercept).abs());
    Fit {
        slope,
        intercept,
        residual: residuals.fold(0.0, f64::max),
    }
}

fn as_f64(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
