//! One round: one policy deployed, driven, ended and read out.

use std::{
    io::Write,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use indicatif::{ProgressBar, ProgressStyle};
use miette::Diagnostic;
use thiserror::Error;
use tokio::time::Instant;

use crate::{
    checker::History,
    fault::run_faults,
    load::{Arrival, Driver, ProbeRecord, RequestRecord},
    policy::Policy,
    process::{Deployment, ProcessError},
    scenario::Scenario,
    standin::backend::{Execution, read_executions},
};

/// Time between readiness and the first phase, for the back ends to get warm.
const WARM_UP: Duration = Duration::from_secs(2);

/// Time after the last answer for executions that were given up to be written down.
const SETTLE: Duration = Duration::from_millis(500);

/// File with what callers recorded, beside the back ends' logs.
const REQUESTS_FILE: &str = "requests.jsonl";

/// Why a round can't be run.
#[derive(Debug, Error, Diagnostic)]
pub enum RunError {
    /// A deployment doesn't start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Process(#[from] ProcessError),
    /// A file of the run can't be made or read.
    #[error("a file of the run can't be made or read")]
    Files(#[from] std::io::Error),
    /// The callers' client can't be made.
    #[error("an HTTP client can't be made")]
    Client(#[from] reqwest::Error),
}

/// One round.
#[derive(Debug, Clone)]
pub struct Round {
    /// Scenario.
    pub scenario: Arc<Scenario>,
    /// Policy.
    pub policy: Policy,
    /// Number, from 0.
    pub number: usize,
    /// Directory to keep the files in.
    pub keep_files: Option<PathBuf>,
}

/// What a round brought.
#[derive(Debug)]
pub struct RoundOutcome {
    /// All records.
    pub history: History,
    /// Answered probes.
    pub probes: Vec<ProbeRecord>,
}

/// Records are appended, so those of an earlier run would be taken for this one's.
fn create_fresh(directory: &Path) -> std::io::Result<()> {
    std::fs::create_dir(directory).map_err(|error| {
        let path = directory.display();
        let mend = "keep the files of each run in a directory of its own";
        std::io::Error::new(error.kind(), format!("{path}: {error}: {mend}"))
    })
}

impl Round {
    /// Deploys, drives, ends and reads out.
    ///
    /// # Errors
    ///
    /// [`RunError`].
    pub async fn run(&self, arrivals: &[Arrival]) -> Result<RoundOutcome, RunError> {
        let temporary;
        let directory = match &self.keep_files {
            Some(directory) => {
                std::fs::create_dir_all(directory)?;
                let directory = directory.join(format!("{}-{}", self.policy, self.number));
                create_fresh(&directory)?;
                directory
            }
            None => {
                temporary = tempfile::tempdir()?;
                temporary.path().to_owned()
            }
        };
        self.run_in(&directory, arrivals).await
    }

    async fn run_in(
        &self,
        directory: &Path,
        arrivals: &[Arrival],
    ) -> Result<RoundOutcome, RunError> {
        let progress = self.progress();
        progress.set_message("starting");
        let mut deployment = Deployment::start(&self.scenario, self.policy, directory).await?;
        tokio::time::sleep(WARM_UP).await;
        progress.set_message("load");
        let driver = Driver::new(
            Arc::clone(&self.scenario),
            deployment.entries(),
            self.probed_backends(&deployment),
        )?;
        let start = Instant::now();
        let (load, faults) = tokio::join!(
            driver.run(arrivals, start, &progress),
            run_faults(&self.scenario, &mut deployment, start),
        );
        tokio::time::sleep(SETTLE).await;
        progress.set_message("reading records");
        let executions = read_all(&deployment)?;
        if self.keep_files.is_some() {
            write_requests(directory, &load.requests)?;
        }
        deployment.stop().await;
        for fault in &faults.faults {
            if let Some(failure) = &fault.failure {
                // `ProgressBar::println` says nothing where there is no terminal.
                progress.suspend(|| eprintln!("fault {:?}: {failure}", fault.fault.action));
            }
        }
        progress.finish_and_clear();
        Ok(RoundOutcome {
            history: History::new(
                Arc::clone(&self.scenario),
                load.requests,
                executions,
                faults,
            ),
            probes: load.probes,
        })
    }

    fn probed_backends(&self, deployment: &Deployment) -> Vec<std::net::SocketAddr> {
        let probed = self
            .scenario
            .probe
            .as_deref()
            .and_then(|name| self.scenario.kind(name));
        deployment
            .machines
            .iter()
            .filter(|machine| probed.is_some_and(|kind| kind.service == machine.service))
            .map(|machine| machine.addresses.backend)
            .collect()
    }

    fn progress(&self) -> ProgressBar {
        let length_ms = (self.scenario.seconds() * 1_000.0) as u64;
        let style = ProgressStyle::with_template("{prefix} {bar:40} {percent:>3}% {msg}")
            .unwrap_or_else(|_| ProgressStyle::default_bar());
        ProgressBar::new(length_ms)
            .with_style(style)
            .with_prefix(format!("{:<11} round {}", self.policy, self.number + 1))
    }
}

/// Writes what callers recorded, a request a line.
fn write_requests(directory: &Path, requests: &[RequestRecord]) -> std::io::Result<()> {
    let file = std::fs::File::create(directory.join(REQUESTS_FILE))?;
    let mut output = std::io::BufWriter::new(file);
    for request in requests {
        serde_json::to_writer(&mut output, request)?;
        output.write_all(b"\n")?;
    }
    output.flush()
}

fn read_all(deployment: &Deployment) -> std::io::Result<Vec<Execution>> {
    let mut executions = Vec::new();
    for machine in &deployment.machines {
        executions.extend(read_executions(&machine.name, &machine.execution_log)?);
    }
    Ok(executions)
}
