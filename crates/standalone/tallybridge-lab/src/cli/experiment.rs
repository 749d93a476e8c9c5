//! The `run` command.

use std::{path::PathBuf, process::ExitCode, sync::Arc};

use clap::Args;
use miette::{Context, IntoDiagnostic};
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    measure::{Summary, print_table},
    policy::Policy,
    report::write_report,
    run::{self, RunOptions, RunResult},
    scenario::Scenario,
};

/// Exit code after an interrupt, as shells give it for SIGINT.
const EXIT_INTERRUPTED: u8 = 130;

/// Flags of the `run` command.
#[derive(Debug, Clone, Args)]
pub struct RunArgs {
    /// Name of a shipped scenario, or a path.
    scenario: String,
    /// Policy to run; may be given again to compare. The default is `tallybridge` alone.
    #[arg(long = "policy", value_enum)]
    policies: Vec<Policy>,
    /// How often each policy is run; their order changes from round to round.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=100))]
    rounds: u16,
    /// Seed of the arrivals, in place of the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// File to write the summary to, as JSON.
    #[arg(long)]
    summary: Option<PathBuf>,
    /// Directory to write the report to, as one HTML page.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Directory in which to keep settings, logs and records.
    #[arg(long)]
    keep_files: Option<PathBuf>,
}

/// Runs an experiment. The exit code is 1 when tallybridge violated a guarantee.
pub fn run(arguments: RunArgs) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new().into_diagnostic() {
        Ok(runtime) => runtime,
        Err(error) => return super::fail(error),
    };
    let ended = runtime.block_on(async {
        // Dropping the experiment kills its processes.
        tokio::select! {
            ended = experiment(&arguments) => ended.map(Some),
            () = interrupted() => Ok(None),
        }
    });
    match ended {
        Ok(Some(summary)) if violates(&summary) => ExitCode::from(super::EXIT_VIOLATION),
        Ok(Some(_)) => ExitCode::SUCCESS,
        Ok(None) => ExitCode::from(EXIT_INTERRUPTED),
        Err(error) => super::fail(error),
    }
}

async fn experiment(arguments: &RunArgs) -> miette::Result<Summary> {
    let scenario = Arc::new(Scenario::load(&arguments.scenario)?);
    let mut policies = Vec::new();
    for policy in &arguments.policies {
        if !policies.contains(policy) {
            policies.push(*policy);
        }
    }
    if policies.is_empty() {
        policies.push(Policy::Tallybridge);
    }
    let options = RunOptions {
        seed: arguments.seed.unwrap_or(scenario.seed),
        policies,
        rounds: usize::from(arguments.rounds),
        keep_files: arguments.keep_files.clone(),
    };
    let RunResult { summary, rounds } = run::run(Arc::clone(&scenario), &options).await?;
    print_table(&summary);
    if let Some(path) = &arguments.summary {
        let text = serde_json::to_string_pretty(&summary).into_diagnostic()?;
        std::fs::write(path, text + "\n")
            .into_diagnostic()
            .wrap_err_with(|| format!("can't write {}", path.display()))?;
    }
    if let Some(directory) = &arguments.report {
        write_report(directory, &scenario, &summary, &rounds)
            .into_diagnostic()
            .wrap_err_with(|| format!("can't write the report in {}", directory.display()))?;
    }
    Ok(summary)
}

/// Whether tallybridge violated a guarantee; the baselines give none.
fn violates(summary: &Summary) -> bool {
    summary
        .policies
        .iter()
        .any(|policy| policy.name == Policy::Tallybridge.name() && policy.violations.total() > 0)
}

/// Waits for an interrupt or a request to end.
async fn interrupted() {
    let (Ok(mut interrupt), Ok(mut terminate)) = (
        signal(SignalKind::interrupt()),
        signal(SignalKind::terminate()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}
