//! How long this machine was suspended since the process began.
//!
//! Suspended time is what `CLOCK_BOOTTIME` went ahead of the monotonic clock. The state is one for
//! the process, as a process is one node. Each reading notices a wake-up and tells those who wait
//! ([`super::sleep`]).

use std::{
    sync::{
        LazyLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use nix::time::{ClockId, clock_gettime};
use tokio::sync::watch;

/// Resolution of suspended time: far above the difference of two clocks that are read one after the
/// other, far below any time that matters here. Origin not recorded.
const STEP: Duration = Duration::from_millis(10);

static AT_START: LazyLock<ClockPair> = LazyLock::new(ClockPair::read);
static PRETENDED_MS: AtomicU64 = AtomicU64::new(0);
/// Suspended time that was noticed so far, in milliseconds.
static NOTICED_MS: AtomicU64 = AtomicU64::new(0);
/// Counts the wake-ups that were noticed.
static WAKE_UPS: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::Sender::new(0));

/// Time for which this machine was suspended since the process began, in steps of 10 ms.
#[must_use]
pub fn suspended() -> Duration {
    let at_start = &*AT_START;
    let ahead = ClockPair::read().ahead_since(at_start);
    let pretended = Duration::from_millis(PRETENDED_MS.load(Ordering::Relaxed));
    let suspended = in_steps(ahead) + pretended;
    notice_wake_up(suspended);
    suspended
}

/// Moves the clock as if the machine had been suspended, for all nodes of the process.
///
/// For tests alone: a test can't suspend its machine, and the program offers no other way to this state.
#[doc(hidden)]
pub fn pretend_suspension(length: Duration) {
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    PRETENDED_MS.fetch_add(length_ms, Ordering::Relaxed);
    notice_wake_up(suspended());
}

/// Changes at each wake-up of the machine that is noticed.
pub(super) fn wake_ups() -> watch::Receiver<u64> {
    WAKE_UPS.subscribe()
}

fn notice_wake_up(suspended: Duration) {
    let suspended_ms = u64::try_from(suspended.as_millis()).unwrap_or(u64::MAX);
    if suspended_ms <= NOTICED_MS.load(Ordering::Relaxed) {
        return;
    }
    if suspended_ms > NOTICED_MS.fetch_max(suspended_ms, Ordering::Relaxed) {
        WAKE_UPS.send_modify(|count| *count += 1);
    }
}

fn in_steps(ahead: Duration) -> Duration {
    if ahead < STEP / 2 {
        return Duration::ZERO;
    }
    let steps = (ahead + STEP / 2).as_millis() / STEP.as_millis();
    STEP * u32::try_from(steps).unwrap_or(u32::MAX)
}

/// Both clocks, read one directly after the other.
struct ClockPair {
    monotonic: Instant,
    /// Time since the machine was booted, suspended time included.
    since_boot: Duration,
}

impl ClockPair {
    fn read() -> Self {
        // A system without this clock counts no suspended time: the two clocks then agree.
        let since_boot =
            clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from);
        Self {
            monotonic: Instant::now(),
            since_boot,
        }
    }

    /// By how much the clock since boot went further than the monotonic one since an earlier reading.
    fn ahead_since(&self, earlier: &Self) -> Duration {
        let since_boot = self.since_boot.saturating_sub(earlier.since_boot);
        let monotonic = self.monotonic.saturating_duration_since(earlier.monotonic);
        since_boot.saturating_sub(monotonic)
    }
}
