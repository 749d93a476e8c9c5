//! Time that goes on while this machine is suspended.
//!
//! A machine may be suspended for seconds. The steady clock ([`tokio::time::Instant`]) stands still
//! meanwhile, so what is aged by it is taken for younger than it is. Whatever goes on for others (that no
//! key was taken away, deadlines of callers, windows of limits and of repeats, holds) is therefore dated by a
//! [`BootInstant`]. What measures this process's own work (latency, load, the contact on its links) stays on the
//! steady clock. The two are different types, so that they can't be mixed.

use std::{
    ops::{Add, AddAssign},
    sync::{
        LazyLock, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

/// Steps in which suspended time is counted: far above what two clocks that are read one after the other
/// differ by, far below any time that matters.
const STEP: Duration = Duration::from_millis(10);
/// A process whose ticks (100 ms apart) stop for this time was paused: stopped, suspended, or without a
/// processor. What lies unread in its sockets then may be that old.
const PAUSED_FROM: Duration = Duration::from_millis(500);
/// Time after a pause in which what is read counts as having come during it.
const READ_AFTER_PAUSE: Duration = Duration::from_millis(30);

/// A point in time, on a clock that goes on while the machine is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(Instant);

impl BootInstant {
    /// Now.
    #[must_use]
    pub fn now() -> Self {
        Self(Instant::now() + suspended())
    }

    /// When something came that is read from a socket now. After a pause of the process it may have lain
    /// there for as long as that, so it counts as having come when the pause began.
    #[must_use]
    pub fn of_arrival() -> Self {
        let now = Self::now();
        let age = pulse().unread_age(now);
        now.checked_sub(age).unwrap_or(now)
    }

    /// Time since then.
    #[must_use]
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// Time from an earlier moment; zero if it is not earlier.
    #[must_use]
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// A later moment, if there is one.
    #[must_use]
    pub fn checked_add(self, duration: Duration) -> Option<Self> {
        self.0.checked_add(duration).map(Self)
    }

    /// An earlier moment, if there is one.
    #[must_use]
    pub fn checked_sub(self, duration: Duration) -> Option<Self> {
        self.0.checked_sub(duration).map(Self)
    }

    /// The moment for a library that counts on its own. Only differences mean anything.
    #[must_use]
    pub fn into_std(self) -> std::time::Instant {
        self.0.into_std()
    }

    /// The steady clock's time at which it comes, if the machine is not suspended until then.
    #[must_use]
    pub fn if_awake(self) -> Instant {
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

/// The time is up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("time is up")]
pub struct DeadlineElapsed;

/// Runs a future until a moment, also if that passes while the machine is suspended.
///
/// # Errors
///
/// [`DeadlineElapsed`] when the moment comes first; the future is dropped then.
pub async fn timeout_at<F: Future>(
    until: BootInstant,
    future: F,
) -> Result<F::Output, DeadlineElapsed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(until) => Err(DeadlineElapsed),
    }
}

/// Waits for a moment.
pub async fn sleep_until(until: BootInstant) {
    let mut resumed = WAKES.subscribe();
    loop {
        let left = until.saturating_duration_since(BootInstant::now());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = sleep(left) => {}
            _ = resumed.changed() => {}
        }
    }
}

/// Time for which this machine was suspended since the process began.
#[must_use]
pub fn suspended() -> Duration {
    let at_start = &*AT_START;
    let ahead = ClockPair::read().ahead_since(at_start);
    let pretended = Duration::from_millis(PRETENDED_MS.load(Ordering::Relaxed));
    let suspended = in_steps(ahead) + pretended;
    note_wake(suspended);
    suspended
}

fn in_steps(ahead: Duration) -> Duration {
    if ahead < STEP / 2 {
        return Duration::ZERO;
    }
    let steps = (ahead + STEP / 2).as_millis() / STEP.as_millis();
    STEP * u32::try_from(steps).unwrap_or(u32::MAX)
}

/// Moves the clock as if the machine had been suspended. All nodes of the process see it.
#[doc(hidden)]
pub fn pretend_suspension(length: Duration) {
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    PRETENDED_MS.fetch_add(length_ms, Ordering::Relaxed);
    let _ = suspended();
}

/// Pauses of this process: it was stopped, its machine was suspended, or it got no processor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pauses {
    /// How many there were since the process began.
    pub count: u64,
    /// How long the last one was.
    pub last: Duration,
}

/// The process has come round: called by each node at each tick. Gives the pauses so far.
pub fn tick() -> Pauses {
    let now = BootInstant::now();
    pulse().beat(now)
}

static PRETENDED_MS: AtomicU64 = AtomicU64::new(0);
static AT_START: LazyLock<ClockPair> = LazyLock::new(ClockPair::read);
/// Suspended time that those who wait for a moment were told of.
static KNOWN_MS: AtomicU64 = AtomicU64::new(0);
static WAKES: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::Sender::new(0));
static PULSE: Mutex<PauseDetector> = Mutex::new(PauseDetector {
    beat_at: None,
    paused: None,
    pauses: 0,
});

fn pulse() -> std::sync::MutexGuard<'static, PauseDetector> {
    PULSE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The two clocks, read one right after the other.
struct ClockPair {
    steady: std::time::Instant,
    going_on: Duration,
}

impl ClockPair {
    fn read() -> Self {
        // A system without this clock does not suspend, as far as can be told.
        let going_on =
            clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from);
        Self {
            steady: std::time::Instant::now(),
            going_on,
        }
    }

    /// By how much the one that goes on went further since an earlier reading.
    fn ahead_since(&self, earlier: &Self) -> Duration {
        let went = self.going_on.saturating_sub(earlier.going_on);
        went.saturating_sub(self.steady.saturating_duration_since(earlier.steady))
    }
}

fn note_wake(suspended: Duration) {
    let suspended_ms = u64::try_from(suspended.as_millis()).unwrap_or(u64::MAX);
    if suspended_ms <= KNOWN_MS.load(Ordering::Relaxed) {
        return;
    }
    if suspended_ms > KNOWN_MS.fetch_max(suspended_ms, Ordering::Relaxed) {
        WAKES.send_modify(|wakes| *wakes += 1);
    }
}

/// When the process last came round, and how long it did not before.
struct PauseDetector {
    beat_at: Option<BootInstant>,
    paused: Option<Pause>,
    pauses: u64,
}

#[derive(Clone, Copy)]
struct Pause {
    ended_at: BootInstant,
    length: Duration,
}

impl PauseDetector {
    fn beat(&mut self, now: BootInstant) -> Pauses {
        let length = self.silence(now);
        if length >= PAUSED_FROM {
            self.pauses += 1;
            self.paused = Some(Pause {
                ended_at: now,
                length,
            });
        }
        self.beat_at = Some(now);
        Pauses {
            count: self.pauses,
            last: self.paused.map_or(Duration::ZERO, |paused| paused.length),
        }
    }

    fn silence(&self, now: BootInstant) -> Duration {
        let beat_at = self.beat_at.unwrap_or(now);
        now.saturating_duration_since(beat_at)
    }

    /// How long ago what is read now may have come.
    fn unread_age(&self, now: BootInstant) -> Duration {
        let silence = self.silence(now);
        if silence >= PAUSED_FROM {
            return silence;
        }
        let paused = self
            .paused
            .filter(|pause| now.saturating_duration_since(pause.ended_at) < READ_AFTER_PAUSE);
        paused.map_or(Duration::ZERO, |pause| pause.length)
    }
}
