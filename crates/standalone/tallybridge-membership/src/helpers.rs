//! Helpers of a probe: who is asked to ping a member that has not answered.

use std::{collections::BTreeSet, net::SocketAddr};

use rand::rngs::SmallRng;
use tallybridge_core::NodeId;

use crate::{member::MemberRecord, table::MemberTable};

/// Helpers that see the member over another way: one in another region, one in another zone and
/// one beside the member, as far as there are any.
pub(crate) fn helpers(table: &MemberTable, target: NodeId, rng: &mut SmallRng) -> Vec<NodeId> {
    type Fits = fn(helper: &MemberRecord, own: &MemberRecord, target: &MemberRecord) -> bool;
    const WAYS: [Fits; 3] = [
        |helper, own, _| helper.placement.region != own.placement.region,
        |helper, own, _| helper.placement.zone != own.placement.zone,
        |helper, _, target| helper.placement.zone == target.placement.zone,
    ];
    let own = table.own_record();
    let target_record = &table.members[&target].record;
    let mut chosen: Vec<NodeId> = Vec::new();
    for place in 0..table.settings.indirect_probes {
        let fits = WAYS[place % WAYS.len()];
        let is_free = |node: NodeId| node != target && !chosen.contains(&node);
        let drawn = table
            .random_live(rng, |table, node| {
                is_free(node) && fits(&table.members[&node].record, own, target_record)
            })
            .or_else(|| table.random_live(rng, |_, node| is_free(node)));
        chosen.extend(drawn);
    }
    chosen
}

/// Helpers from whom at least a refusal is expected: those in the member's own zone may have been
/// lost together with it, so they count only where there are no others.
pub(crate) fn telling_helpers(
    table: &MemberTable,
    target: NodeId,
    helpers: &[NodeId],
) -> BTreeSet<SocketAddr> {
    let zone = |node: NodeId| &table.members[&node].record.placement.zone;
    let address = |node: &NodeId| node.address;
    let elsewhere = helpers
        .iter()
        .filter(|helper| zone(**helper) != zone(target));
    let telling: BTreeSet<SocketAddr> = elsewhere.map(address).collect();
    if telling.is_empty() {
        return helpers.iter().map(address).collect();
    }
    telling
}
