//! The stand-in as a process of its own.

use std::{net::SocketAddr, time::Duration};

use clap::Args;

use super::{
    announce::announce,
    server::{MachineListOptions, MachineListStandin},
};

/// Runs a stand-in of the machine list until the process is ended.
#[derive(Debug, Clone, Args)]
pub struct MachineListArguments {
    /// Address to listen on; port 0 lets the system choose.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Time until a change shows up, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub lag_ms: u64,
}

/// Serves until the future is dropped; prints one JSON line with the address when ready.
///
/// # Errors
///
/// When the address can't be listened on or standard output is closed.
pub async fn run(arguments: MachineListArguments) -> std::io::Result<()> {
    let standin = MachineListStandin::serve(MachineListOptions {
        listen: arguments.listen,
        lag: Duration::from_millis(arguments.lag_ms),
    })
    .await?;
    announce(standin.address())?;
    std::future::pending().await
}
