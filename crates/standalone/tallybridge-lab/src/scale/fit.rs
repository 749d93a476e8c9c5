//! How a figure grows with a size: least squares.

use serde::{Deserialize, Serialize};

/// One measured figure at one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The size, such as the number of nodes.
    pub size: f64,
    /// The figure.
    pub figure: f64,
}

/// A fitted line `figure = base + slope · f(size)`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The figure at `f(size) = 0`.
    pub base: f64,
    /// What the figure grows by for each unit of `f(size)`.
    pub slope: f64,
    /// Share of the variance that the line explains, from 0 to 1.
    pub r_squared: f64,
}

/// Fits `figure = base + slope · size`; `None` below two different sizes.
#[must_use]
pub fn fit_line(points: &[Point]) -> Option<Fit> {
    fit(points, |size| size)
}

/// Fits `figure = base + slope · size · log2(size)`; `None` below two different sizes.
#[must_use]
pub fn fit_log_linear(points: &[Point]) -> Option<Fit> {
    fit(points, |size| size * size.log2())
}

fn fit(points: &[Point], scale: impl Fn(f64) -> f64) -> Option<Fit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| scale(point.size)).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.figure).sum::<f64>() / count;
    let mut covariance = 0.0;
    let mut variance_x = 0.0;
    let mut variance_y = 0.0;
    for point in points {
        let x = scale(point.size) - mean_x;
        let y = point.figure - mean_y;
        covariance += x * y;
        variance_x += x * x;
        variance_y += y * y;
    }
    if points.len() < 2 || variance_x == 0.0 {
        return None;
    }
    let slope = covariance / variance_x;
    let r_squared = if variance_y == 0.0 {
        1.0
    } else {
        covariance * covariance / (variance_x * variance_y)
    };
    Some(Fit {
        base: mean_y - slope * mean_x,
        slope,
        r_squared,
    })
}
