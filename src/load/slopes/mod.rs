//! Slopes: what one more of something costs. `docs/CAPACITY.md` is worked out from them.

mod compute;
mod overhead;
mod system;

pub use compute::decide_once;
pub use overhead::{Overhead, measure_overhead};

use std::fmt;

use eyre::Result;
use serde::Serialize;

/// One fitted line.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What is counted along the line.
    pub per: Box<str>,
    /// What is measured.
    pub measured: Box<str>,
    /// Unit of the measured value.
    pub unit: Box<str>,
    /// Sizes and what was measured at each.
    pub points: Vec<(f64, f64)>,
    /// Value at size 0.
    pub base: f64,
    /// Growth by one more.
    pub slope: f64,
    /// Largest distance of a point from the line, relative to the largest value.
    pub residual: f64,
}

impl Slope {
    /// Fits a line by least squares.
    pub fn fit(per: &str, measured: &str, unit: &str, points: Vec<(f64, f64)>) -> Self {
        let n = points.len().max(1) as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let joint: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let base = mean_y - slope * mean_x;
        let top = points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let off = points.iter().map(|p| (p.1 - base - slope * p.0).abs()).fold(0.0, f64::max);
        Self {
            per: per.into(),
            measured: measured.into(),
            unit: unit.into(),
            points,
            base,
            slope,
            residual: off / top,
        }
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let points: Vec<String> =
            self.points.iter().map(|(x, y)| format!("{x:.0}: {y:.3}")).collect();
        write!(
            f,
            "{} per {}: {:.4} {} (base {:.3}, residual {:.1} %; {})",
            self.measured,
            self.per,
            self.slope,
            self.unit,
            self.base,
            self.residual * 100.0,
            points.join(", ")
        )
    }
}

/// Measures all slopes: first what can be computed in memory, then running systems.
///
/// # Errors
/// When a system can't be started.
pub async fn measure() -> Result<Vec<Slope>> {
    let mut slopes = compute::measure();
    slopes.extend(system::measure().await?);
    Ok(slopes)
}
