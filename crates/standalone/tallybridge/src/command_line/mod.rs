//! The command line.

mod admin;
mod arguments;
mod check;
mod completions;
mod config;
mod explain;
mod failure;
mod files;
mod fleet;
mod logging;
mod node;
mod status;
mod store;
mod table;
mod utc;

use std::{
    ffi::OsString,
    io::{ErrorKind as IoErrorKind, Write},
    process::ExitCode,
};

use clap::{Parser, error::ErrorKind as UsageErrorKind};
use miette::MietteHandlerOpts;
use tallybridge_core::{ErrorKind, Refusal};

pub use arguments::{Arguments, Command};
pub use failure::Failure;

/// Runs the command line of this process. The exit code is 0 or that of the error's kind.
#[must_use]
pub fn main() -> ExitCode {
    run(std::env::args_os())
}

/// Runs a command line; the first argument is the program's name.
///
/// Results go to the standard output; errors, as reports, and logs, as JSON lines, to the standard
/// error.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        Err(error) => return usage(&error),
    };
    let result = execute(&arguments.command).and_then(|output| print(&output));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => report(failure),
    }
}

/// Shows a failure and gives its exit code.
fn report(failure: Failure) -> ExitCode {
    let exit_code = failure.kind().answer().exit_code;
    eprint!("{}", failure.attachment());
    // Fails only when an embedding program shows reports in its own way.
    let _ = miette::set_hook(Box::new(|_| {
        Box::new(MietteHandlerOpts::new().wrap_lines(false).build())
    }));
    eprintln!("{:?}", miette::Report::new(failure));
    ExitCode::from(exit_code)
}

/// Shows help, the version or what is wrong with the arguments.
fn usage(error: &clap::Error) -> ExitCode {
    // Nothing is left to be told when the terminal is gone.
    let _ = error.print();
    match error.kind() {
        UsageErrorKind::DisplayHelp | UsageErrorKind::DisplayVersion => ExitCode::SUCCESS,
        _ => ExitCode::from(ErrorKind::InvalidRequest.answer().exit_code),
    }
}

/// Runs a command and gives its output.
fn execute(command: &Command) -> Result<String, Failure> {
    if let Command::Node(node) = command {
        return node.run();
    }
    logging::start(logging::COMMAND_FILTER)?;
    match command {
        Command::Node(node) => node.run(),
        Command::Check(check) => check.run(),
        Command::Completions(completions) => Ok(completions.run()),
        Command::Config(config) => block_on(config.run()),
        Command::Status(status) => block_on(status.run()),
        Command::Explain(explain) => block_on(explain.run()),
    }
}

fn block_on<T>(future: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.map_err(|error| internal(&error))?.block_on(future)
}

/// Writes the output. A reader that has gone away, as `head` does, is no error.
fn print(output: &str) -> Result<(), Failure> {
    let mut stdout = std::io::stdout().lock();
    let written = stdout
        .write_all(output.as_bytes())
        .and_then(|()| stdout.flush());
    match written {
        Err(error) if error.kind() != IoErrorKind::BrokenPipe => Err(internal(&error)),
        _ => Ok(()),
    }
}

/// The system gave this process something less than it needs.
fn internal(error: &std::io::Error) -> Failure {
    Refusal::new(ErrorKind::Internal, error.to_string()).into()
}
