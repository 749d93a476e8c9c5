//! The oracle: what runs, and what each process believes.

use std::collections::BTreeMap;

use tallybridge_core::NodeId;
use tallybridge_membership::{MemberState, MemberTable};

use super::network::Network;

/// Live members and how they are.
pub type View = BTreeMap<NodeId, MemberState>;

/// What runs in the network.
pub fn truth(network: &Network) -> View {
    network
        .processes()
        .map(|process| {
            let node = process.table.identity();
            let own = process.table.member(node).expect("knows itself");
            (node, own.state())
        })
        .collect()
}

/// What a table believes to run.
pub fn view(table: &MemberTable) -> View {
    table
        .members()
        .filter(|record| record.health.is_live())
        .map(|record| (record.node, record.state()))
        .collect()
}

/// Whether everybody believes what is true.
pub fn agrees(network: &Network) -> bool {
    let truth = truth(network);
    network
        .processes()
        .all(|process| view(&process.table) == truth)
}

/// Panics with the first view that is not true.
pub fn assert_agrees(network: &Network) {
    let truth = truth(network);
    for process in network.processes() {
        let observer = process.table.identity();
        assert_eq!(view(&process.table), truth, "view of {observer}");
    }
}
