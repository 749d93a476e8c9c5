//! The `scale` command.

use std::{path::PathBuf, process::ExitCode};

use clap::Args;
use miette::{Context, IntoDiagnostic};

use crate::scale::{self, ScaleOptions, ScaleSummary};

/// Flags of the `scale` command.
#[derive(Debug, Clone, Args)]
pub struct ScaleArgs {
    /// Sizes of the fleets of hollow nodes.
    #[arg(long, value_delimiter = ',', default_value = "50,100,200,400,920")]
    nodes: Vec<usize>,
    /// Rates of calls between two nodes, in calls a second; empty for none.
    #[arg(long, value_delimiter = ',', default_value = "250,500,1000,2000")]
    rates: Vec<u32>,
    /// Leave the fleets out.
    #[arg(long)]
    no_fleets: bool,
    /// Leave the calls out.
    #[arg(long)]
    no_calls: bool,
    /// Leave the timing of single decisions out.
    #[arg(long)]
    no_decisions: bool,
    /// File to write the figures to, as JSON.
    #[arg(long)]
    summary: Option<PathBuf>,
}

/// Measures what nodes cost and prints it.
pub fn run(arguments: ScaleArgs) -> ExitCode {
    match measure(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => super::fail(error),
    }
}

fn measure(arguments: ScaleArgs) -> miette::Result<()> {
    let options = ScaleOptions {
        nodes: if arguments.no_fleets {
            Vec::new()
        } else {
            arguments.nodes
        },
        rates: if arguments.no_calls {
            Vec::new()
        } else {
            arguments.rates
        },
        decisions: !arguments.no_decisions,
    };
    let summary: ScaleSummary = scale::measure_all(&options)?;
    scale::print_table(&summary);
    if let Some(path) = &arguments.summary {
        let text = serde_json::to_string_pretty(&summary).into_diagnostic()?;
        std::fs::write(path, text + "\n")
            .into_diagnostic()
            .wrap_err_with(|| format!("can't write {}", path.display()))?;
    }
    Ok(())
}

/// Measures one part in this process.
pub fn part(part: &[String]) -> ExitCode {
    match scale::measure_one(part) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => super::fail(error.into()),
    }
}
