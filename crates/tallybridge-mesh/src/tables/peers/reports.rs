//! State of executors: what their nodes report and what the calls of this node show.
//!
//! Each report replaces the one before. Calls sent after a report are added to the reported load
//! until a newer report or an answer includes them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::PeerTable;
use crate::protocol::{Load, PeerStatus};

/// Time for which an executor is avoided after its link closed or it refused a call.
const AVOIDANCE_PERIOD: Duration = Duration::from_millis(300);
/// Weight of the newest outcome in the loss rate, which thus covers about twelve calls.
const LOSS_RATE_SMOOTHING: f64 = 0.08;
/// Peers that must report the slots of a service before a node omits its own from the registry.
/// Nodes that have just started read the slots from these registrations.
const MIN_SLOT_REPORTERS: usize = 4;

impl PeerTable {
    /// Records the status that a node reported.
    pub fn record_status(&mut self, address: SocketAddr, status: PeerStatus, now: Instant) {
        let slots = status.slots;
        let Some(row) = self.rows.get_mut(&address) else {
            return;
        };
        row.status = status;
        row.sent_since_report = 0;
        row.last_contact = now;
        let service = row.service.clone();
        self.learn_slots(&service, slots);
    }

    /// Records the load that an answer from an executor reported.
    pub fn record_load(&mut self, address: SocketAddr, load: Load) {
        if let Some(row) = self.rows.get_mut(&address) {
            row.status.load = load;
            row.sent_since_report = 0;
        }
    }

    /// Counts a call that was sent to a node.
    pub fn record_sent(&mut self, address: SocketAddr) {
        if let Some(row) = self.rows.get_mut(&address) {
            row.sent_since_report += 1;
        }
    }

    /// Records whether the outcome of a call at an executor is unknown.
    pub fn record_outcome(&mut self, address: SocketAddr, is_unknown: bool) {
        let sample = if is_unknown { 1.0 } else { 0.0 };
        let loss_rate = match self.rows.get_mut(&address) {
            Some(row) => &mut row.loss_rate,
            None if address == self.own.address => &mut self.own_loss_rate,
            None => return,
        };
        *loss_rate += (sample - *loss_rate) * LOSS_RATE_SMOOTHING;
    }

    /// Makes placement prefer other executors to this one for `AVOIDANCE_PERIOD`.
    pub fn avoid(&mut self, address: SocketAddr, now: Instant) {
        if let Some(row) = self.rows.get_mut(&address) {
            row.avoid_until = Some(now + AVOIDANCE_PERIOD);
        }
    }

    /// Iterates over the service and the last status of each peer with an open link.
    pub fn statuses(&self) -> impl Iterator<Item = (&Arc<str>, &PeerStatus)> {
        self.linked_rows().map(|row| (&row.service, &row.status))
    }

    /// Iterates over the mean call times that back ends of a service reported. Skips back ends that
    /// have not reported one.
    pub fn call_times(&self, service: &str) -> impl Iterator<Item = Duration> {
        let service_statuses = self.statuses().filter(move |(name, _)| &***name == service);
        let reported = service_statuses.map(|(_, status)| status.load.service_ms);
        reported
            .filter(|service_ms| *service_ms > 0)
            .map(|service_ms| Duration::from_millis(service_ms.into()))
    }

    /// Returns the slots that a back end of a service last reported. A node uses this value until
    /// its own back end reports one.
    #[must_use]
    pub fn reported_slots(&self, service: &str) -> Option<u32> {
        self.reported_slots.get(service).copied()
    }

    /// Returns whether enough peers of a service report this number of slots, so that the
    /// registration of this node need not repeat it.
    #[must_use]
    pub fn has_enough_slot_reports(&self, service: &str, slots: u32) -> bool {
        let agreeing_peers = self
            .linked_rows()
            .filter(|row| *row.service == *service && row.status.slots == slots);
        agreeing_peers.count() >= MIN_SLOT_REPORTERS
    }

    /// Records the slots of a back end of a service; 0 means unknown and is ignored.
    pub(super) fn learn_slots(&mut self, service: &str, slots: u32) {
        if slots > 0 {
            self.reported_slots.insert(service.into(), slots);
        }
    }
}
