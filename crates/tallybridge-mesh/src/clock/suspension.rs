//! The time for which the machine was suspended since the process started.
//!
//! Suspended time is the difference by which `CLOCK_BOOTTIME` has advanced more than the monotonic
//! clock. The state is global to the process. Each reading of the clock detects a wake-up and
//! notifies the timers in [`super::sleep`].

use std::{
    sync::{
        LazyLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use nix::time::{ClockId, clock_gettime};
use tokio::sync::watch;

/// Resolution of the suspended time. It hides the small difference between two clocks that are read
/// one after the other.
const RESOLUTION: Duration = Duration::from_millis(10);

static CLOCKS_AT_START: LazyLock<ClockPair> = LazyLock::new(ClockPair::read);
/// Suspended time simulated by tests, in milliseconds.
static SIMULATED_MS: AtomicU64 = AtomicU64::new(0);
/// Suspended time of which the timers were notified, in milliseconds.
static NOTIFIED_MS: AtomicU64 = AtomicU64::new(0);
/// Number of detected wake-ups.
static WAKE_UPS: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::Sender::new(0));

/// Returns the time for which the machine was suspended since the process started, rounded to
/// 10 ms.
#[must_use]
pub fn suspended() -> Duration {
    let at_start = &*CLOCKS_AT_START;
    let unrounded = ClockPair::read().suspended_since(at_start);
    let simulated = Duration::from_millis(SIMULATED_MS.load(Ordering::Relaxed));
    let suspended = round_to_resolution(unrounded) + simulated;
    notify_wake_up(suspended);
    suspended
}

/// Advances the clock of all nodes in this process as if the machine had been suspended. Only tests
/// use this, since they cannot suspend the machine.
#[doc(hidden)]
pub fn simulate_suspension(length: Duration) {
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    SIMULATED_MS.fetch_add(length_ms, Ordering::Relaxed);
    notify_wake_up(suspended());
}

/// Returns a receiver that is notified of each detected wake-up of the machine.
pub(super) fn wake_ups() -> watch::Receiver<u64> {
    WAKE_UPS.subscribe()
}

fn notify_wake_up(suspended: Duration) {
    let suspended_ms = u64::try_from(suspended.as_millis()).unwrap_or(u64::MAX);
    if suspended_ms <= NOTIFIED_MS.load(Ordering::Relaxed) {
        return;
    }
    if suspended_ms > NOTIFIED_MS.fetch_max(suspended_ms, Ordering::Relaxed) {
        WAKE_UPS.send_modify(|count| *count += 1);
    }
}

fn round_to_resolution(duration: Duration) -> Duration {
    if duration < RESOLUTION / 2 {
        return Duration::ZERO;
    }
    let steps = (duration + RESOLUTION / 2).as_millis() / RESOLUTION.as_millis();
    RESOLUTION * u32::try_from(steps).unwrap_or(u32::MAX)
}

/// Readings of the monotonic clock and of the boot-time clock, taken one directly after the other.
struct ClockPair {
    monotonic: Instant,
    /// Time since the machine booted, including suspended time.
    since_boot: Duration,
}

impl ClockPair {
    fn read() -> Self {
        // On a system without this clock, no suspended time is detected.
        let since_boot =
            clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from);
        Self {
            monotonic: Instant::now(),
            since_boot,
        }
    }

    /// Returns the time for which the machine was suspended since an earlier reading.
    fn suspended_since(&self, earlier: &Self) -> Duration {
        let since_boot = self.since_boot.saturating_sub(earlier.since_boot);
        let monotonic = self.monotonic.saturating_duration_since(earlier.monotonic);
        since_boot.saturating_sub(monotonic)
    }
}
