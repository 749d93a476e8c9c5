//! Policies that a run compares: tallybridge and the baselines.

pub mod router;

use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// What stands between callers and back ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// One tallybridge node beside each back end.
    Tallybridge,
    /// A round-robin router beside each back end, without control.
    None,
    /// The same router with static limits and three retries a hop.
    Static,
}

impl Policy {
    /// Name in summaries and reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Tallybridge => "tallybridge",
            Self::None => "none",
            Self::Static => "static",
        }
    }
}

impl std::fmt::Display for Policy {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.name())
    }
}
