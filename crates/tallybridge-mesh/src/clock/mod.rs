//! A monotonic clock that includes the time for which the machine was suspended.
//!
//! The monotonic clocks of the standard library and of tokio stop during a suspension. Events that
//! progress on other machines meanwhile (confirmations of the configuration, deadlines of callers,
//! windows of quotas and retries, quarantines) are dated by [`BootInstant`]; the work of this process
//! (latency, load, liveness of links, backoff) is timed by [`tokio::time::Instant`].
//!
//! The module owns the process-wide suspended time ([`suspended`]) and pauses ([`record_tick`]), and
//! relies on the `CLOCK_BOOTTIME` of the kernel. A [`BootInstant`] is valid only in the process that
//! created it; messages carry ages or remaining times instead.

mod pause;
mod sleep;
mod suspension;

use std::{
    ops::{Add, AddAssign},
    time::Duration,
};

use tokio::time::Instant;

pub use pause::{Pauses, record_tick};
pub use sleep::{DeadlineElapsed, timeout_at};
pub use suspension::{simulate_suspension, suspended};

/// A point in time on a monotonic clock that continues while the machine is suspended.
///
/// Reading this clock is several times slower than reading the tokio clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(Instant);

impl BootInstant {
    /// Returns the current time.
    #[must_use]
    pub fn now() -> Self {
        Self(Instant::now() + suspended())
    }

    /// Returns the earliest time at which data read from a socket now can have arrived: the
    /// beginning of a pause of the process that has just ended, otherwise the current time.
    #[must_use]
    pub fn earliest_arrival() -> Self {
        let now = Self::now();
        let age = pause::max_unread_age(now);
        now.checked_sub(age).unwrap_or(now)
    }

    /// Returns the time since this point.
    #[must_use]
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// Returns the time since an earlier point, or zero if that point is later than this one.
    #[must_use]
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// Returns a later point, or `None` if the clock cannot represent it.
    #[must_use]
    pub fn checked_add(self, duration: Duration) -> Option<Self> {
        self.0.checked_add(duration).map(Self)
    }

    /// Returns an earlier point, or `None` if the clock cannot represent it.
    #[must_use]
    pub fn checked_sub(self, duration: Duration) -> Option<Self> {
        self.0.checked_sub(duration).map(Self)
    }

    /// Converts to the standard type for libraries that need it. The result can be compared only
    /// with other results of this method.
    #[must_use]
    pub fn into_std(self) -> std::time::Instant {
        self.0.into_std()
    }

    /// Converts to the tokio clock. The result is wrong if the machine is suspended before this
    /// point.
    #[must_use]
    pub fn into_tokio(self) -> Instant {
        Instant::now() + self.saturating_duration_since(Self::now())
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0 + duration)
    }
}

impl AddAssign<Duration> for BootInstant {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}
