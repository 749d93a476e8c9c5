//! The lifecycle of a node: readiness, the planned stop, changed settings, pauses of its process.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use super::Node;
use crate::{
    clock::{self, BootInstant, Pauses},
    settings::MeshSettings,
};

/// What a node does at its back end and for callers at all.
#[derive(Debug)]
pub(super) struct Lifecycle {
    /// A planned stop has begun.
    is_stopping: AtomicBool,
    /// The stop has come so far that nothing more is dispatched.
    refuses_work: AtomicBool,
    /// Most peers can't be reached.
    is_isolated: AtomicBool,
    requests_in_flight: AtomicUsize,
    /// Time from the order to stop until the process is killed, in milliseconds.
    stop_grace_ms: AtomicU64,
    /// Pauses of the process that this node has dealt with.
    pauses: AtomicU64,
}

impl Lifecycle {
    pub(super) fn new(settings: &MeshSettings) -> Self {
        Self {
            is_stopping: AtomicBool::new(false),
            refuses_work: AtomicBool::new(false),
            is_isolated: AtomicBool::new(false),
            requests_in_flight: AtomicUsize::new(0),
            stop_grace_ms: AtomicU64::new(settings.stop_grace_ms),
            pauses: AtomicU64::new(clock::record_tick().count),
        }
    }
}

/// Settings that change while the node runs.
impl Node {
    /// Applies what of new settings can change while the node runs: the stop's grace time and the
    /// retry budgets.
    pub fn apply_settings(&self, settings: &MeshSettings) {
        let grace = settings.stop_grace_ms;
        self.lifecycle.stop_grace_ms.store(grace, Ordering::Relaxed);
        self.tables().retries.update_settings(settings.retry);
    }

    /// Time from the order to stop until the process is killed.
    #[must_use]
    pub fn stop_grace(&self) -> Duration {
        Duration::from_millis(self.lifecycle.stop_grace_ms.load(Ordering::Relaxed))
    }
}

/// The planned stop. [`crate::run::stop`] has its phases.
impl Node {
    /// Begins the stop: the node is not ready for callers from now on, and peers prefer other
    /// executors. Calls that come all the same are executed.
    pub fn begin_stop(&self) {
        self.lifecycle.is_stopping.store(true, Ordering::Relaxed);
        self.publish();
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.lifecycle.is_stopping.load(Ordering::Relaxed)
    }

    /// From now on nothing more is dispatched to the back end.
    pub fn refuse_work(&self) {
        self.lifecycle.refuses_work.store(true, Ordering::Relaxed);
        self.slots.refuse_waiting();
        self.publish();
    }

    /// Whether nothing more is dispatched to the back end, as the node is about to end.
    #[must_use]
    pub fn refuses_work(&self) -> bool {
        self.lifecycle.refuses_work.load(Ordering::Relaxed)
    }

    /// Requests that are being worked on.
    #[must_use]
    pub fn requests_in_flight(&self) -> usize {
        self.lifecycle.requests_in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request until what is returned is dropped.
    #[must_use]
    pub fn request_begins(self: &Arc<Self>) -> RequestInFlight {
        let in_flight = &self.lifecycle.requests_in_flight;
        in_flight.fetch_add(1, Ordering::Relaxed);
        RequestInFlight(self.clone())
    }
}

/// Readiness, and the way back after a pause.
impl Node {
    /// Whether callers may use the node: it has a configuration, reaches its peers and is not
    /// stopping. A node that is cut off would refuse nearly all requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_isolated = self.lifecycle.is_isolated.load(Ordering::Relaxed);
        !self.is_stopping() && !is_isolated && self.tables().configuration.in_force().is_some()
    }

    /// Records whether most peers can't be reached.
    pub(super) fn set_isolated(&self, is_isolated: bool) {
        let was_isolated = self
            .lifecycle
            .is_isolated
            .swap(is_isolated, Ordering::Relaxed);
        match (was_isolated, is_isolated) {
            (false, true) => tracing::warn!("most peers can't be reached, the node is not ready"),
            (true, false) => tracing::info!("peers are reached again"),
            _ => {}
        }
    }

    /// Deals with a pause of the process that is new to this node. Other nodes went on meanwhile,
    /// so what may have changed there is not relied on until it is confirmed again: the watch of
    /// the store is suspected, the registration is renewed, and this node owns its quotas as if
    /// newly, since another owned them meanwhile.
    pub(super) fn note_pauses(&self, pauses: Pauses) {
        let known = self.lifecycle.pauses.swap(pauses.count, Ordering::Relaxed);
        if pauses.count <= known {
            return;
        }
        tracing::warn!(
            for_ms = pauses.last.as_millis() as u64,
            suspended_ms = clock::suspended().as_millis() as u64,
            "process was paused"
        );
        self.tables().restart_quota_ownership(BootInstant::now());
        self.suspect_watch();
        self.signals.resumed.notify_one();
    }

    /// Waits until this process runs again after a pause.
    pub async fn resumed(&self) {
        self.signals.resumed.notified().await;
    }
}

/// A request that is being worked on.
pub struct RequestInFlight(Arc<Node>);

impl Drop for RequestInFlight {
    fn drop(&mut self) {
        let in_flight = &self.0.lifecycle.requests_in_flight;
        in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
