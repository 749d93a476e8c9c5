//! Bounds of a concurrency limit.

/// Bounds of a [`ConcurrencyLimit`](super::ConcurrencyLimit), in calls in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// The limit before any observation.
    ///
    /// A low value is safer: the limit rises within a second, but a latency baseline that is first
    /// taken far above the slots of the back end needs many seconds to correct.
    pub initial: u16,
    /// The lowest limit; zero counts as one.
    pub min: u16,
    /// The highest limit; zero counts as one.
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
