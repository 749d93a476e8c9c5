//! Load phases: how many root requests a second arrive, and of which kinds.

use serde::{Deserialize, Serialize};

/// One stretch of load. The rate changes evenly from `rate` to `end_rate`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Name, for reports.
    pub name: String,
    /// Length, in seconds.
    pub seconds: f64,
    /// Root requests a second at the start.
    pub rate: f64,
    /// Root requests a second at the end; absent: the same as at the start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end_rate: Option<f64>,
    /// Whether the phase strains the system on purpose; recovery is counted from its end.
    #[serde(default)]
    pub strain: bool,
    /// Shares of the kinds; weights, which need not add up to one.
    pub mix: Vec<Share>,
}

/// Weight of one kind in a phase.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Name of the kind.
    pub kind: String,
    /// Weight; above zero.
    pub weight: f64,
}

impl Phase {
    /// Root requests a second at a time within the phase, in seconds from its start.
    #[must_use]
    pub fn rate_at(&self, seconds: f64) -> f64 {
        let end_rate = self.end_rate.unwrap_or(self.rate);
        self.rate + (end_rate - self.rate) * (seconds / self.seconds)
    }

    /// The highest rate of the phase, in requests a second.
    #[must_use]
    pub fn peak_rate(&self) -> f64 {
        self.rate.max(self.end_rate.unwrap_or(self.rate))
    }
}
