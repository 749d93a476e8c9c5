//! Load and experiment tool for tallybridge.

use std::process::ExitCode;

fn main() -> ExitCode {
    tallybridge_lab::cli::main()
}
