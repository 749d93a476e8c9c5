//! What the node does about changes in the fleet.

use std::time::Instant;

use tallybridge_config::Revision;
use tallybridge_core::{NodeId, ServiceName};
use tallybridge_membership::{MemberEvent, MemberRecord, MemberState, Outgoing};
use tallybridge_routing::Endpoint;

use crate::tables::Tables;

/// What is to be sent, and who knows more than this node.
#[derive(Debug, Default)]
pub struct GossipEffects {
    /// Datagrams to send.
    pub outgoing: Vec<Outgoing>,
    /// Whether a member has a greater configuration revision than this node.
    pub peer_ahead: bool,
    /// Whether a member has a newer partition map than this node.
    pub map_ahead: bool,
}

/// Takes in what the members table has found out.
pub fn settle(tables: &mut Tables, outgoing: Vec<Outgoing>, now: Instant) -> GossipEffects {
    let effects = GossipEffects {
        outgoing,
        peer_ahead: false,
        map_ahead: false,
    };
    let mut changed = false;
    for event in tables.members.events() {
        match event {
            // What each datagram says is looked at when it arrives, by `hear_revision` and
            // `hear_map_version`.
            MemberEvent::PeerAhead { .. } => {}
            MemberEvent::Joined(record) => {
                tracing::info!(member = %record.node, "member joined");
                changed = true;
            }
            MemberEvent::Left(record) => {
                tracing::info!(member = %record.node, "member left");
                changed = true;
            }
            MemberEvent::Died(record) => {
                tracing::warn!(member = %record.node, "member died");
                changed = true;
            }
            MemberEvent::Changed(_) => changed = true,
        }
    }
    if changed {
        refresh_endpoints(tables, now);
    }
    effects
}

/// Takes in the revision that a member has; `true` when it is ahead of this node.
pub fn hear_revision(tables: &mut Tables, sender: NodeId, revision: u64, now: Instant) -> bool {
    is_live_peer(tables, sender)
        && tables
            .configuration
            .hear_peer(sender, Revision(revision), now)
}

/// Takes in the version of the partition map that a member has; `true` when it is ahead of this
/// node.
pub fn hear_map_version(tables: &mut Tables, sender: NodeId, version: u64) -> bool {
    is_live_peer(tables, sender) && tables.claims.hear_peer(sender, version)
}

fn is_live_peer(tables: &Tables, node: NodeId) -> bool {
    let record = tables.members.member(node);
    node != tables.identity && record.is_some_and(|record| record.health.is_live())
}

/// Makes the members that have a back end the places to send to.
pub fn refresh_endpoints(tables: &mut Tables, now: Instant) {
    let endpoints: Vec<Endpoint> = tables
        .members
        .members()
        .filter(|record| record.health.is_live())
        .filter_map(endpoint_of)
        .collect();
    let leaving: Vec<NodeId> = tables
        .members
        .members()
        .filter(|record| record.state() == MemberState::Leaving)
        .map(|record| record.node)
        .collect();
    tables.endpoints.set_endpoints(endpoints, now);
    for node in leaving {
        tables.endpoints.mark_leaving(node);
    }
}

fn endpoint_of(record: &MemberRecord) -> Option<Endpoint> {
    let service: &ServiceName = &record.placement.service;
    if service.as_str().is_empty() {
        return None;
    }
    Some(Endpoint {
        node: record.node,
        service: service.clone(),
        region: record.placement.region.clone(),
        zone: record.placement.zone.clone(),
    })
}

/// The back end beside this node takes no new work from now on, and the fleet is told at once.
pub fn leave(tables: &mut Tables, now: Instant) {
    if tables.leaving {
        return;
    }
    tracing::info!("leaving: no new work is taken");
    tables.leaving = true;
    tables.members.leave(now);
}
