//! Bounds of a concurrency limit.

/// Bounds of a [`ConcurrencyLimit`](super::ConcurrencyLimit), in calls in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// The limit before anything was observed.
    pub initial: u16,
    /// The limit never falls below this; at least one.
    pub min: u16,
    /// The limit never rises above this.
    pub max: u16,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            initial: 8,
            min: 2,
            max: 1000,
        }
    }
}
