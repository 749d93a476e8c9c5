//! Gossip rounds, which spread updates faster than piggybacking on probes.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use tallybridge_wire::{GossipHeader, GossipMessage};

use crate::{outgoing::Outgoing, table::MemberTable};

/// Schedule of gossip rounds.
#[derive(Debug)]
pub(crate) struct GossipRounds {
    next: Instant,
    /// Rounds still to send, even without updates, because their header carries a new revision.
    revision_rounds: u32,
    /// Whether the next round uses the larger fanout of a leaving node.
    next_is_wide: bool,
    /// Greatest revision and epoch reported to the owner, and the time of the report.
    last_reported: Option<(u64, u64, Instant)>,
}

/// Time after which a peer that is ahead is reported again, because the owner's fetch may have
/// failed.
const PEER_AHEAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

impl GossipRounds {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            next: now,
            revision_rounds: 0,
            next_is_wide: false,
            last_reported: None,
        }
    }

    /// Returns whether a peer that is ahead must be reported now, and records the report.
    pub(crate) fn try_report_peer_ahead(&mut self, header: &GossipHeader, now: Instant) -> bool {
        let is_due = self
            .last_reported
            .is_none_or(|(revision, epoch, reported_at)| {
                header.revision > revision
                    || header.partition_epoch > epoch
                    || now.saturating_duration_since(reported_at) >= PEER_AHEAD_REPORT_INTERVAL
            });
        if is_due {
            self.last_reported = Some((header.revision, header.partition_epoch, now));
        }
        is_due
    }

    pub(crate) const fn announce_revision(&mut self, rounds: u32) {
        self.revision_rounds = rounds;
    }

    pub(crate) const fn schedule_wide_round(&mut self, now: Instant) {
        self.next_is_wide = true;
        self.next = now;
    }

    fn start_round(&mut self, now: Instant, interval: Duration) -> bool {
        self.next = now + interval;
        self.revision_rounds = self.revision_rounds.saturating_sub(1);
        std::mem::take(&mut self.next_is_wide)
    }
}

/// Sends a round if one is due, has something to carry and is within the byte budget.
pub(crate) fn run(
    table: &mut MemberTable,
    now: Instant,
    rng: &mut SmallRng,
    outgoing: &mut Vec<Outgoing>,
) {
    let has_content = table.queue.len() > 0 || table.gossip_rounds.revision_rounds > 0;
    let is_allowed = table.gossip_rounds.next_is_wide
        || !table.budget.is_low()
        || (!table.budget.is_spent() && table.has_leaving_update());
    if now < table.gossip_rounds.next || !has_content || !is_allowed {
        return;
    }
    let interval = table.settings.gossip_interval;
    let fanout = if table.gossip_rounds.start_round(now, interval) {
        table.settings.leave_fanout
    } else {
        table.settings.gossip_fanout
    };
    for node in table.random_distinct(rng, fanout) {
        let datagram = table.build_datagram(node.address, GossipMessage::Gossip, Vec::new());
        outgoing.push(datagram);
    }
}
