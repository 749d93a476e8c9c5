//! Summary of a table for operators.

use crate::{
    member::{Incarnation, MemberState},
    table::MemberTable,
};

/// Member counts of a table and the state of its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MembershipStatus {
    /// Members in [`MemberState::Alive`], the owner included.
    pub alive: usize,
    /// Members in [`MemberState::Suspect`].
    pub suspect: usize,
    /// Members in [`MemberState::Leaving`].
    pub leaving: usize,
    /// Members in [`MemberState::Dead`] that are not purged yet.
    pub dead: usize,
    /// Members in [`MemberState::Left`] that are not purged yet.
    pub left: usize,
    /// Current incarnation of the owner.
    pub incarnation: Incarnation,
    /// Local health score: from 0 (healthy) to 8.
    pub local_health: u32,
    /// Updates waiting to be sent.
    pub queued_updates: usize,
    /// Whether this node is still collecting the table after its start.
    pub catching_up: bool,
    /// Whether another instance answers at this node's address, so that this node must stop.
    pub superseded: bool,
    /// Revision of the owner's configuration.
    pub revision: u64,
    /// Epoch of the owner's partition map.
    pub partition_epoch: u64,
}

impl MemberTable {
    /// Counts the members by state and returns the counts with the state of the owner.
    #[must_use]
    pub fn status(&self) -> MembershipStatus {
        let mut status = MembershipStatus {
            incarnation: self.own_record().incarnation,
            local_health: self.local_health.score(),
            queued_updates: self.queue.len(),
            catching_up: self.comparisons.is_catching_up(),
            superseded: self.superseded,
            revision: self.revision,
            partition_epoch: self.partition_epoch,
            ..MembershipStatus::default()
        };
        for record in self.members() {
            let count = match record.state() {
                MemberState::Alive => &mut status.alive,
                MemberState::Suspect => &mut status.suspect,
                MemberState::Leaving => &mut status.leaving,
                MemberState::Dead => &mut status.dead,
                MemberState::Left => &mut status.left,
            };
            *count += 1;
        }
        status
    }
}
