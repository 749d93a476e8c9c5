//! One node of the fleet with its back end.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock},
};

use tallybridge_config::{Settings, settings::BackendSettings};
use tallybridge_core::{InstanceId, RegionName, ServiceName, ZoneName};
use tallybridge_node::{
    NodeParts, RunningNode, actor::fleet::Seeds, connections::store::StoreTimes,
    context::NodeContext, start_core,
};
use tokio_util::sync::CancellationToken;

use super::{
    NODES, address,
    backend::{MemoryBackend, Mode},
    history::SharedHistory,
    service_name,
    switchboard::{NodeNetwork, Switchboard},
};

/// Calls that a back end runs at once, at first.
const INITIAL_LIMIT: u16 = 3;

pub struct Node {
    pub address: SocketAddr,
    /// Number of the run, over the whole fleet.
    pub run: u64,
    pub context: NodeContext,
    pub backend: Arc<MemoryBackend>,
    /// Cancelled when the node has ended.
    pub life: CancellationToken,
    /// What stops it as planned; taken when it does.
    pub running: Option<RunningNode>,
}

impl Node {
    pub async fn start(
        index: usize,
        service: usize,
        run: u64,
        board: &Arc<Switchboard>,
        history: &SharedHistory,
    ) -> Self {
        let address = address(index);
        let life = CancellationToken::new();
        let backend = Arc::new(MemoryBackend {
            address,
            run,
            position: service,
            history: Arc::clone(history),
            board: Arc::clone(board),
            node: OnceLock::new(),
            life: life.clone(),
            mode: Mutex::new(Mode::Well),
        });
        let network = NodeNetwork {
            board: Arc::clone(board),
            address,
            life: life.clone(),
        };
        let parts = NodeParts {
            network: Arc::new(network),
            backend: Some(backend.clone()),
            instance: InstanceId(run),
            store_times: StoreTimes::default(),
        };
        let running = start_core(settings(index, service), parts).await;
        let running = running.expect("starts");
        let context = running.context.clone();
        // Set once for each back end.
        let _ = backend.node.set(context.clone());
        let seeds = (0..NODES).map(super::address).collect();
        context.ask(Seeds(seeds)).await.expect("joins");
        Self {
            address,
            run,
            context,
            backend,
            life,
            running: Some(running),
        }
    }

    pub fn is_up(&self) -> bool {
        !self.life.is_cancelled()
    }

    /// Ends the node with all its streams. What still runs of it in this process reaches nobody.
    pub fn kill(&self) {
        self.life.cancel();
        self.context.shutdown.cancel();
    }
}

fn settings(index: usize, service: usize) -> Settings {
    let address = address(index);
    Settings {
        peer_address: address,
        caller_address: address,
        admin_address: address,
        region: RegionName::from("south"),
        zone: ZoneName::from(["a", "b"][index % 2]),
        rack: String::new(),
        backend: Some(BackendSettings {
            service: ServiceName::from(service_name(service)),
            address,
            max_connections: 16,
            initial_limit: INITIAL_LIMIT,
        }),
        store: Vec::new(),
        machine_list: None,
        seeds: Vec::new(),
        log: "off".to_owned(),
        drain_ms: 5_000,
    }
}
