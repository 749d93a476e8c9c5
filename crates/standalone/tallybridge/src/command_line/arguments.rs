//! The commands and their help.

use clap::{Parser, Subcommand};

use super::{
    check::Check, completions::Completions, config::Config, explain::Explain, node::Node,
    status::Status,
};

const EXAMPLES: &str = "\
Examples:
  tallybridge check node.toml fleet.toml
  tallybridge node node.toml --zone hall-b
  tallybridge config get --store 192.0.2.10:2379 > fleet.toml
  tallybridge config apply fleet.toml --base 7 --author alice --comment 'More time for billing' \\
      --store 192.0.2.10:2379 --admin 192.0.2.21:7403 --wait 30
  tallybridge status --admin 192.0.2.21:7403
  tallybridge explain 0190f0c4-5a7e-7cc3-9c1d-2f0a6b1e4d55 --admin 192.0.2.21:7403

Exit codes: 0, or the code of the error's kind, which the report names. Wrong arguments: 64.";

/// Overload control for service call graphs.
#[derive(Debug, Parser)]
#[command(name = "tallybridge", version, about, after_help = EXAMPLES)]
pub struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a node beside a back end, until a signal stops it.
    Node(Box<Node>),
    /// Check settings and configuration files; name every mistake.
    Check(Check),
    /// Read and change the configuration of the fleet.
    Config(Config),
    /// Show what nodes say about themselves.
    Status(Status),
    /// Show what was decided for one request, where and why.
    Explain(Explain),
    /// Print a completion script for a shell.
    Completions(Completions),
}
