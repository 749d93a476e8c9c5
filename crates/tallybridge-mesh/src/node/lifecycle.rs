//! The lifecycle of a node: readiness, planned stop, changed settings and pauses of its process.

use std::{
    sync::{
        OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use super::Node;
use crate::{
    clock::{self, BootInstant, Pauses},
    in_flight::{InFlight, InFlightCounter},
    settings::MeshSettings,
};

/// Time to the end of a planned stop that a call needs to begin, unless its deadline is before that end. The
/// end of the process would cut off a call that takes longer.
const MIN_TIME_FOR_CALL: Duration = Duration::from_millis(2000);

/// Flags and counts that decide whether a node accepts requests and dispatches calls.
#[derive(Debug)]
pub(super) struct Lifecycle {
    is_stopping: AtomicBool,
    /// Set in the last phase of a planned stop, when no more calls are dispatched.
    refuses_work: AtomicBool,
    /// End of the planned stop, which cuts off calls in flight; empty unless a stop is in progress.
    stop_deadline: OnceLock<BootInstant>,
    /// Whether most peers are unreachable.
    is_isolated: AtomicBool,
    /// Requests whose answers this node has not written to their callers.
    requests: InFlightCounter,
    /// Connections of callers whose last answer has been written and may not have arrived.
    closing_connections: InFlightCounter,
    /// Calls that peers sent to this node as their executor.
    peer_calls: InFlightCounter,
    /// Links that peers opened to this node.
    accepted_links: InFlightCounter,
    /// Time from the order to stop until the process is killed, in milliseconds.
    stop_grace_ms: AtomicU64,
    /// Number of pauses of the process that this node has handled.
    handled_pauses: AtomicU64,
}

impl Lifecycle {
    pub(super) fn new(settings: &MeshSettings) -> Self {
        Self {
            is_stopping: AtomicBool::new(false),
            refuses_work: AtomicBool::new(false),
            stop_deadline: OnceLock::new(),
            is_isolated: AtomicBool::new(false),
            requests: InFlightCounter::default(),
            closing_connections: InFlightCounter::default(),
            peer_calls: InFlightCounter::default(),
            accepted_links: InFlightCounter::default(),
            stop_grace_ms: AtomicU64::new(settings.stop_grace_ms),
            handled_pauses: AtomicU64::new(clock::record_tick().count),
        }
    }
}

/// Settings that change while the node runs.
impl Node {
    /// Applies the settings that can change while the node runs: the grace time of a stop and the
    /// retry budgets.
    pub fn apply_settings(&self, settings: &MeshSettings) {
        let grace_ms = settings.stop_grace_ms;
        self.lifecycle
            .stop_grace_ms
            .store(grace_ms, Ordering::Relaxed);
        self.tables().retries.update_settings(settings.retry);
    }

    /// Returns the time from the order to stop until the process is killed.
    #[must_use]
    pub fn stop_grace(&self) -> Duration {
        Duration::from_millis(self.lifecycle.stop_grace_ms.load(Ordering::Relaxed))
    }
}

/// The planned stop, whose phases are defined in [`crate::run::stop`].
impl Node {
    /// Begins a planned stop: the node reports that it is not ready, and peers prefer other
    /// executors. Calls that still arrive are executed.
    pub fn begin_stop(&self) {
        self.lifecycle.is_stopping.store(true, Ordering::Relaxed);
        self.publish();
    }

    /// Returns whether a planned stop is in progress.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.lifecycle.is_stopping.load(Ordering::Relaxed)
    }

    /// Sets the end of the planned stop, from which no call is in flight any more. Has an effect once only.
    pub fn set_stop_deadline(&self, deadline: BootInstant) {
        self.lifecycle.stop_deadline.get_or_init(|| deadline);
    }

    /// Returns the last time at which a call with this deadline may begin or be dispatched; `None` if nothing
    /// but its deadline limits the call.
    #[must_use]
    pub fn last_start_of_call(&self, call_deadline: BootInstant) -> Option<BootInstant> {
        let stop_deadline = *self.lifecycle.stop_deadline.get()?;
        let can_be_cut_off = call_deadline > stop_deadline;
        let last_start = stop_deadline.checked_sub(MIN_TIME_FOR_CALL);
        can_be_cut_off.then(|| last_start.unwrap_or(stop_deadline))
    }

    /// Stops dispatching calls to the back end and refuses the calls that wait for a slot.
    pub fn refuse_work(&self) {
        self.lifecycle.refuses_work.store(true, Ordering::Relaxed);
        self.slots.refuse_waiting();
        self.signals.work_refused.send_replace(true);
        self.publish();
    }

    /// Waits until the node refuses new work.
    pub async fn work_refused(&self) {
        let mut refused = self.signals.work_refused.subscribe();
        // Fails only if the node was dropped, which ends its connections as well.
        let _ = refused.wait_for(|is_refused| *is_refused).await;
    }

    /// Returns whether the node has stopped dispatching calls to the back end.
    #[must_use]
    pub fn refuses_work(&self) -> bool {
        self.lifecycle.refuses_work.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that this node has read as their entry and whose answers it has
    /// not written completely.
    #[must_use]
    pub fn requests_in_flight(&self) -> usize {
        self.lifecycle.requests.count()
    }

    /// Counts a request as in flight until the returned guard is dropped.
    #[must_use]
    pub fn track_request(&self) -> InFlight {
        self.lifecycle.requests.begin()
    }

    /// Returns the number of connections of callers on which answers have not arrived, or that are being
    /// closed.
    #[must_use]
    pub fn closing_connections(&self) -> usize {
        self.lifecycle.closing_connections.count()
    }

    /// Counts a connection of a caller that closes until the returned guard is dropped.
    #[must_use]
    pub fn track_closing_connection(&self) -> InFlight {
        self.lifecycle.closing_connections.begin()
    }

    /// Counts a call of a peer as in flight until the returned guard is dropped.
    #[must_use]
    pub fn track_peer_call(&self) -> InFlight {
        self.lifecycle.peer_calls.begin()
    }

    /// Returns whether an answer is still to come, not written completely, or not known to have arrived:
    /// to a caller, or to a peer whose call this node executes.
    #[must_use]
    pub fn has_work_in_flight(&self) -> bool {
        let lifecycle = &self.lifecycle;
        lifecycle.requests.count() > 0
            || lifecycle.closing_connections.count() > 0
            || lifecycle.peer_calls.count() > 0
            || self.slots.in_flight() > 0
    }

    /// Counts a link that a peer opened until the returned guard is dropped.
    #[must_use]
    pub fn track_accepted_link(&self) -> InFlight {
        self.lifecycle.accepted_links.begin()
    }

    /// Returns whether links that peers opened are still open.
    #[must_use]
    pub fn has_accepted_links(&self) -> bool {
        self.lifecycle.accepted_links.count() > 0
    }

    /// Closes the links that peers opened, once what was written on them has arrived.
    pub fn close_accepted_links(&self) {
        self.signals.accepted_links_close.send_replace(true);
    }

    /// Waits until the links that peers opened are to be closed.
    pub async fn accepted_links_close(&self) {
        let mut close = self.signals.accepted_links_close.subscribe();
        // Fails only if the node was dropped, which ends its links as well.
        let _ = close.wait_for(|is_due| *is_due).await;
    }
}

/// Readiness, and recovery after a pause of the process.
impl Node {
    /// Returns whether callers may use the node: it has a configuration, is not stopping and
    /// reaches its peers. An isolated node would refuse nearly all requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_isolated = self.lifecycle.is_isolated.load(Ordering::Relaxed);
        !self.is_stopping() && !is_isolated && self.tables().configuration.in_force().is_some()
    }

    pub(super) fn set_isolated(&self, is_isolated: bool) {
        let was_isolated = self
            .lifecycle
            .is_isolated
            .swap(is_isolated, Ordering::Relaxed);
        match (was_isolated, is_isolated) {
            (false, true) => tracing::warn!("most peers are unreachable; node is not ready"),
            (true, false) => tracing::info!("most peers are reachable again"),
            _ => {}
        }
    }

    /// Handles a pause of the process that this node has not handled yet.
    ///
    /// The other nodes kept running during the pause, so state that they may have changed is
    /// confirmed again: the node suspects its store watch, renews its registration and restarts its
    /// ownership of quotas, which another node may have owned in the meantime.
    pub(super) fn handle_pauses(&self, pauses: Pauses) {
        let handled = self
            .lifecycle
            .handled_pauses
            .swap(pauses.count, Ordering::Relaxed);
        if pauses.count <= handled {
            return;
        }
        tracing::warn!(
            for_ms = pauses.last.as_millis() as u64,
            suspended_ms = clock::suspended().as_millis() as u64,
            "process was paused; renewing the registration and the store watch"
        );
        self.tables().restart_quota_ownership(BootInstant::now());
        self.suspect_watch();
        self.signals.resumed.notify_one();
    }

    /// Waits until this process resumes after a pause.
    pub async fn resumed(&self) {
        self.signals.resumed.notified().await;
    }
}
