//! Starts a node and stops it as planned.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tallybridge_config::Settings;
use tallybridge_core::{ErrorKind, InstanceId, NodeId, Refusal};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use xtra::{Address, Mailbox};

use crate::{
    actor::{
        MAILBOX_CAPACITY, NodeActor, TICK_INTERVAL, Tick,
        fleet::{Depart, Leave, StopTakingCalls},
        now,
    },
    connections::{
        admin::{Admin, serve_operators},
        backend::{BackendClient, HttpBackend},
        caller::serve_callers,
        catch_up::catch_up,
        claims::{catch_up::catch_up_map, copies::copy_claims, map, planner::plan_partitions},
        discovery::follow_machine_list,
        gossip::gossip,
        peer::{
            accept::accept_peers,
            introduction::Peer,
            links::{PeerLinks, close_idle_links},
            network::{Network, SocketNetwork},
        },
        store::{StoreTimes, follow_configuration},
    },
    context::NodeContext,
    systems::membership::refresh_endpoints,
    tables::Tables,
};

/// A node that has been started.
pub struct RunningNode {
    /// Its parts.
    pub context: NodeContext,
    /// Fires when an operator asks for a planned stop.
    pub leave: CancellationToken,
    background: TaskTracker,
}

/// Runs a node until it is told to stop: by a signal or by an operator.
///
/// # Errors
///
/// A refusal when an address can't be bound or calls were cut off at the end of the drain time.
pub async fn run(settings: Settings) -> Result<(), Refusal> {
    let node = start(settings).await?;
    tracing::info!(node = %node.context.identity, "node started");
    wait_for_stop(&node.leave).await?;
    tokio::select! {
        finished = node.stop() => finished,
        () = second_signal() => {
            Err(Refusal::new(ErrorKind::Internal, "stopped at once by a second signal"))
        }
    }
}

async fn wait_for_stop(leave: &CancellationToken) -> Result<(), Refusal> {
    let mut terminate = signal(SignalKind::terminate()).map_err(internal)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
        () = leave.cancelled() => {}
    }
    Ok(())
}

async fn second_signal() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

/// What a node is built on: sockets and HTTP in the program, parts in memory in tests and in a
/// process that runs many nodes.
#[derive(Clone)]
pub struct NodeParts {
    /// The way to other nodes.
    pub network: Arc<dyn Network>,
    /// The back end beside the node, if it has one.
    pub backend: Option<Arc<dyn BackendClient>>,
    /// This run of the node, drawn at random in the program and fixed in tests; it seeds the
    /// node's random choices.
    pub instance: InstanceId,
    /// Times of the work with the store.
    pub store_times: StoreTimes,
}

impl NodeParts {
    /// Sockets, and a back end that speaks HTTP.
    ///
    /// # Errors
    ///
    /// A refusal when the HTTP library can't be set up.
    pub fn real(settings: &Settings) -> Result<Self, Refusal> {
        Ok(Self {
            network: Arc::new(SocketNetwork),
            backend: http_backend(settings)?,
            instance: InstanceId::random(),
            store_times: StoreTimes::default(),
        })
    }
}

/// Starts a node and returns once its addresses are bound.
///
/// # Errors
///
/// A refusal when an address can't be bound or the HTTP library can't be set up.
pub async fn start(settings: Settings) -> Result<RunningNode, Refusal> {
    let parts = NodeParts::real(&settings)?;
    start_with(settings, parts).await
}

/// Starts a node on other parts than the usual ones.
///
/// # Errors
///
/// As [`start`].
pub async fn start_with(settings: Settings, parts: NodeParts) -> Result<RunningNode, Refusal> {
    let store_times = parts.store_times;
    let caller_listener = bind(settings.caller_address).await?;
    let admin_listener = bind(settings.admin_address).await?;
    let node = start_core(settings, parts).await?;
    let admin = Admin {
        context: node.context.clone(),
        metrics: metrics_handle(),
        leave: node.leave.clone(),
    };
    let background = &node.background;
    background.spawn(serve_callers(node.context.clone(), caller_listener));
    background.spawn(serve_operators(admin, admin_listener));
    background.spawn(follow_machine_list(node.context.clone()));
    background.spawn(follow_configuration(node.context.clone(), store_times));
    background.spawn(map::follow_map(node.context.clone()));
    background.spawn(plan_partitions(node.context.clone()));
    Ok(node)
}

