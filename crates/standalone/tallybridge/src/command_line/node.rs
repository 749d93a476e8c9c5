//! `tallybridge node`.

use std::{net::SocketAddr, path::PathBuf};

use clap::Args;
use tallybridge_config::{Settings, SettingsOverrides};

use super::{Failure, files::read_bytes, logging};

/// What reports call the settings when there is no file.
const NO_FILE: &str = "(flags only)";

const EXAMPLES: &str = "\
Examples:
  tallybridge node /etc/tallybridge/node.toml
  tallybridge node node.toml --zone hall-b --log info,tallybridge_node=debug

A flag goes before the file. SIGTERM stops the node as planned: it takes no new work, finishes what
is in flight and exits with 0; a second SIGTERM ends it at once.";

/// Run a node beside a back end, until a signal stops it.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub struct Node {
    /// Settings file; without one, the flags must give all that has no default.
    settings: Option<PathBuf>,
    /// Address for peers: connections over TCP, probes over UDP.
    #[arg(long, value_name = "ADDRESS")]
    peer_address: Option<SocketAddr>,
    /// Address for callers and nested calls, HTTP.
    #[arg(long, value_name = "ADDRESS")]
    caller_address: Option<SocketAddr>,
    /// Address for metrics and status, HTTP.
    #[arg(long, value_name = "ADDRESS")]
    admin_address: Option<SocketAddr>,
    /// Region of the machine.
    #[arg(long, value_name = "NAME")]
    region: Option<String>,
    /// Zone of the machine.
    #[arg(long, value_name = "NAME")]
    zone: Option<String>,
    /// Rack of the machine.
    #[arg(long, value_name = "NAME")]
    rack: Option<String>,
    /// Service of the back end beside the node.
    #[arg(long, value_name = "NAME")]
    backend_service: Option<String>,
    /// HTTP address of the back end.
    #[arg(long, value_name = "ADDRESS")]
    backend_address: Option<SocketAddr>,
    /// Most connections to the back end.
    #[arg(long, value_name = "NUMBER")]
    backend_max_connections: Option<u16>,
    /// First concurrency limit of the back end.
    #[arg(long, value_name = "NUMBER")]
    backend_initial_limit: Option<u16>,
    /// Address of the configuration store; give it once for each address.
    #[arg(long, value_name = "ADDRESS", value_delimiter = ',')]
    store: Option<Vec<SocketAddr>>,
    /// Address of the machine list.
    #[arg(long, value_name = "ADDRESS")]
    machine_list: Option<SocketAddr>,
    /// Peer address to join through; give it once for each address.
    #[arg(long = "seed", value_name = "ADDRESS", value_delimiter = ',')]
    seeds: Option<Vec<SocketAddr>>,
    /// Log filter, as in `info,tallybridge_node=debug`.
    #[arg(long, value_name = "FILTER")]
    log: Option<String>,
    /// Longest time a planned stop waits for calls in flight, in milliseconds.
    #[arg(long, value_name = "MILLISECONDS")]
    drain_ms: Option<u32>,
}

impl Node {
    /// Runs the node to its end.
    pub fn run(&self) -> Result<String, Failure> {
        let settings = self.read_settings()?;
        logging::start(&settings.log)?;
        let runtime = runtime().map_err(|error| super::internal(&error))?;
        runtime.block_on(tallybridge_node::run(settings))?;
        Ok(String::new())
    }

    fn read_settings(&self) -> Result<Settings, Failure> {
        let overrides = self.overrides();
        let settings = match &self.settings {
            Some(path) => {
                let bytes = read_bytes(path)?;
                Settings::parse_bytes_with(&path.to_string_lossy(), &bytes, &overrides)
            }
            None => Settings::parse_with(NO_FILE, "", &overrides),
        };
        Ok(settings?)
    }

    fn overrides(&self) -> SettingsOverrides {
        SettingsOverrides {
            peer_address: self.peer_address,
            caller_address: self.caller_address,
            admin_address: self.admin_address,
            region: self.region.as_deref().map(Into::into),
            zone: self.zone.as_deref().map(Into::into),
            rack: self.rack.clone(),
            backend_service: self.backend_service.as_deref().map(Into::into),
            backend_address: self.backend_address,
            backend_max_connections: self.backend_max_connections,
            backend_initial_limit: self.backend_initial_limit,
            store: self.store.clone(),
            machine_list: self.machine_list,
            seeds: self.seeds.clone(),
            log: self.log.clone(),
            drain_ms: self.drain_ms,
        }
    }
}

/// One thread: a call's tasks wake each other without crossing threads, which on a small machine
/// beside a busy back end is what a call waits for most.
fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}
