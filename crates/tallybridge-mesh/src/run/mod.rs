//! Runs a node: binds its addresses, starts its tasks, and stops it as planned on a signal.
//!
//! | file | job |
//! |---|---|
//! | `listeners` | binds the addresses |
//! | `stop` | the phases of the planned stop, with their times |

mod listeners;
mod stop;

use std::{sync::Arc, time::Duration};

use tallybridge_core::{ErrorKind, Refusal};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{Instant, sleep},
};

use self::listeners::Listeners;
pub use self::stop::stop;
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
        registration::maintain_registration,
        reload::{SettingsSource, reload_settings},
        stored_quarantine::store_quarantine,
    },
};

/// Time between ticks, in which links, load and admission are looked at. Origin not recorded.
const TICK: Duration = Duration::from_millis(100);
/// Time between removals of idle connections to the back end and of expired suspects. Origin not recorded.
const CLEAN_UP: Duration = Duration::from_secs(1);

/// Runs a node until a signal stops it.
///
/// # Errors
///
/// A refusal when an address can't be bound or a signal can't be handled.
pub async fn run(
    settings: MeshSettings,
    source: Arc<dyn SettingsSource>,
    platform: Arc<dyn Platform>,
) -> Result<(), Refusal> {
    // Before anything else: a signal without a handler would end the process.
    let mut terminate = on_signal(SignalKind::terminate())?;
    let hangup = on_signal(SignalKind::hangup())?;
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
    for switch in node.settings.policy.switches() {
        if !switch.is_on {
            tracing::warn!(policy = switch.name, "a policy is switched off");
        }
    }
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

async fn tick(node: Arc<Node>) {
    let mut clean_up_at = Instant::now() + CLEAN_UP;
    loop {
        sleep(TICK).await;
        node.tick();
        if Instant::now() >= clean_up_at {
            node.backend.prune();
            node.remove_expired_suspects();
            clean_up_at = Instant::now() + CLEAN_UP;
        }
    }
}
