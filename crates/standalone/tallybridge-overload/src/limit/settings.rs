//! Bounds of a concurrency limit.

/// Bounds of a [`ConcurrencyLimit`](super::ConcurrencyLimit), in calls in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// The limit before anything was observed. Rather too low than too high: it rises in a second,
    /// but the first baseline is taken at it, and one that was taken far above the slots is only
    /// corrected over many seconds.
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
