//! Chooses replicas in separate failure domains and balances partitions over nodes.

use std::collections::BTreeMap;

use tallybridge_core::NodeId;

use crate::{
    map::PartitionMap,
    plan::{Candidate, Presence},
};

/// The candidates and the number of partitions assigned to each.
pub struct Placement<'a> {
    candidates: BTreeMap<NodeId, &'a Candidate>,
    partition_counts: BTreeMap<NodeId, usize>,
}

impl<'a> Placement<'a> {
    pub fn new(current: &PartitionMap, candidates: &'a [Candidate]) -> Self {
        let mut partition_counts = BTreeMap::new();
        for (_, entry) in current.iter() {
            for node in entry.nodes() {
                *partition_counts.entry(node).or_default() += 1;
            }
        }
        Self {
            candidates: candidates
                .iter()
                .map(|candidate| (candidate.node, candidate))
                .collect(),
            partition_counts,
        }
    }

    /// Returns whether a node is a candidate; a node that is not a candidate has terminated.
    pub fn is_candidate(&self, node: NodeId) -> bool {
        self.candidates.contains_key(&node)
    }

    pub fn is_live(&self, node: NodeId) -> bool {
        let candidate = self.candidates.get(&node);
        candidate.is_some_and(|candidate| candidate.presence == Presence::Live)
    }

    /// Adds nodes until there are `size` or no live candidate is left.
    pub fn fill(&mut self, mut nodes: Vec<NodeId>, size: usize) -> Vec<NodeId> {
        while nodes.len() < size {
            let Some(node) = self.choose(&nodes) else {
                break;
            };
            *self.partition_counts.entry(node).or_default() += 1;
            nodes.push(node);
        }
        nodes
    }

    /// Decrements the partition count of each node.
    pub fn release(&mut self, nodes: &[NodeId]) {
        for node in nodes {
            if let Some(count) = self.partition_counts.get_mut(node) {
                *count = count.saturating_sub(1);
            }
        }
    }

    /// Returns the best live node to add to `placed`.
    ///
    /// Prefers a node with the fewest `placed` nodes in its zone, then the fewest in its rack, then
    /// the most in its region, then the fewest assigned partitions.
    fn choose(&self, placed: &[NodeId]) -> Option<NodeId> {
        let placed_candidates: Vec<&Candidate> = placed
            .iter()
            .filter_map(|node| self.candidates.get(node).copied())
            .collect();
        let available = self.candidates.values().filter(|candidate| {
            candidate.presence == Presence::Live && !placed.contains(&candidate.node)
        });
        let best = available.min_by_key(|candidate| {
            let count_placed = |is_same: &dyn Fn(&Candidate) -> bool| {
                placed_candidates
                    .iter()
                    .filter(|other| is_same(other))
                    .count()
            };
            let same_region = count_placed(&|other| other.region == candidate.region);
            let same_zone = count_placed(&|other| {
                other.region == candidate.region && other.zone == candidate.zone
            });
            let same_rack = count_placed(&|other| {
                other.region == candidate.region
                    && other.zone == candidate.zone
                    && other.rack == candidate.rack
            });
            let partition_count = self
                .partition_counts
                .get(&candidate.node)
                .copied()
                .unwrap_or_default();
            (
                same_zone,
                same_rack,
                placed.len() - same_region,
                partition_count,
                candidate.node,
            )
        });
        best.map(|candidate| candidate.node)
    }
}
