//! Weighing what others say about members.

use std::{sync::Arc, time::Instant};

use tallybridge_core::NodeId;
use tallybridge_wire::WireUpdate;

use crate::{
    convert::to_placement,
    member::{Health, Incarnation, MemberRecord, Placement},
    table::MemberTable,
};

/// Short digest of a node whose own probe of a member failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Reporter(pub u32);

impl Reporter {
    /// Nobody's probe.
    pub(crate) const NONE: Self = Self(0);
}

/// How something was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// It has just changed somewhere.
    Gossip,
    /// It is in somebody's table, perhaps for long.
    Comparison,
}

/// What somebody says about a member.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub health: Health,
    pub leaving: bool,
    pub reporter: Reporter,
    pub placement: Option<Placement>,
}

impl Claim {
    /// A claim from the wire, or `None` when it makes no sense.
    pub(crate) fn from_update(update: &WireUpdate) -> Option<Self> {
        let placement = match update.placement() {
            Some(wire) => Some(to_placement(wire)?),
            None => None,
        };
        Some(Self {
            node: update.node.into(),
            incarnation: Incarnation(update.incarnation),
            health: Health::from_wire(update.health)?,
            leaving: update.leaving != 0,
            reporter: Reporter(update.reporter),
            placement,
        })
    }

    fn record(&self, placement: &Arc<Placement>) -> MemberRecord {
        MemberRecord {
            node: self.node,
            incarnation: self.incarnation,
            health: self.health,
            leaving: self.leaving,
            placement: Arc::clone(placement),
        }
    }
}

impl MemberTable {
    /// Takes over records that a peer gave another way than by datagrams.
    pub fn merge(&mut self, records: &[MemberRecord], now: Instant) {
        for record in records {
            let claim = Claim {
                node: record.node,
                incarnation: record.incarnation,
                health: record.health,
                leaving: record.leaving,
                reporter: Reporter::NONE,
                placement: Some(Placement::clone(&record.placement)),
            };
            self.weigh(claim, Source::Comparison, now);
        }
    }

    /// Believes a claim where it is newer than what is believed.
    pub(crate) fn weigh(&mut self, claim: Claim, source: Source, now: Instant) {
        if claim.node == self.own {
            self.hear_of_self(&claim, now);
            return;
        }
        let Some(row) = self.members.get(&claim.node) else {
            self.introduce(claim, source, now);
            return;
        };
        let believed = row.record.precedence();
        let placement = Arc::clone(&row.record.placement);
        let said = (claim.incarnation, claim.health);
        if said == believed {
            self.confirm(&claim);
        } else if said > believed {
            self.believe(&claim, &placement, source, now);
        }
    }

    /// Adds a member not known before. One that is gone, or whose placement is not said, adds
    /// nothing.
    fn introduce(&mut self, claim: Claim, source: Source, now: Instant) {
        if !claim.health.is_live() {
            return;
        }
        let Some(placement) = claim.placement.clone() else {
            return;
        };
        let placement = self.share(placement);
        let record = claim.record(&placement);
        if claim.node.address == self.own.address {
            self.end_predecessor(record, now);
            return;
        }
        self.replace(record, now);
        self.confirm(&claim);
        self.doubt_address(claim.node.address);
        // A node that catches up would pass on the whole fleet.
        if source == Source::Gossip && !self.comparisons.is_catching_up() {
            self.queue.push(claim.node, claim.reporter);
        }
    }

    /// Counts another node's failed probe of a member that is suspected already.
    fn confirm(&mut self, claim: &Claim) {
        if claim.reporter == Reporter::NONE {
            return;
        }
        let Some(suspicion) = self.suspicions.get_mut(&claim.node) else {
            return;
        };
        if suspicion.confirm(claim.reporter) {
            self.push_confirmation(claim.node, claim.reporter);
        }
    }

    fn believe(&mut self, claim: &Claim, placement: &Arc<Placement>, source: Source, now: Instant) {
        let refutable = claim.health == Health::Dead && claim.incarnation != Incarnation::FINAL;
        if refutable && self.is_live(claim.node) {
            self.suspect_instead(claim, placement, source, now);
            return;
        }
        self.replace(claim.record(placement), now);
        self.confirm(claim);
        self.queue.push(claim.node, claim.reporter);
    }

    /// A death that others declared is not taken over at once: after a partition each side holds
    /// the other dead, and the member must have the time to refute that here as well.
    fn suspect_instead(
        &mut self,
        claim: &Claim,
        placement: &Arc<Placement>,
        source: Source,
        now: Instant,
    ) {
        let suspect = Claim {
            health: Health::Suspect,
            ..claim.clone()
        };
        let believed = self.members[&claim.node].record.precedence();
        if (suspect.incarnation, suspect.health) > believed {
            self.replace(suspect.record(placement), now);
            self.queue.push(claim.node, Reporter::NONE);
        }
        if source == Source::Gossip
            && let Some(suspicion) = self.suspicions.get_mut(&claim.node)
        {
            suspicion.declare();
        }
    }
}
