//! Starts a node, keeps it running and stops it as planned.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tallybridge_core::{ErrorKind, Refusal};
use tokio::{
    net::{TcpListener, TcpSocket},
    signal::unix::{Signal, SignalKind, signal},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    listener::{
        callers::CallerHandler, control::ControlHandler, metrics::MetricsHandler,
        peers::accept_peers, serve,
    },
    node::Node,
    platform::Platform,
    settings::MeshSettings,
    tasks::{
        configuration::{
            follow_configuration, follow_peers_configuration, refresh_for_revocations,
        },
        crash_detection::watch_for_crashes,
        health::verify_instance,
        links::open_links,
        registration::{maintain_registration, unregister},
        reload::{SettingsSource, reload_settings},
        stored_quarantine::store_quarantine,
    },
};

/// Time between looks at links and load.
const TICK: Duration = Duration::from_millis(100);
/// Time between looks at resting connections to the back end.
const PRUNE: Duration = Duration::from_secs(1);
/// New connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// After an order to stop, callers are sent elsewhere in this time at the latest.
const NOTICE: Duration = Duration::from_millis(2600);
/// A node that has had no request for this time while it stops is done.
const QUIET: Duration = Duration::from_millis(400);
/// Kept off the time until the process is killed.
const STOP_MARGIN: Duration = Duration::from_millis(350);

/// Runs a node until a signal stops it.
///
/// # Errors
///
/// A refusal when an address can't be bound.
pub async fn run(
    settings: MeshSettings,
    source: Arc<dyn SettingsSource>,
    platform: Arc<dyn Platform>,
) -> Result<(), Refusal> {
    let mut terminate = on_signal(SignalKind::terminate())?;
    // Taken before anything else: without a handler the signal would end the process.
    let hangup = on_signal(SignalKind::hangup())?;
    let node = start(settings, platform).await?;
    tokio::spawn(reload_settings(node.clone(), source, hangup));
    tracing::info!(
        node = node.record.node,
        service = node.record.service,
        zone = node.record.zone,
        callers = %node.settings.caller_address,
        ready = %node.settings.ready_address,
        "node started"
    );
    for switch in node.settings.policy.switches() {
        if !switch.is_on {
            tracing::warn!(policy = switch.name, "a policy is switched off");
        }
    }
    terminate.recv().await;
    stop(&node).await;
    Ok(())
}

fn on_signal(kind: SignalKind) -> Result<Signal, Refusal> {
    signal(kind).map_err(|error| Refusal::new(ErrorKind::Internal, error.to_string()))
}

/// Starts a node and returns once its addresses are bound.
///
/// # Errors
///
/// A refusal when an address can't be bound.
pub async fn start(
    settings: MeshSettings,
    platform: Arc<dyn Platform>,
) -> Result<Arc<Node>, Refusal> {
    let mut settings = settings;
    let listeners = Listeners::bind(&mut settings)?;
    let node = Arc::new(Node::new(settings, platform));
    tokio::spawn(accept_peers(node.clone(), listeners.peers));
    tokio::spawn(open_links(node.clone()));
    tokio::spawn(serve(CallerHandler(node.clone()), listeners.callers));
    tokio::spawn(serve(ControlHandler(node.clone()), listeners.ready));
    tokio::spawn(serve(ControlHandler(node.clone()), listeners.reports));
    tokio::spawn(serve(MetricsHandler(node.clone()), listeners.metrics));
    tokio::spawn(verify_instance(node.clone()));
    tokio::spawn(watch_for_crashes(node.clone()));
    tokio::spawn(follow_configuration(node.clone()));
    tokio::spawn(follow_peers_configuration(node.clone()));
    tokio::spawn(refresh_for_revocations(node.clone()));
    tokio::spawn(maintain_registration(node.clone()));
    tokio::spawn(store_quarantine(node.clone()));
    tokio::spawn(tick(node.clone()));
    Ok(node)
}

/// The addresses of a node, bound.
struct Listeners {
    peers: TcpListener,
    callers: TcpListener,
    ready: TcpListener,
    reports: TcpListener,
    metrics: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings. A port 0 is replaced by the one that the system gave.
    fn bind(settings: &mut MeshSettings) -> Result<Self, Refusal> {
        Ok(Self {
            peers: bind(&mut settings.peer_address)?,
            callers: bind(&mut settings.caller_address)?,
            ready: bind(&mut settings.ready_address)?,
            reports: bind(&mut settings.report_address)?,
            metrics: bind(&mut settings.metrics_address)?,
        })
    }
}

fn bind(address: &mut SocketAddr) -> Result<TcpListener, Refusal> {
    let listener = listen(*address).map_err(|error| {
        let detail = format!("address {address} can't be bound: {error}");
        Refusal::new(ErrorKind::NodeUnavailable, detail)
    })?;
    if let Ok(bound) = listener.local_addr() {
        *address = bound;
    }
    Ok(listener)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn tick(node: Arc<Node>) {
    let mut prune_at = Instant::now() + PRUNE;
    loop {
        sleep(TICK).await;
        node.tick();
        if Instant::now() >= prune_at {
            node.backend.prune();
            node.remove_expired_suspects();
            prune_at = Instant::now() + PRUNE;
        }
    }
}

/// Takes no new work for others, finishes what is in flight and serves callers until they have
/// gone elsewhere.
pub async fn stop(node: &Arc<Node>) {
    let told = Instant::now();
    let grace = node.stop_grace();
    let last = told + grace.saturating_sub(STOP_MARGIN);
    tracing::info!(in_flight = node.requests_in_flight(), "node stops");
    node.begin_stop();
    sleep_until((told + NOTICE).min(last)).await;
    node.refuse_work();
    let mut quiet_since = Instant::now();
    while Instant::now() < last && quiet_since.elapsed() < QUIET {
        sleep(Duration::from_millis(20)).await;
        let is_busy = node.requests_in_flight() > 0 || node.load().in_flight > 0;
        if is_busy {
            quiet_since = Instant::now();
        }
    }
    unregister(node).await;
    tracing::info!(cut_off = node.requests_in_flight(), "node stopped");
}
