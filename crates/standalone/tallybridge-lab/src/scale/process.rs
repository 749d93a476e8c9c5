//! One process for each fleet, so that processor time and memory are that fleet's alone.

use std::{
    io,
    process::{Command, Stdio},
};

use serde::{Serialize, de::DeserializeOwned};

use super::{
    calls, decisions,
    fleet_run::measure_fleet,
    options::FleetOptions,
    summary::{CallFigures, FleetFigures, ScaleSummary},
};

/// What to measure.
#[derive(Debug, Clone)]
pub struct ScaleOptions {
    /// Sizes of the fleets.
    pub nodes: Vec<usize>,
    /// Rates of calls between two nodes, in calls a second.
    pub rates: Vec<u32>,
    /// Whether single decisions are timed.
    pub decisions: bool,
}

/// Why nothing was measured.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ScaleError {
    /// A socket or a process.
    #[error("the measure can't be run: {0}")]
    System(#[from] io::Error),
    /// The process of one part ended in failure.
    #[error("the process for `{0}` ended in failure")]
    Failed(String),
    /// What the process of one part wrote is no figure.
    #[error("the figures of `{0}` can't be read: {1}")]
    Unreadable(String, serde_json::Error),
}

/// Arguments of one part, after `scale-part`.
type Part = Vec<String>;

/// Measures everything, each part in a process of its own.
///
/// # Errors
///
/// [`ScaleError`] when a part can't be run; the parts before it are lost.
pub fn measure_all(options: &ScaleOptions) -> Result<ScaleSummary, ScaleError> {
    let mut summary = ScaleSummary::default();
    for nodes in &options.nodes {
        let figures: FleetFigures = run_part(vec!["fleet".into(), nodes.to_string()])?;
        eprintln!("{}", super::report::fleet_row(&figures));
        summary.fleets.push(figures);
    }
    for rate in &options.rates {
        let figures: CallFigures = run_part(vec!["calls".into(), rate.to_string()])?;
        summary.calls.push(figures);
    }
    if !options.rates.is_empty() {
        summary.call_memory_bytes = Some(run_part(vec!["call-memory".into()])?);
    }
    if options.decisions {
        summary.decisions = run_part(vec!["decisions".into()])?;
    }
    Ok(summary)
}

fn run_part<T: DeserializeOwned>(part: Part) -> Result<T, ScaleError> {
    let name = part.join(" ");
    let output = Command::new(std::env::current_exe()?)
        .arg("scale-part")
        .args(&part)
        .stdin(Stdio::null())
        .stderr(Stdio::inherit())
        .output()?;
    if !output.status.success() {
        return Err(ScaleError::Failed(name));
    }
    serde_json::from_slice(&output.stdout).map_err(|error| ScaleError::Unreadable(name, error))
}

/// Measures one part in this process and writes its figures to standard output.
///
/// # Errors
///
/// [`ScaleError`] when it can't be run or there is no such part.
pub fn measure_one(part: &[String]) -> Result<(), ScaleError> {
    let number = part.get(1).and_then(|number| number.parse::<u32>().ok());
    match (part.first().map(String::as_str), number) {
        (Some("fleet"), Some(nodes)) => {
            let runtime = tokio::runtime::Runtime::new()?;
            let options = FleetOptions::of_size(nodes as usize);
            write(&runtime.block_on(measure_fleet(&options))?)
        }
        (Some("calls"), Some(rate)) => write(&calls::measure_rate(rate)?),
        (Some("call-memory"), None) => write(&calls::measure_memory()?),
        (Some("decisions"), None) => write(&decisions::measure()),
        _ => Err(ScaleError::Failed(part.join(" "))),
    }
}

fn write(figures: &impl Serialize) -> Result<(), ScaleError> {
    let text = serde_json::to_string(figures).map_err(io::Error::other)?;
    println!("{text}");
    Ok(())
}
