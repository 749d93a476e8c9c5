//! Comparison of each process's table with the actual state of the network.

use std::collections::BTreeMap;

use tallybridge_core::NodeId;
use tallybridge_membership::{MemberState, MemberTable};

use super::network::Network;

/// States of the live members.
pub type MemberStates = BTreeMap<NodeId, MemberState>;

/// Returns the actual state of each running process, as recorded by the process itself.
pub fn actual_state(network: &Network) -> MemberStates {
    network
        .processes()
        .map(|process| {
            let node = process.table.identity();
            let own = process
                .table
                .member(node)
                .expect("a table contains its owner");
            (node, own.state())
        })
        .collect()
}

/// Returns the live members in a table.
pub fn live_members(table: &MemberTable) -> MemberStates {
    table
        .members()
        .filter(|record| record.health.is_live())
        .map(|record| (record.node, record.state()))
        .collect()
}

/// Returns whether every table matches the actual state.
pub fn matches_everywhere(network: &Network) -> bool {
    let actual = actual_state(network);
    network
        .processes()
        .all(|process| live_members(&process.table) == actual)
}

/// Panics if a table differs from the actual state.
pub fn assert_matches_everywhere(network: &Network) {
    let actual = actual_state(network);
    for process in network.processes() {
        let observer = process.table.identity();
        assert_eq!(
            live_members(&process.table),
            actual,
            "table of {observer} differs from the actual state"
        );
    }
}