/// Starts a node's tables, systems and peer links, without callers, operators and the platform.
///
/// # Errors
///
/// A refusal when the peer address can't be bound.
pub async fn start_core(settings: Settings, parts: NodeParts) -> Result<RunningNode, Refusal> {
    let peer_address = settings.peer_address;
    let listener = parts.network.listen(peer_address).await;
    let listener = listener.map_err(|error| bind_failed(peer_address, &error))?;
    let socket = parts.network.bind_datagrams(peer_address).await;
    let socket = socket.map_err(|error| bind_failed(peer_address, &error))?;
    let identity = NodeId {
        address: peer_address,
        instance: parts.instance,
    };
    let hello = introduction(identity, &settings).hello();
    let context = NodeContext {
        identity,
        backend: parts.backend,
        actor: spawn_actor(identity, &settings),
        settings: Arc::new(settings),
        links: PeerLinks::new(hello.clone(), parts.network),
        calls: TaskTracker::new(),
        peer_ahead: Arc::default(),
        map_ahead: Arc::default(),
        shutdown: CancellationToken::new(),
    };
    let background = TaskTracker::new();
    background.spawn(tick(context.clone()));
    background.spawn(accept_peers(context.clone(), listener, hello));
    background.spawn(gossip(context.clone(), socket));
    background.spawn(close_idle_links(context.clone()));
    background.spawn(catch_up(context.clone()));
    background.spawn(map::fetch_first_map(context.clone()));
    background.spawn(catch_up_map(context.clone()));
    background.spawn(copy_claims(context.clone()));
    Ok(RunningNode {
        context,
        leave: CancellationToken::new(),
        background,
    })
}

fn introduction(identity: NodeId, settings: &Settings) -> Peer {
    Peer {
        node: identity,
        service: settings
            .backend
            .as_ref()
            .map(|backend| backend.service.clone()),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        rack: settings.rack.clone(),
    }
}

fn spawn_actor(identity: NodeId, settings: &Settings) -> Address<NodeActor> {
    let mut tables = Tables::new(identity, settings, now());
    refresh_endpoints(&mut tables, now());
    xtra::spawn_tokio(NodeActor { tables }, Mailbox::bounded(MAILBOX_CAPACITY))
}

fn http_backend(settings: &Settings) -> Result<Option<Arc<dyn BackendClient>>, Refusal> {
    let Some(backend) = &settings.backend else {
        return Ok(None);
    };
    let client = HttpBackend::new(backend).map_err(internal)?;
    Ok(Some(Arc::new(client)))
}

/// Renders the process's metrics. In a process that runs several nodes the first one installs the
/// recorder and the others show an empty page.
fn metrics_handle() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    // Fails when another node of this process has installed its recorder already.
    let _ = metrics::set_global_recorder(recorder);
    handle
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Refusal> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| bind_failed(address, &error))?;
    // Accepted connections inherit the option on Linux.
    let _ = socket2::SockRef::from(&listener).set_tcp_nodelay(true);
    Ok(listener)
}

fn bind_failed(address: SocketAddr, error: &io::Error) -> Refusal {
    Refusal::new(
        ErrorKind::NodeUnavailable,
        format!("address {address} can't be bound: {error}"),
    )
}

fn internal(error: impl std::fmt::Display) -> Refusal {
    Refusal::new(ErrorKind::Internal, error.to_string())
}

async fn tick(context: NodeContext) {
    let mut timer = tokio::time::interval(TICK_INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            _ = timer.tick() => {}
        }
        if context.ask(Tick).await.is_err() {
            return;
        }
    }
}

/// Time between the announcement that a node leaves and the refusal of calls from outside, in which
/// callers and their balancers find another node.
const LEAVE_NOTICE: Duration = Duration::from_millis(500);
/// Time for the last datagrams and answers to go out.
const FAREWELL: Duration = Duration::from_millis(500);

impl RunningNode {
    /// Takes no new work, finishes what is in flight, then ends.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] when calls were still in flight at the end of the drain time.
    pub async fn stop(self) -> Result<(), Refusal> {
        let context = &self.context;
        context.ask(Leave).await?;
        tokio::time::sleep(LEAVE_NOTICE).await;
        context.ask(StopTakingCalls).await?;
        context.calls.close();
        let drain = Duration::from_millis(context.settings.drain_ms.into());
        let drained = tokio::time::timeout(drain, context.calls.wait()).await;
        let left = context.calls.len();
        context.ask(Depart).await?;
        tokio::time::sleep(FAREWELL).await;
        context.shutdown.cancel();
        self.background.close();
        // Background tasks end by themselves; one that hangs must not hold up the stop.
        let _ = tokio::time::timeout(FAREWELL, self.background.wait()).await;
        drained.map_err(|_| {
            Refusal::new(
                ErrorKind::Internal,
                format!("{left} calls were cut off at the end of the drain time"),
            )
        })
    }
}
