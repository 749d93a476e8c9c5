//! What is known of executors: what their nodes report, and what this node's own calls show.
//!
//! A report replaces the one before it, and calls sent since then are added to it, until a newer report
//! or an answer counts them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::PeerTable;
use crate::protocol::{Load, PeerStatus};

/// Time for which an executor is avoided after it was lost or refused a call. Origin not recorded.
const AVOID: Duration = Duration::from_millis(300);
/// Weight of the newest outcome in the share of calls that an executor loses, so that some twelve calls
/// make up the share. Set together with the cost of lost calls in placement. Origin of the figure not
/// recorded.
const LOSS_GAIN: f64 = 0.08;
/// Nodes of a service whose registrations hold the slots of its back ends: enough that some are left
/// when nodes that have just started read the registry. With this, cheap reads and kept leases, 560 calls
/// to the store were left of 688 on a calm day of 65 machines. Origin of the figure itself not recorded.
const SLOT_REPORTERS: usize = 4;

impl PeerTable {
    /// A node reported its status.
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

    /// An answer reported the load of its executor.
    pub fn record_load(&mut self, address: SocketAddr, load: Load) {
        if let Some(row) = self.rows.get_mut(&address) {
            row.status.load = load;
            row.sent_since_report = 0;
        }
    }

    /// A call is sent to a node.
    pub fn record_sent(&mut self, address: SocketAddr) {
        if let Some(row) = self.rows.get_mut(&address) {
            row.sent_since_report += 1;
        }
    }

    /// A call at an executor ended with an answer, or got lost there.
    pub fn record_outcome(&mut self, address: SocketAddr, is_lost: bool) {
        let sample = if is_lost { 1.0 } else { 0.0 };
        let share = match self.rows.get_mut(&address) {
            Some(row) => &mut row.lost_share,
            None if address == self.own.address => &mut self.own_lost_share,
            None => return,
        };
        *share += (sample - *share) * LOSS_GAIN;
    }

    /// A node was lost or refused a call: others are preferred to it for `AVOID`.
    pub fn avoid(&mut self, address: SocketAddr, now: Instant) {
        if let Some(row) = self.rows.get_mut(&address) {
            row.avoid_until = Some(now + AVOID);
        }
    }

    /// Status of every linked node, with its service.
    pub fn statuses(&self) -> impl Iterator<Item = (&Arc<str>, &PeerStatus)> {
        self.linked_rows().map(|row| (&row.service, &row.status))
    }

    /// Mean times that calls of a service are with its back ends, as far as these are reported.
    pub fn call_times(&self, service: &str) -> impl Iterator<Item = Duration> {
        let of_service = self.statuses().filter(move |(name, _)| &***name == service);
        let reported = of_service.map(|(_, status)| status.load.service_ms);
        reported
            .filter(|service_ms| *service_ms > 0)
            .map(|service_ms| Duration::from_millis(service_ms.into()))
    }

    /// Slots that back ends of a service have, to start from before the own one reported its.
    #[must_use]
    pub fn usual_slots(&self, service: &str) -> Option<u32> {
        self.usual_slots.get(service).copied()
    }

    /// Whether enough peers beside back ends of a service report that these have so many slots: the
    /// registry need not hold it of this node as well.
    #[must_use]
    pub fn has_enough_slot_reports(&self, service: &str, slots: u32) -> bool {
        let agreeing = self
            .linked_rows()
            .filter(|row| *row.service == *service && row.status.slots == slots);
        agreeing.count() >= SLOT_REPORTERS
    }

    /// Takes in how many slots a back end of a service has; 0 stands for unknown.
    pub(super) fn learn_slots(&mut self, service: &str, slots: u32) {
        if slots > 0 {
            self.usual_slots.insert(service.into(), slots);
        }
    }
}
