//! Chooses nodes that fail apart from each other and share the partitions evenly.

use std::collections::BTreeMap;

use tallybridge_core::NodeId;

use crate::{
    map::PartitionMap,
    plan::{Candidate, Presence},
};

/// The candidates with the number of partitions that each holds so far.
pub struct Placement<'a> {
    candidates: BTreeMap<NodeId, &'a Candidate>,
    load: BTreeMap<NodeId, usize>,
}

impl<'a> Placement<'a> {
    /// The candidates as the map uses them.
    pub fn new(current: &PartitionMap, candidates: &'a [Candidate]) -> Self {
        let mut load = BTreeMap::new();
        for (_, entry) in current.iter() {
            for node in entry.nodes() {
                *load.entry(node).or_default() += 1;
            }
        }
        Self {
            candidates: candidates.iter().map(|one| (one.node, one)).collect(),
            load,
        }
    }

    /// Whether a node is a candidate; one that is not has ended.
    pub fn has(&self, node: NodeId) -> bool {
        self.candidates.contains_key(&node)
    }

    /// Whether a node answers and stays.
    pub fn is_live(&self, node: NodeId) -> bool {
        let candidate = self.candidates.get(&node);
        candidate.is_some_and(|candidate| candidate.presence == Presence::Live)
    }

    /// Adds nodes until there are `size`, as far as there are candidates.
    pub fn fill(&mut self, mut nodes: Vec<NodeId>, size: usize) -> Vec<NodeId> {
        while nodes.len() < size {
            let Some(node) = self.choose(&nodes) else {
                break;
            };
            *self.load.entry(node).or_default() += 1;
            nodes.push(node);
        }
        nodes
    }

    /// Notes that nodes give up one place each.
    pub fn release(&mut self, nodes: &[NodeId]) {
        for node in nodes {
            if let Some(load) = self.load.get_mut(node) {
                *load = load.saturating_sub(1);
            }
        }
    }

    /// The live node that shares the fewest zones, then racks, then is in the same region, then
    /// holds the fewest partitions.
    fn choose(&self, beside: &[NodeId]) -> Option<NodeId> {
        let beside_candidates: Vec<&Candidate> = beside
            .iter()
            .filter_map(|node| self.candidates.get(node).copied())
            .collect();
        let free = self
            .candidates
            .values()
            .filter(|one| one.presence == Presence::Live && !beside.contains(&one.node));
        let best = free.min_by_key(|one| {
            let shares = |same: &dyn Fn(&Candidate) -> bool| {
                beside_candidates.iter().filter(|other| same(other)).count()
            };
            let same_region = shares(&|other| other.region == one.region);
            let same_zone = shares(&|other| other.region == one.region && other.zone == one.zone);
            let same_rack = shares(&|other| {
                other.region == one.region && other.zone == one.zone && other.rack == one.rack
            });
            let load = self.load.get(&one.node).copied().unwrap_or_default();
            (
                same_zone,
                same_rack,
                beside.len() - same_region,
                load,
                one.node,
            )
        });
        best.map(|one| one.node)
    }
}
