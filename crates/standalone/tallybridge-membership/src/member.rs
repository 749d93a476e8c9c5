//! Records of single members: identity, placement, incarnation and health.

use std::{sync::Arc, time::Instant};

use tallybridge_core::{NodeId, RegionName, ServiceName, ZoneName};

/// Location and service of a member; constant for the lifetime of an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Placement {
    /// Service of the member's back end; empty when the member has no back end.
    pub service: ServiceName,
    /// Region of the member; contains one or more zones.
    pub region: RegionName,
    /// Zone of the member; the members of a zone tend to fail together.
    pub zone: ZoneName,
    /// Rack of the member; empty when unknown.
    pub rack: Arc<str>,
}

/// Identity and placement of the node that owns a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Address and instance id of the node.
    pub node: NodeId,
    /// Location and service of the node.
    pub placement: Placement,
}

/// Version of the information about a member; only the member itself increments it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Incarnation(pub u32);

impl Incarnation {
    /// Greater than any incarnation that a member uses, so a claim with it cannot be refuted.
    pub const FINAL: Self = Self(u32::MAX);

    /// Returns the next incarnation; never [`Self::FINAL`].
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1).min(u32::MAX - 1))
    }
}

/// Recorded health of a member. Within one incarnation the greater value takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Health {
    /// No failed probe of the member is known.
    Alive = 0,
    /// The member did not answer a probe and may still refute the suspicion.
    Suspect = 1,
    /// The member did not refute a suspicion in time, or another instance answers at its address.
    Dead = 2,
    /// The member announced that it left.
    Left = 3,
}

impl Health {
    /// Returns true for members that are still probed and receive gossip.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Decodes a wire value; returns `None` if the value is undefined.
    #[must_use]
    pub const fn from_wire(value: u8) -> Option<Self> {
        match value {
            0 => Some(Self::Alive),
            1 => Some(Self::Suspect),
            2 => Some(Self::Dead),
            3 => Some(Self::Left),
            _ => None,
        }
    }
}

/// Health and leaving flag of a member combined, as used by routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The member accepts work.
    Alive,
    /// The member accepts work, but has not answered a probe.
    Suspect,
    /// The member accepts no new work.
    Leaving,
    /// The member was declared dead.
    Dead,
    /// The member announced that it left.
    Left,
}

/// Current information about one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Address and instance id of the member.
    pub node: NodeId,
    /// Version of the record.
    pub incarnation: Incarnation,
    /// Health at this incarnation.
    pub health: Health,
    /// Whether the member accepts no new work; set by the member itself with each incarnation.
    pub leaving: bool,
    /// Location and service, shared among members with the same placement.
    pub placement: Arc<Placement>,
}

impl MemberRecord {
    /// Combines health and leaving flag. A suspected member that is leaving counts as leaving, so
    /// that it receives no new work.
    #[must_use]
    pub const fn state(&self) -> MemberState {
        match self.health {
            Health::Dead => MemberState::Dead,
            Health::Left => MemberState::Left,
            Health::Alive | Health::Suspect if self.leaving => MemberState::Leaving,
            Health::Suspect => MemberState::Suspect,
            Health::Alive => MemberState::Alive,
        }
    }

    /// Returns the sort key by which the greater of two records of a member takes precedence.
    #[must_use]
    pub const fn precedence(&self) -> (Incarnation, Health) {
        (self.incarnation, self.health)
    }
}

#[derive(Debug, Clone)]
pub(crate) struct MemberRow {
    pub record: MemberRecord,
    /// Time at which the instance was added to this table.
    pub first_known: Instant,
    pub health_since: Instant,
    /// Result of `node_hash` for the member.
    pub hash: u64,
}
