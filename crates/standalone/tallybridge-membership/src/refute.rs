//! What others say about this node itself.

use std::time::Instant;

use crate::{
    member::{Health, Incarnation, MemberRecord},
    merge::{Claim, Reporter},
    table::MemberTable,
};

impl MemberTable {
    /// Refutes a suspicion or death of this node by a greater incarnation.
    pub(crate) fn hear_of_self(&mut self, claim: &Claim, now: Instant) {
        let own = self.own_record();
        if own.health == Health::Left {
            return;
        }
        let doubted = claim.health > Health::Alive && claim.incarnation >= own.incarnation;
        let ahead = claim.incarnation > own.incarnation;
        if !doubted && !ahead {
            return;
        }
        if claim.incarnation == Incarnation::FINAL {
            self.superseded = true;
            return;
        }
        tracing::info!(incarnation = claim.incarnation.0, health = ?claim.health, "refuting");
        let leaving = own.leaving;
        self.local_health.raise(1);
        self.announce(claim.incarnation.next(), Health::Alive, leaving, now);
    }

    /// Says something new about this node.
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
