//! Events that a table reports to its owner.

use tallybridge_core::NodeId;

use crate::member::MemberRecord;

/// Change of a member as observed by the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent {
    /// A member is new, or a member recorded as dead or left is live again.
    Joined(MemberRecord),
    /// A live member became suspect, refuted a suspicion or announced that it is leaving.
    Changed(MemberRecord),
    /// A member announced that it left.
    Left(MemberRecord),
    /// A member was declared dead without having announced that it left.
    Died(MemberRecord),
    /// A member has a greater revision or partition epoch than this node.
    PeerAhead {
        /// The member from which to fetch.
        node: NodeId,
        /// Configuration revision of the member.
        revision: u64,
        /// Partition map epoch of the member.
        partition_epoch: u64,
    },
}
