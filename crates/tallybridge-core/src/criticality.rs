//! How much a call matters when not all calls can be served.
//!
//! The four classes and their names follow "Handling Overload" in *Site Reliability Engineering*
//! (Beyer et al., 2016, chapter 21).

use serde::{Deserialize, Serialize};

/// The class of a call; a greater value is shed later.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum Criticality {
    /// Partial or full unavailability is expected: bulk transfers, batch work.
    Sheddable = 0,
    /// Some unavailability is expected: background refreshes.
    #[default]
    SheddablePlus = 1,
    /// The default of a call that a person waits for.
    Critical = 2,
    /// Shed last of all: payment settlements and bill credits.
    CriticalPlus = 3,
}

impl Criticality {
    /// Every class, least critical first.
    pub const ALL: [Self; 4] = [
        Self::Sheddable,
        Self::SheddablePlus,
        Self::Critical,
        Self::CriticalPlus,
    ];

    /// The class as an index into a table with one row for each class.
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }

    /// The class of a wire value, or `None` when no class has that value.
    #[must_use]
    pub fn from_wire(value: u8) -> Option<Self> {
        Self::ALL.get(usize::from(value)).copied()
    }
}

impl std::fmt::Display for Criticality {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Sheddable => "sheddable",
            Self::SheddablePlus => "sheddable-plus",
            Self::Critical => "critical",
            Self::CriticalPlus => "critical-plus",
        })
    }
}
