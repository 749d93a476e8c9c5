//! Rounds of updates sent on their own, faster than probes would carry them.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use tallybridge_wire::{GossipHeader, GossipMessage};

use crate::{outgoing::Outgoing, table::MemberTable};

/// When the next round is due and what it is for.
#[derive(Debug)]
pub(crate) struct Rounds {
    next: Instant,
    /// Rounds that are sent for the revision in their header, updates or not.
    revision_rounds: u32,
    /// The next round goes to many.
    at_once: bool,
    /// The greatest revision and epoch of which the owner was told, and when.
    told: Option<(u64, u64, Instant)>,
}

/// Time after which the owner is told again of a peer that is ahead: its fetch may have failed.
const TELL_AGAIN: Duration = Duration::from_secs(1);

impl Rounds {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            next: now,
            revision_rounds: 0,
            at_once: false,
            told: None,
        }
    }

    /// Whether the owner should be told that a peer is ahead.
    pub(crate) fn is_news(&mut self, header: &GossipHeader, now: Instant) -> bool {
        let news = self.told.is_none_or(|(revision, epoch, told)| {
            header.revision > revision
                || header.partition_epoch > epoch
                || now.saturating_duration_since(told) >= TELL_AGAIN
        });
        if news {
            self.told = Some((header.revision, header.partition_epoch, now));
        }
        news
    }

    pub(crate) const fn tell_revision(&mut self, rounds: u32) {
        self.revision_rounds = rounds;
    }

    pub(crate) const fn tell_at_once(&mut self, now: Instant) {
        self.at_once = true;
        self.next = now;
    }

    fn start(&mut self, now: Instant, interval: Duration) -> bool {
        self.next = now + interval;
        self.revision_rounds = self.revision_rounds.saturating_sub(1);
        std::mem::take(&mut self.at_once)
    }
}

/// Sends a round when it is due, there is something to say and the budget allows it.
pub(crate) fn run(
    table: &mut MemberTable,
    now: Instant,
    rng: &mut SmallRng,
    outgoing: &mut Vec<Outgoing>,
) {
    let something_to_say = table.queue.len() > 0 || table.rounds.revision_rounds > 0;
    let allowed = table.rounds.at_once
        || !table.budget.is_low()
        || (!table.budget.is_spent() && table.has_urgent_update());
    if now < table.rounds.next || !something_to_say || !allowed {
        return;
    }
    let interval = table.settings.gossip_interval;
    let fanout = if table.rounds.start(now, interval) {
        table.settings.leave_fanout
    } else {
        table.settings.gossip_fanout
    };
    for node in table.random_distinct(rng, fanout) {
        let datagram = table.send(node.address, GossipMessage::Gossip, Vec::new());
        outgoing.push(datagram);
    }
}
