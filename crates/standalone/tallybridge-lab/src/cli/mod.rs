//! Command line of the lab.

mod experiment;
mod stand_in;

use std::{ffi::OsString, process::ExitCode};

use clap::{Parser, Subcommand};

use crate::scenario::{SHIPPED, Scenario};
use experiment::RunArgs;
use stand_in::StandIn;

/// Exit code when a run found a violation.
const EXIT_VIOLATION: u8 = 1;

/// Exit code when a run or a check could not be done.
const EXIT_FAILURE: u8 = 2;

/// Load and experiment tool for tallybridge.
#[derive(Debug, Parser)]
#[command(
    name = "tallybridge-lab",
    version,
    after_help = "Examples:\n  tallybridge-lab run feira\n  tallybridge-lab run feira --policy tallybridge --policy none --rounds 2 --summary summary.json\n  tallybridge-lab check my-mesh.toml"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a scenario: one that ships, or a file by path.
    Run(RunArgs),
    /// Check a scenario without running anything.
    Check {
        /// Name of a shipped scenario, or a path.
        scenario: String,
    },
    /// List the scenarios that ship.
    List,
    /// Run the tallybridge program with the rest of the arguments.
    #[command(hide = true)]
    Exec {
        /// Arguments of the program.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
    /// Run a stand-in for a part of the platform.
    #[command(subcommand, hide = true)]
    StandIn(StandIn),
}

/// Runs the command line.
#[must_use]
pub fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Run(arguments) => experiment::run(arguments),
        Command::Check { scenario } => check(&scenario),
        Command::List => list(),
        Command::Exec { arguments } => stand_in::exec(arguments),
        Command::StandIn(stand_in) => stand_in::run(stand_in),
    }
}

fn check(name_or_path: &str) -> ExitCode {
    match Scenario::load(name_or_path) {
        Ok(scenario) => {
            println!(
                "{}: {} services, {} back ends, {:.0} s",
                scenario.name,
                scenario.service.len(),
                scenario.backend_count(),
                scenario.seconds()
            );
            ExitCode::SUCCESS
        }
        Err(error) => fail(error.into()),
    }
}

fn list() -> ExitCode {
    for shipped in SHIPPED {
        match Scenario::load(shipped.name) {
            Ok(scenario) => println!("{:<12} {}", scenario.name, scenario.description),
            Err(error) => return fail(error.into()),
        }
    }
    ExitCode::SUCCESS
}

fn fail(report: miette::Report) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(EXIT_FAILURE)
}
