//! One member: who it is, where it is and how it is.

use std::{sync::Arc, time::Instant};

use tallybridge_core::{NodeId, RegionName, ServiceName, ZoneName};

/// Where a member is and what it serves; fixed for the life of an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Placement {
    /// Service of the back end beside the member; empty when it has none.
    pub service: ServiceName,
    /// Region.
    pub region: RegionName,
    /// Zone.
    pub zone: ZoneName,
    /// Rack; empty when unknown.
    pub rack: Arc<str>,
}

/// The owner of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Address and run.
    pub node: NodeId,
    /// Where it is.
    pub placement: Placement,
}

/// Version of what is said about a member; only the member itself makes a greater one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Incarnation(pub u32);

impl Incarnation {
    /// Greater than any that a member makes: what is said with it can't be refuted.
    pub const FINAL: Self = Self(u32::MAX);

    /// The next one; never [`Self::FINAL`].
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1).min(u32::MAX - 1))
    }
}

/// How a member is believed to be. Within one incarnation the greater value wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Health {
    /// It answers, or nothing else is known.
    Alive = 0,
    /// It has not answered and may refute that.
    Suspect = 1,
    /// It has not refuted in time, or another instance answers at its address.
    Dead = 2,
    /// It said that it is gone.
    Left = 3,
}

impl Health {
    /// Whether the member still takes part.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// The health of a wire value, or `None` when there is none.
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

/// What routing needs to know of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Takes work.
    Alive,
    /// Takes work, but has not answered a probe.
    Suspect,
    /// Takes no new work.
    Leaving,
    /// Gone without a word.
    Dead,
    /// Gone as announced.
    Left,
}

/// What is believed about one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Address and run.
    pub node: NodeId,
    /// Version of the belief.
    pub incarnation: Incarnation,
    /// How it is.
    pub health: Health,
    /// Whether it takes no new work; said by the member itself with each incarnation.
    pub leaving: bool,
    /// Where it is.
    pub placement: Arc<Placement>,
}

impl MemberRecord {
    /// Health and leaving in one. A leaving member that is suspected stays leaving, so that no new
    /// work goes to it.
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

    /// Order of beliefs about the same member: the greater one holds.
    #[must_use]
    pub const fn precedence(&self) -> (Incarnation, Health) {
        (self.incarnation, self.health)
    }
}

/// A row of the table.
#[derive(Debug, Clone)]
pub(crate) struct MemberRow {
    pub record: MemberRecord,
    /// When this node first heard of the instance.
    pub first_known: Instant,
    /// When the health last changed.
    pub since: Instant,
    /// Digest of the [`NodeId`].
    pub hash: u64,
}
