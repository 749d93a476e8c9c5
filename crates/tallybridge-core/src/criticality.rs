//! Criticality classes, which decide which calls are shed first under overload.
//!
//! The four classes and their names follow "Handling Overload" in *Site Reliability Engineering*
//! (Beyer et al., 2016, chapter 21).

use serde::{Deserialize, Serialize};

/// Criticality class of a call. Classes with a greater value are shed later.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum Criticality {
    /// Tolerates partial or full unavailability, for example bulk transfers and batch work.
    Sheddable = 0,
    /// Tolerates some unavailability, for example background refreshes.
    #[default]
    SheddablePlus = 1,
    /// Default for a call that a user waits for.
    Critical = 2,
    /// Shed last, for example payment settlements and bill credits.
    CriticalPlus = 3,
}

impl Criticality {
    /// All classes, least critical first.
    pub const ALL: [Self; 4] = [
        Self::Sheddable,
        Self::SheddablePlus,
        Self::Critical,
        Self::CriticalPlus,
    ];

    /// Returns the index of the class in [`ALL`](Self::ALL) and in tables with one row for each class.
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the class with this wire value, or `None` if no class has it.
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
