//! Resolution of conflicts between instances at the same address.
//!
//! Instance ids are random and carry no order. The instance that answers a ping supersedes every
//! other instance that was known at the address before the ping was sent.

use std::{net::SocketAddr, time::Instant};

use tallybridge_core::NodeId;

use crate::{
    member::{Health, Incarnation, MemberRecord},
    merge::Reporter,
    table::MemberTable,
};

impl MemberTable {
    /// Ends the other instances at the responder's address that were known before the ping was
    /// sent.
    pub(crate) fn end_other_instances(
        &mut self,
        responder: NodeId,
        ping_sent_at: Instant,
        now: Instant,
    ) {
        let ended: Vec<MemberRecord> = self
            .rows_at(responder.address)
            .filter(|row| row.record.node != responder && row.first_known <= ping_sent_at)
            .filter(|row| row.record.incarnation != Incarnation::FINAL)
            .map(|row| row.record.clone())
            .collect();
        for record in ended {
            self.end_instance(record, now);
        }
    }

    /// Ends an earlier instance at this node's own address, where only this node can listen now.
    pub(crate) fn end_earlier_instance(&mut self, record: MemberRecord, now: Instant) {
        self.end_instance(record, now);
    }

    fn end_instance(&mut self, record: MemberRecord, now: Instant) {
        let node = record.node;
        let ended = MemberRecord {
            incarnation: Incarnation::FINAL,
            health: record.health.max(Health::Dead),
            ..record
        };
        tracing::info!(
            member = %node,
            "another instance answers at the member's address; recording the member as dead"
        );
        self.replace(ended, now);
        self.queue.push(node, Reporter::NONE);
    }

    /// Schedules a ping to an address at which more than one instance is recorded as live.
    pub(crate) fn queue_contested_address(&mut self, address: SocketAddr) {
        let live = self
            .rows_at(address)
            .filter(|row| row.record.health.is_live())
            .count();
        if live > 1 {
            self.probes.contested_addresses.insert(address);
        }
    }
}
