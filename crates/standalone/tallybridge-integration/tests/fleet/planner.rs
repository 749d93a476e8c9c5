//! Stands in for the store and the node that plans which nodes hold claims.

use std::collections::BTreeSet;

use tallybridge_claims::{Candidate, PartitionMap, Presence, SyncReport, plan};
use tallybridge_node::actor::claims::{ApplyPartitionMap, GetMapRecords};

use super::node::Node;

/// The partition map in the store.
#[derive(Default)]
pub struct Planner {
    map: PartitionMap,
}

impl Planner {
    /// Writes the next map and hands it to the nodes that follow the store.
    pub async fn run(&mut self, nodes: &[Node], frozen: &BTreeSet<usize>, now_unix_ms: u64) {
        let candidates: Vec<_> = nodes.iter().map(candidate).collect();
        let following = || {
            let awake = nodes.iter().enumerate();
            let awake = awake.filter(|(index, node)| node.is_up() && !frozen.contains(index));
            awake.map(|(_, node)| node)
        };
        let mut reports = BTreeSet::new();
        for node in following() {
            reports.extend(reports_of(node).await);
        }
        self.map = plan(&self.map, &candidates, &reports, now_unix_ms);
        for node in following() {
            let apply = ApplyPartitionMap(self.map.clone());
            node.context.ask(apply).await.expect("applies");
        }
    }
}

/// A node that ended counts as unavailable until another run has its address.
fn candidate(node: &Node) -> Candidate {
    let settings = &node.context.settings;
    let available = node.is_up() && node.running.is_some();
    Candidate {
        node: node.context.identity,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        rack: settings.rack.clone(),
        presence: if available {
            Presence::Live
        } else {
            Presence::Unavailable
        },
    }
}

async fn reports_of(node: &Node) -> Vec<SyncReport> {
    let records = node.context.ask(GetMapRecords {
        reports_wanted: true,
    });
    let records = records.await.expect("answers");
    let synchronised = records.synchronised.iter();
    let report = |one: &tallybridge_node::actor::claims::Synchronised| SyncReport {
        node: node.context.identity,
        partition: one.partition,
        epoch: one.epoch,
    };
    synchronised.map(report).collect()
}
