//! Hidden commands: the processes that a run starts.

use std::{
    ffi::OsString,
    io::{IsTerminal, Read},
    process::ExitCode,
};

use clap::Subcommand;
use miette::IntoDiagnostic;

use crate::{
    policy::router::{self, RouterArgs},
    standin::{
        backend::{self, BackendArgs},
        machine_list::{self, MachineListArguments},
        store::{self, StoreArguments},
    },
};

/// Parts of the platform that a stand-in takes the place of.
#[derive(Debug, Subcommand)]
pub enum StandIn {
    /// A back end.
    Backend(BackendArgs),
    /// The key-value store.
    Store(StoreArguments),
    /// The machine list.
    MachineList(MachineListArguments),
    /// The router of the baseline policies.
    Router(RouterArgs),
}

/// Runs a stand-in until its standard input is closed.
pub fn run(stand_in: StandIn) -> ExitCode {
    exit_with_parent();
    tracing_subscriber::fmt()
        .json()
        .with_writer(std::io::stderr)
        .with_max_level(tracing::Level::WARN)
        .init();
    let runtime = match tokio::runtime::Runtime::new().into_diagnostic() {
        Ok(runtime) => runtime,
        Err(error) => return super::fail(error),
    };
    let ended = runtime.block_on(async {
        match stand_in {
            StandIn::Backend(arguments) => backend::run(arguments).await.into_diagnostic(),
            StandIn::Store(arguments) => store::run(arguments).await.into_diagnostic(),
            StandIn::MachineList(arguments) => machine_list::run(arguments).await.into_diagnostic(),
            StandIn::Router(arguments) => router::run(arguments).await.into_diagnostic(),
        }
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => super::fail(error),
    }
}

/// Runs the tallybridge program in this process.
pub fn exec(arguments: Vec<OsString>) -> ExitCode {
    exit_with_parent();
    let program = OsString::from("tallybridge");
    tallybridge::command_line::run(std::iter::once(program).chain(arguments))
}

/// Ends this process when standard input is closed, so that no process outlives a run whose own
/// process was killed. A terminal as standard input is left alone.
fn exit_with_parent() {
    if std::io::stdin().is_terminal() {
        return;
    }
    std::thread::spawn(|| {
        let mut sink = [0; 64];
        let mut input = std::io::stdin().lock();
        while matches!(input.read(&mut sink), Ok(count) if count > 0) {}
        std::process::exit(0);
    });
}
