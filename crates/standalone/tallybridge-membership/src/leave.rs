//! Leaving: first no new work, then gone.

use std::time::Instant;

use crate::{member::Health, table::MemberTable};

impl MemberTable {
    /// This node takes no new work from now on. The next run tells many members at once.
    pub fn leave(&mut self, now: Instant) {
        let own = self.own_record();
        if own.leaving {
            return;
        }
        let incarnation = own.incarnation.next();
        self.announce(incarnation, Health::Alive, true, now);
        self.rounds.tell_at_once(now);
    }

    /// This node has finished and is gone. Its owner runs the table for another second or so, so
    /// that the others know without having to find out.
    pub fn depart(&mut self, now: Instant) {
        let own = self.own_record();
        if own.health == Health::Left {
            return;
        }
        let incarnation = own.incarnation.next();
        self.announce(incarnation, Health::Left, true, now);
        self.rounds.tell_at_once(now);
    }
}
