//! Merging of other nodes' claims about members into the table.
//!
//! A claim with a greater incarnation, or with the same incarnation and a greater health value,
//! replaces the stored record. A claim about this node itself is refuted.

use std::{sync::Arc, time::Instant};

use tallybridge_core::NodeId;
use tallybridge_wire::WireUpdate;

use crate::{
    convert::to_placement,
    member::{Health, Incarnation, MemberRecord, Placement},
    table::MemberTable,
};

/// Truncated hash that identifies a node whose own probe of a member failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Reporter(pub u32);

impl Reporter {
    /// Marks an update that is not based on a failed probe.
    pub(crate) const NONE: Self = Self(0);
}

/// How a claim reached this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The claim reports a recent change.
    Gossip,
    /// The claim was copied from another table and may be old.
    Comparison,
}

/// Another node's information about a member.
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
    /// Decodes an update; returns `None` if its health or placement is invalid.
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
    /// Merges records that were received over a transport other than gossip datagrams.
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
            self.apply_claim(claim, Source::Comparison, now);
        }
    }

    /// Applies a claim if it takes precedence over the stored record.
    pub(crate) fn apply_claim(&mut self, claim: Claim, source: Source, now: Instant) {
        if claim.node == self.own {
            self.refute_claim(&claim, now);
            return;
        }
        let Some(row) = self.members.get(&claim.node) else {
            self.add_member(claim, source, now);
            return;
        };
        let current = row.record.precedence();
        let placement = Arc::clone(&row.record.placement);
        let claimed = (claim.incarnation, claim.health);
        if claimed == current {
            self.add_confirmation(&claim);
        } else if claimed > current {
            self.accept_claim(&claim, &placement, source, now);
        }
    }

    /// Adds an unknown member. Ignores claims about members that are not live or that lack a
    /// placement.
    fn add_member(&mut self, claim: Claim, source: Source, now: Instant) {
        if !claim.health.is_live() {
            return;
        }
        let Some(placement) = claim.placement.clone() else {
            return;
        };
        let placement = self.intern_placement(placement);
        let record = claim.record(&placement);
        if claim.node.address == self.own.address {
            self.end_earlier_instance(record, now);
            return;
        }
        self.replace(record, now);
        self.add_confirmation(&claim);
        self.queue_contested_address(claim.node.address);
        // A node that is catching up would queue an update for every member of the fleet.
        if source == Source::Gossip && !self.comparisons.is_catching_up() {
            self.queue.push(claim.node, claim.reporter);
        }
    }

    /// Counts another node's failed probe of a member that is already suspected.
    fn add_confirmation(&mut self, claim: &Claim) {
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

    fn accept_claim(
        &mut self,
        claim: &Claim,
        placement: &Arc<Placement>,
        source: Source,
        now: Instant,
    ) {
        let is_refutable = claim.health == Health::Dead && claim.incarnation != Incarnation::FINAL;
        if is_refutable && self.is_live(claim.node) {
            self.suspect_instead(claim, placement, source, now);
            return;
        }
        self.replace(claim.record(placement), now);
        self.add_confirmation(claim);
        self.queue.push(claim.node, claim.reporter);
    }

    /// Suspects a member that another node declared dead. After a partition each side has declared
    /// the other dead, so the member gets time to refute the claim here as well.
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
        let current = self.members[&claim.node].record.precedence();
        if (suspect.incarnation, suspect.health) > current {
            self.replace(suspect.record(placement), now);
            self.queue.push(claim.node, Reporter::NONE);
        }
        if source == Source::Gossip
            && let Some(suspicion) = self.suspicions.get_mut(&claim.node)
        {
            suspicion.mark_declared_dead();
        }
    }
}
