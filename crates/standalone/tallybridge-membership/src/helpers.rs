//! Selection of helpers: members that are asked to ping an unresponsive member indirectly.

use std::{collections::BTreeSet, net::SocketAddr};

use rand::rngs::SmallRng;
use tallybridge_core::NodeId;

use crate::{member::MemberRecord, table::MemberTable};

/// Chooses helpers with different network paths to the member: one in another region, one in
/// another zone and one in the member's own zone. Falls back to any live member.
pub(crate) fn choose_helpers(
    table: &MemberTable,
    target: NodeId,
    rng: &mut SmallRng,
) -> Vec<NodeId> {
    type Preference = fn(helper: &MemberRecord, own: &MemberRecord, target: &MemberRecord) -> bool;
    const PREFERENCES: [Preference; 3] = [
        |helper, own, _| helper.placement.region != own.placement.region,
        |helper, own, _| helper.placement.zone != own.placement.zone,
        |helper, _, target| helper.placement.zone == target.placement.zone,
    ];
    let own = table.own_record();
    let target_record = &table.members[&target].record;
    let mut chosen: Vec<NodeId> = Vec::new();
    for index in 0..table.settings.indirect_probes {
        let is_preferred = PREFERENCES[index % PREFERENCES.len()];
        let is_available = |node: NodeId| node != target && !chosen.contains(&node);
        let drawn = table
            .random_live(rng, |table, node| {
                is_available(node) && is_preferred(&table.members[&node].record, own, target_record)
            })
            .or_else(|| table.random_live(rng, |_, node| is_available(node)));
        chosen.extend(drawn);
    }
    chosen
}

/// Returns the helpers that are expected to send at least a nack. Helpers in the member's own zone
/// may have failed with the member, so they count only if there are no others.
pub(crate) fn expected_responders(
    table: &MemberTable,
    target: NodeId,
    helpers: &[NodeId],
) -> BTreeSet<SocketAddr> {
    let zone = |node: NodeId| &table.members[&node].record.placement.zone;
    let address = |node: &NodeId| node.address;
    let outside_zone = helpers
        .iter()
        .filter(|helper| zone(**helper) != zone(target));
    let expected: BTreeSet<SocketAddr> = outside_zone.map(address).collect();
    if expected.is_empty() {
        return helpers.iter().map(address).collect();
    }
    expected
}
