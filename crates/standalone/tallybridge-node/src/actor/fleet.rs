//! Messages about the fleet.

use std::{collections::BTreeSet, net::SocketAddr};

use tallybridge_core::NodeId;
use tallybridge_membership::{MemberState, probe, receive};
use tallybridge_wire::Datagram;
use xtra::prelude::*;

use super::{NodeActor, now};
use crate::systems::membership::{self, GossipEffects};

/// A datagram came from another node.
pub struct GossipReceived {
    /// Where it came from.
    pub from: SocketAddr,
    /// What it says.
    pub datagram: Datagram,
}

impl Handler<GossipReceived> for NodeActor {
    type Return = GossipEffects;

    async fn handle(
        &mut self,
        message: GossipReceived,
        _context: &mut Context<Self>,
    ) -> GossipEffects {
        let now = now();
        let tables = &mut self.tables;
        let header = &message.datagram.header;
        let sender: NodeId = header.sender.into();
        let peer_ahead = membership::hear_revision(tables, sender, header.revision, now);
        let map_ahead = membership::hear_map_version(tables, sender, header.partition_epoch);
        let outgoing = receive(
            &mut tables.members,
            message.from,
            message.datagram,
            now,
            &mut tables.rng,
        );
        GossipEffects {
            peer_ahead,
            map_ahead,
            ..membership::settle(tables, outgoing, now)
        }
    }
}

/// Runs the systems of membership.
pub struct GossipTick;

impl Handler<GossipTick> for NodeActor {
    type Return = GossipEffects;

    async fn handle(
        &mut self,
        _message: GossipTick,
        _context: &mut Context<Self>,
    ) -> GossipEffects {
        let now = now();
        let tables = &mut self.tables;
        let outgoing = probe::run(&mut tables.members, now, &mut tables.rng);
        membership::settle(tables, outgoing, now)
    }
}

/// Addresses through which this node joins the fleet.
pub struct Seeds(pub Vec<SocketAddr>);

impl Handler<Seeds> for NodeActor {
    type Return = ();

    async fn handle(&mut self, Seeds(seeds): Seeds, _context: &mut Context<Self>) {
        self.tables.members.join(&seeds);
    }
}

/// The back end beside this node takes no new work from now on.
pub struct Leave;

impl Handler<Leave> for NodeActor {
    type Return = ();

    async fn handle(&mut self, _message: Leave, _context: &mut Context<Self>) {
        membership::leave(&mut self.tables, now());
    }
}

/// This node takes no new calls from outside; nested calls of what still runs go on.
pub struct StopTakingCalls;

impl Handler<StopTakingCalls> for NodeActor {
    type Return = ();

    async fn handle(&mut self, _message: StopTakingCalls, _context: &mut Context<Self>) {
        self.tables.stopping = true;
    }
}

/// This node has finished and is gone.
pub struct Depart;

impl Handler<Depart> for NodeActor {
    type Return = ();

    async fn handle(&mut self, _message: Depart, _context: &mut Context<Self>) {
        self.tables.members.depart(now());
    }
}

/// Asks for the member that takes work at an address, if one is known there.
pub struct MemberAt(pub SocketAddr);

impl Handler<MemberAt> for NodeActor {
    type Return = Option<NodeId>;

    async fn handle(
        &mut self,
        MemberAt(address): MemberAt,
        _context: &mut Context<Self>,
    ) -> Option<NodeId> {
        self.tables
            .members
            .members()
            .filter(|record| record.node.address == address)
            .find(|record| matches!(record.state(), MemberState::Alive | MemberState::Suspect))
            .map(|record| record.node)
    }
}

/// The zone of this node, as its members table has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// Names of the live members in the zone, this node included.
    pub live: BTreeSet<String>,
    /// Number of live members of the whole fleet, this node included.
    pub fleet_members: usize,
    /// Whether this node is about to end.
    pub leaving: bool,
}

impl Zone {
    /// Number of live members in the zone.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.live.len()).unwrap_or(u32::MAX)
    }
}

/// Asks for the zone of this node.
pub struct GetZone;

impl Handler<GetZone> for NodeActor {
    type Return = Zone;

    async fn handle(&mut self, _message: GetZone, _context: &mut Context<Self>) -> Zone {
        let tables = &self.tables;
        let live = || {
            let members = tables.members.members();
            members.filter(|record| record.health.is_live())
        };
        let own = tables.members.member(tables.identity);
        let own = own.map(|record| record.placement.clone());
        let in_zone = live().filter(|record| {
            own.as_ref().is_some_and(|own| {
                own.region == record.placement.region && own.zone == record.placement.zone
            })
        });
        Zone {
            live: in_zone.map(|record| record.node.to_string()).collect(),
            fleet_members: live().count(),
            leaving: tables.leaving || tables.stopping,
        }
    }
}

/// Asks whether this node holds a duty to watch the store.
pub struct HoldsWatch;

impl Handler<HoldsWatch> for NodeActor {
    type Return = bool;

    async fn handle(&mut self, _message: HoldsWatch, _context: &mut Context<Self>) -> bool {
        self.tables.watches_store
    }
}

/// Whether this node holds a duty to watch the store.
pub struct WatchesStore(pub bool);

impl Handler<WatchesStore> for NodeActor {
    type Return = ();

    async fn handle(&mut self, WatchesStore(held): WatchesStore, _context: &mut Context<Self>) {
        self.tables.watches_store = held;
    }
}
