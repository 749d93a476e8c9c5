//! Runs a node: binds its addresses, starts its tasks, and stops it in order on a signal.
//!
//! `listeners` binds the addresses, and `stop` has the phases of the planned stop.

mod connection_limits;
mod listeners;
mod stop;

use std::{sync::Arc, time::Duration};

use tallybridge_core::{ErrorKind, Refusal};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{Instant, sleep},
};

use self::listeners::Listeners;
pub use self::{connection_limits::ConnectionLimits, stop::stop};
use crate::{
    listener::{
        callers::CallerHandler, control::ControlHandler, metrics::MetricsHandler,
        peers::accept_peers, serve,
    },
    memory::return_freed_memory,
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
        registration::maintain_registration,
        registry::follow_registry,
        reload::{SettingsSource, reload_settings},
        stored_quarantine::store_quarantine,
    },
};

/// Time between ticks, which update links, load and admission.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between removals of idle back-end connections and expired suspects.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a node until SIGTERM, then stops it in order.
///
/// # Errors
///
/// Returns a refusal if an address cannot be bound or a signal handler cannot be installed.
pub async fn run(
    settings: MeshSettings,
    source: Arc<dyn SettingsSource>,
    platform: Arc<dyn Platform>,
) -> Result<(), Refusal> {
    // Installed first, because a signal without a handler ends the process.
    let mut terminate = install_signal_handler(SignalKind::terminate())?;
    let hangup = install_signal_handler(SignalKind::hangup())?;
    return_freed_memory();
    let node = start(settings, platform).await?;
    tokio::spawn(reload_settings(node.clone(), source, hangup));
    log_start(&node);
    terminate.recv().await;
    stop(&node).await;
    Ok(())
}

fn log_start(node: &Node) {
    tracing::info!(
        node = node.record.node,
        service = node.record.service,
        zone = node.record.zone,
        callers = %node.settings.caller_address,
        ready = %node.settings.ready_address,
        "node started"
    );
    for policy in node.settings.policy.switches() {
        if !policy.is_on {
            tracing::warn!(policy = policy.name, "policy is disabled in the settings");
        }
    }
}

fn install_signal_handler(kind: SignalKind) -> Result<Signal, Refusal> {
    signal(kind).map_err(|error| Refusal::new(ErrorKind::Internal, error.to_string()))
}

/// Binds the addresses of a node, spawns its tasks and returns the running node.
///
/// # Errors
///
/// Returns a refusal if an address cannot be bound.
pub async fn start(
    settings: MeshSettings,
    platform: Arc<dyn Platform>,
) -> Result<Arc<Node>, Refusal> {
    let mut settings = settings;
    let listeners = Listeners::bind(&mut settings)?;
    let node = Arc::new(Node::new(settings, platform));
    serve_listeners(&node, listeners);
    tokio::spawn(open_links(node.clone()));
    tokio::spawn(verify_instance(node.clone()));
    tokio::spawn(watch_for_crashes(node.clone()));
    tokio::spawn(follow_configuration(node.clone()));
    tokio::spawn(follow_peers_configuration(node.clone()));
    tokio::spawn(refresh_for_revocations(node.clone()));
    tokio::spawn(follow_registry(node.clone()));
    tokio::spawn(maintain_registration(node.clone()));
    tokio::spawn(store_quarantine(node.clone()));
    tokio::spawn(run_ticks(node.clone()));
    Ok(node)
}

/// Starts a task for each listener.
fn serve_listeners(node: &Arc<Node>, listeners: Listeners) {
    let limits = ConnectionLimits::of_process(node.settings.memory_bytes());
    let clients = |max_connections| node.memory.listener_clients(max_connections);
    let control = || ControlHandler(node.clone());
    let others = limits.others;
    tokio::spawn(accept_peers(node.clone(), listeners.peers, clients(others)));
    tokio::spawn(serve(
        CallerHandler(node.clone()),
        listeners.callers,
        clients(limits.callers),
    ));
    tokio::spawn(serve(control(), listeners.ready, clients(others)));
    tokio::spawn(serve(control(), listeners.reports, clients(others)));
    tokio::spawn(serve(
        MetricsHandler(node.clone()),
        listeners.metrics,
        clients(others),
    ));
}

async fn run_ticks(node: Arc<Node>) {
    let mut next_cleanup = Instant::now() + CLEANUP_INTERVAL;
    loop {
        sleep(TICK_INTERVAL).await;
        node.tick();
        if Instant::now() >= next_cleanup {
            node.backend.prune();
            node.remove_expired_suspects();
            next_cleanup = Instant::now() + CLEANUP_INTERVAL;
        }
    }
}
