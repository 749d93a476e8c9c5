//! Graceful shutdown: a node first announces that it is leaving, and later that it has left.

use std::time::Instant;

use crate::{member::Health, table::MemberTable};

impl MemberTable {
    /// Announces that this node takes no new work. The next run sends the announcement with a
    /// larger fanout.
    pub fn leave(&mut self, now: Instant) {
        let own = self.own_record();
        if own.leaving {
            return;
        }
        let incarnation = own.incarnation.next();
        self.announce(incarnation, Health::Alive, true, now);
        self.gossip_rounds.schedule_wide_round(now);
    }

    /// Announces that this node has left. The owner must keep running the table for about a second,
    /// so that the announcement spreads and other members need not detect the absence by probing.
    pub fn depart(&mut self, now: Instant) {
        let own = self.own_record();
        if own.health == Health::Left {
            return;
        }
        let incarnation = own.incarnation.next();
        self.announce(incarnation, Health::Left, true, now);
        self.gossip_rounds.schedule_wide_round(now);
    }
}
