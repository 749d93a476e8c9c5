//! `tallybridge config`.

mod apply;
mod conflict;
mod diff;
mod get;
mod history;
mod in_force;

use clap::{Args, Subcommand};

use super::Failure;

/// Read and change the configuration of the fleet.
#[derive(Debug, Args)]
pub struct Config {
    #[command(subcommand)]
    command: ConfigCommand,
}

#[derive(Debug, Subcommand)]
enum ConfigCommand {
    /// Print the configuration as a file.
    Get(get::Get),
    /// Make a file the next revision.
    Apply(apply::Apply),
    /// Show what a file would change, or what lies between two revisions.
    Diff(diff::Diff),
    /// Show who changed what, when and why.
    History(history::History),
}

impl Config {
    /// Runs the command.
    pub async fn run(&self) -> Result<String, Failure> {
        match &self.command {
            ConfigCommand::Get(get) => get.run().await,
            ConfigCommand::Apply(apply) => apply.run().await,
            ConfigCommand::Diff(diff) => diff.run().await,
            ConfigCommand::History(history) => history.run().await,
        }
    }
}
