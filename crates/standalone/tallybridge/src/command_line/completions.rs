//! `tallybridge completions`.

use clap::{Args, CommandFactory};
use clap_complete::Shell;

use super::Arguments;

/// Print a completion script for a shell.
#[derive(Debug, Args)]
#[command(
    after_help = "Example:\n  tallybridge completions bash > /etc/bash_completion.d/tallybridge"
)]
pub struct Completions {
    /// The shell.
    shell: Shell,
}

impl Completions {
    /// The script.
    pub fn run(&self) -> String {
        let mut script = Vec::new();
        clap_complete::generate(
            self.shell,
            &mut Arguments::command(),
            "tallybridge",
            &mut script,
        );
        String::from_utf8_lossy(&script).into_owned()
    }
}
