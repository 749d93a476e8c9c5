//! A node on a thread of its own, so that its processor time can be told from others'.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tallybridge_config::settings::BackendSettings;
use tallybridge_core::InstanceId;
use tallybridge_node::{
    NodeParts,
    actor::{configuration::ApplyRecords, fleet::Seeds, status::CountMembers},
    connections::{
        backend::{BackendClient, HttpBackend},
        caller::serve_callers,
        store::StoreTimes,
    },
    context::NodeContext,
    start_core,
};
use tokio::{net::TcpListener, runtime, sync::oneshot};

use super::setting::{first_revision, settings};
use crate::scale::{
    counting::{CountingNetwork, Traffic},
    usage,
};

/// Deadline of the calls, in milliseconds.
const DEADLINE_MS: u32 = 5_000;

/// A node on a thread of its own.
pub struct NodeThread {
    /// Its parts.
    pub context: NodeContext,
    /// What it sends.
    pub traffic: Arc<Traffic>,
    /// Where it takes calls in.
    pub caller_address: SocketAddr,
    handle: runtime::Handle,
}

impl NodeThread {
    /// Starts a node, and returns once its addresses are bound.
    pub async fn start(backend: Option<BackendSettings>) -> io::Result<Self> {
        let (started, waiting) = oneshot::channel();
        std::thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else {
                return;
            };
            runtime.block_on(async {
                // Nobody waits when the measure has been given up.
                let _ = started.send(start_here(backend).await);
                std::future::pending::<()>().await;
            });
        });
        waiting.await.map_err(io::Error::other)?
    }

    /// Processor time of the node's thread so far.
    pub async fn busy(&self) -> Duration {
        let asked = self.handle.spawn(async { usage::thread_time() });
        asked.await.unwrap_or_default()
    }
}

async fn start_here(backend: Option<BackendSettings>) -> io::Result<NodeThread> {
    let network = CountingNetwork::bind().await?;
    let traffic = network.traffic();
    let settings = settings(network.address(), backend);
    let client = match &settings.backend {
        Some(backend) => {
            let client = HttpBackend::new(backend).map_err(io::Error::other)?;
            Some(Arc::new(client) as Arc<dyn BackendClient>)
        }
        None => None,
    };
    let parts = NodeParts {
        network: Arc::new(network),
        backend: client,
        instance: InstanceId::random(),
        store_times: StoreTimes::default(),
    };
    let node = start_core(settings, parts)
        .await
        .map_err(io::Error::other)?;
    let context = node.context.clone();
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let caller_address = listener.local_addr()?;
    tokio::spawn(serve_callers(context.clone(), listener));
    Ok(NodeThread {
        context,
        traffic,
        caller_address,
        handle: runtime::Handle::current(),
    })
}

/// Gives nodes a configuration and makes them known to each other.
pub async fn introduce(nodes: &[&NodeContext]) -> io::Result<()> {
    const POLL: Duration = Duration::from_millis(100);
    let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.identity.address).collect();
    for node in nodes {
        let records = ApplyRecords(vec![first_revision(DEADLINE_MS)]);
        node.ask(records).await.map_err(io::Error::other)?;
        let seeds = Seeds(addresses.clone());
        node.ask(seeds).await.map_err(io::Error::other)?;
    }
    for node in nodes {
        while node.ask(CountMembers).await.map_err(io::Error::other)? < nodes.len() {
            tokio::time::sleep(POLL).await;
        }
    }
    Ok(())
}
