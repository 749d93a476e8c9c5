//! Probe order: a shuffled list that is traversed round-robin (SWIM, section 4.3), so that every
//! member is probed within a bounded time.

use rand::{Rng, rngs::SmallRng, seq::SliceRandom};
use tallybridge_core::NodeId;

use crate::table::MemberTable;

/// Maximum number of draws in a search for a random live member.
const MAX_DRAWS: usize = 16;

#[derive(Debug, Default)]
pub(crate) struct ProbeRing {
    order: Vec<NodeId>,
    next: usize,
}

impl ProbeRing {
    /// Inserts a member at a position derived from its hash and a salt. The salt is specific to
    /// this node, so that nodes probe a new member at different times.
    pub(crate) fn insert(&mut self, node: NodeId, hash: u64, salt: u64) {
        let slot_count = self.order.len() as u64 + 1;
        let index = ((hash ^ salt) % slot_count) as usize;
        self.order.insert(index, node);
        if index < self.next {
            self.next += 1;
        }
    }

    pub(crate) fn remove(&mut self, node: NodeId) {
        let Some(index) = self.order.iter().position(|candidate| *candidate == node) else {
            return;
        };
        self.order.remove(index);
        if index < self.next {
            self.next -= 1;
        }
    }
}

impl MemberTable {
    /// Returns the next live member to probe.
    pub(crate) fn next_probe_target(&mut self, rng: &mut SmallRng) -> Option<NodeId> {
        let max_steps = self.ring.order.len() + 1;
        for _ in 0..max_steps {
            if self.ring.next >= self.ring.order.len() {
                self.reshuffle(rng);
            }
            let node = self.ring.order.get(self.ring.next).copied()?;
            self.ring.next += 1;
            if self.is_live(node) {
                return Some(node);
            }
        }
        None
    }

    fn reshuffle(&mut self, rng: &mut SmallRng) {
        let own = self.identity();
        self.ring.order = self
            .live_rows()
            .map(|row| row.record.node)
            .filter(|node| *node != own)
            .collect();
        self.ring.order.shuffle(rng);
        self.ring.next = 0;
    }

    /// Returns a random live member that satisfies the predicate, or `None` if no draw finds one.
    pub(crate) fn random_live(
        &self,
        rng: &mut SmallRng,
        is_eligible: impl Fn(&Self, NodeId) -> bool,
    ) -> Option<NodeId> {
        if self.ring.order.is_empty() {
            return None;
        }
        (0..MAX_DRAWS)
            .map(|_| self.ring.order[rng.random_range(0..self.ring.order.len())])
            .find(|node| self.is_live(*node) && is_eligible(self, *node))
    }

    /// Returns up to `count` distinct random live members; fewer if the draws find fewer.
    pub(crate) fn random_distinct(&self, rng: &mut SmallRng, count: usize) -> Vec<NodeId> {
        let mut chosen: Vec<NodeId> = Vec::with_capacity(count);
        for _ in 0..count {
            let drawn = self.random_live(rng, |_, node| !chosen.contains(&node));
            chosen.extend(drawn);
        }
        chosen
    }
}
