//! Readiness, the planned stop and changed settings of a node.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use super::Node;
use crate::{
    clock::{self, BootInstant, Pauses},
    settings::MeshSettings,
};

impl Node {
    /// Takes in what of new settings can change while the node runs.
    pub fn take_in_settings(&self, settings: &MeshSettings) {
        let grace = settings.stop_grace_ms;
        self.stop_grace_ms.store(grace, Ordering::Relaxed);
        self.tables().retries.set(settings.retry);
    }

    /// Time until the process is killed after an order to stop.
    #[must_use]
    pub fn stop_grace(&self) -> Duration {
        Duration::from_millis(self.stop_grace_ms.load(Ordering::Relaxed))
    }

    /// Whether the node has been told to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop: callers and the other nodes are told. Calls are still executed, for
    /// those who find no other executor.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.publish();
    }

    /// From now on nothing new is handed to the back end.
    pub fn refuse_work(&self) {
        self.refuses_work.store(true, Ordering::Relaxed);
        self.slots.refuse_waiting();
        self.publish();
    }

    /// Whether nothing new is handed to the back end since the node is about to end.
    #[must_use]
    pub fn refuses_work(&self) -> bool {
        self.refuses_work.load(Ordering::Relaxed)
    }

    /// Whether the node can serve callers: one that is cut off from the fleet refuses nearly all
    /// that comes, so callers are to go elsewhere.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_isolated = self.is_isolated.load(Ordering::Relaxed);
        !self.is_stopping() && !is_isolated && self.tables().configuration.is_some()
    }

    /// Takes in how often this process has been paused. After each time what others did meanwhile is found
    /// out anew before it is relied on: the watch is doubted, the registration renewed, and limits that
    /// were kept here begin as at a new home, since another node has been the home meanwhile.
    pub(super) fn note_pauses(&self, pauses: Pauses) {
        let known = self.pauses.swap(pauses.count, Ordering::Relaxed);
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
        self.resumed.notify_one();
    }

    /// Waits until this process goes on after a pause.
    pub async fn resumed(&self) {
        self.resumed.notified().await;
    }

    /// Takes in whether the node is cut off from the fleet.
    pub(super) fn set_isolated(&self, is_isolated: bool) {
        let was_isolated = self.is_isolated.swap(is_isolated, Ordering::Relaxed);
        match (was_isolated, is_isolated) {
            (false, true) => tracing::warn!("most peers can't be reached, the node is not ready"),
            (true, false) => tracing::info!("peers are reached again"),
            _ => {}
        }
    }

    /// Requests that are being worked on.
    #[must_use]
    pub fn requests_in_flight(&self) -> usize {
        self.requests_in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request for as long as what is returned lives.
    #[must_use]
    pub fn request_begins(self: &Arc<Self>) -> RequestInFlight {
        self.requests_in_flight.fetch_add(1, Ordering::Relaxed);
        RequestInFlight(self.clone())
    }
}

/// A request that is being worked on.
pub struct RequestInFlight(Arc<Node>);

impl Drop for RequestInFlight {
    fn drop(&mut self) {
        self.0.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
