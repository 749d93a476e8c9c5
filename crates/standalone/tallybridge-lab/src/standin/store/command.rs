//! The stand-in as a process of its own.

use std::net::SocketAddr;

use clap::Args;

use super::{options::StoreOptions, server::StoreStandin};
use crate::standin::machine_list::announce;

/// Runs a stand-in of the key-value store until the process is ended.
#[derive(Debug, Clone, Args)]
pub struct StoreArguments {
    /// Address to listen on; port 0 lets the system choose.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Requests per second that the store takes for long; no limit when absent.
    #[arg(long)]
    pub requests_per_second: Option<f64>,
    /// Requests that it takes at once after a rest.
    #[arg(long, default_value_t = 100)]
    pub burst: u32,
}

/// Serves until the future is dropped; prints one JSON line with the address when ready.
///
/// # Errors
///
/// When the address can't be listened on or standard output is closed.
pub async fn run(arguments: StoreArguments) -> std::io::Result<()> {
    let standin = StoreStandin::serve(StoreOptions {
        listen: arguments.listen,
        requests_per_second: arguments.requests_per_second,
        burst: arguments.burst,
    })
    .await?;
    announce(standin.address())?;
    std::future::pending().await
}
