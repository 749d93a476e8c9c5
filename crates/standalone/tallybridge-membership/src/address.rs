//! Telling instances at the same address apart.
//!
//! Instances are drawn at random, so their order shows only by who answers: one that answers a
//! ping outlives every other that was known at that address before the ping was sent.

use std::{net::SocketAddr, time::Instant};

use tallybridge_core::NodeId;

use crate::{
    member::{Health, Incarnation, MemberRecord},
    merge::Reporter,
    table::MemberTable,
};

impl MemberTable {
    /// An instance answered a ping sent at a time: those at its address known before are gone.
    pub(crate) fn settle_address(&mut self, responder: NodeId, pinged: Instant, now: Instant) {
        let ended: Vec<MemberRecord> = self
            .rows_at(responder.address)
            .filter(|row| row.record.node != responder && row.first_known <= pinged)
            .filter(|row| row.record.incarnation != Incarnation::FINAL)
            .map(|row| row.record.clone())
            .collect();
        for record in ended {
            self.end_instance(record, now);
        }
    }

    /// An earlier instance at this node's own address is gone: this node listens there.
    pub(crate) fn end_predecessor(&mut self, record: MemberRecord, now: Instant) {
        self.end_instance(record, now);
    }

    fn end_instance(&mut self, record: MemberRecord, now: Instant) {
        let node = record.node;
        let ended = MemberRecord {
            incarnation: Incarnation::FINAL,
            health: record.health.max(Health::Dead),
            ..record
        };
        tracing::info!(member = %node, "another instance answers at the member's address");
        self.replace(ended, now);
        self.queue.push(node, Reporter::NONE);
    }

    /// Has an address pinged soon when two instances there are believed to live.
    pub(crate) fn doubt_address(&mut self, address: SocketAddr) {
        let live = self
            .rows_at(address)
            .filter(|row| row.record.health.is_live())
            .count();
        if live > 1 {
            self.probes.doubted.insert(address);
        }
    }
}
