//! The report of a run: one HTML page that needs nothing else.

mod chart;
mod page;
mod series;

use std::path::Path;

pub use series::{ClassSeries, FaultSpan, RoundSeries, Window};

use crate::{measure::Summary, scenario::Scenario};

/// Name of the page within the directory.
const PAGE: &str = "index.html";

/// Writes the report into a directory.
///
/// # Errors
///
/// The directory or the page can't be written.
pub fn write_report(
    directory: &Path,
    scenario: &Scenario,
    summary: &Summary,
    rounds: &[RoundSeries],
) -> std::io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let page = page::render(scenario, summary, rounds).map_err(std::io::Error::other)?;
    std::fs::write(directory.join(PAGE), page)
}
