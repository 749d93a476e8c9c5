//! The `tallybridge` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    tallybridge::command_line::main()
}
