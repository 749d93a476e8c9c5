//! Updates of this node's own record, including the refutation of claims by other nodes.

use std::time::Instant;

use crate::{
    member::{Health, Incarnation, MemberRecord},
    merge::{Claim, Reporter},
    table::MemberTable,
};

impl MemberTable {
    /// Refutes a claim that this node is suspect or dead, or has a greater incarnation than it uses,
    /// by announcing a greater incarnation. Sets `superseded` if the claim cannot be
    /// refuted.
    pub(crate) fn refute_claim(&mut self, claim: &Claim, now: Instant) {
        let own = self.own_record();
        if own.health == Health::Left {
            return;
        }
        let claims_failure = claim.health > Health::Alive && claim.incarnation >= own.incarnation;
        let is_ahead = claim.incarnation > own.incarnation;
        if !claims_failure && !is_ahead {
            return;
        }
        if claim.incarnation == Incarnation::FINAL {
            self.superseded = true;
            return;
        }
        tracing::info!(
            incarnation = claim.incarnation.0,
            health = ?claim.health,
            "refuting a claim about this node"
        );
        let leaving = own.leaving;
        self.local_health.raise(1);
        self.announce(claim.incarnation.next(), Health::Alive, leaving, now);
    }

    /// Replaces this node's own record and queues it as an update.
    pub(crate) fn announce(
        &mut self,
        incarnation: Incarnation,
        health: Health,
        leaving: bool,
        now: Instant,
    ) {
        let record = MemberRecord {
            incarnation,
            health,
            leaving,
            ..self.own_record().clone()
        };
        self.replace(record, now);
        self.queue.push(self.own, Reporter::NONE);
    }
}
