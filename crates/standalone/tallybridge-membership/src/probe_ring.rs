//! Order of probes: a shuffled list gone through in turn (SWIM, section 4.3), so that every member
//! is probed within a bounded time.

use rand::{Rng, rngs::SmallRng, seq::SliceRandom};
use tallybridge_core::NodeId;

use crate::table::MemberTable;

/// Draws for a random live member before giving up.
const MAX_DRAWS: usize = 16;

/// The list and the place in it.
#[derive(Debug, Default)]
pub(crate) struct ProbeRing {
    order: Vec<NodeId>,
    next: usize,
}

impl ProbeRing {
    /// Adds a member at a place given by its hash, which differs from node to node by the salt.
    pub(crate) fn insert(&mut self, node: NodeId, hash: u64, salt: u64) {
        let places = self.order.len() as u64 + 1;
        let place = ((hash ^ salt) % places) as usize;
        self.order.insert(place, node);
        if place < self.next {
            self.next += 1;
        }
    }

    /// Takes a member out.
    pub(crate) fn remove(&mut self, node: NodeId) {
        let Some(place) = self.order.iter().position(|listed| *listed == node) else {
            return;
        };
        self.order.remove(place);
        if place < self.next {
            self.next -= 1;
        }
    }
}

impl MemberTable {
    /// The next member to probe.
    pub(crate) fn next_probed(&mut self, rng: &mut SmallRng) -> Option<NodeId> {
        let rounds = self.ring.order.len() + 1;
        for _ in 0..rounds {
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

    /// A random live member that fits, if a few draws find one.
    pub(crate) fn random_live(
        &self,
        rng: &mut SmallRng,
        fits: impl Fn(&Self, NodeId) -> bool,
    ) -> Option<NodeId> {
        if self.ring.order.is_empty() {
            return None;
        }
        (0..MAX_DRAWS)
            .map(|_| self.ring.order[rng.random_range(0..self.ring.order.len())])
            .find(|node| self.is_live(*node) && fits(self, *node))
    }

    /// Distinct random live members, as many as a few draws find.
    pub(crate) fn random_distinct(&self, rng: &mut SmallRng, count: usize) -> Vec<NodeId> {
        let mut chosen: Vec<NodeId> = Vec::with_capacity(count);
        for _ in 0..count {
            let drawn = self.random_live(rng, |_, node| !chosen.contains(&node));
            chosen.extend(drawn);
        }
        chosen
    }
}
