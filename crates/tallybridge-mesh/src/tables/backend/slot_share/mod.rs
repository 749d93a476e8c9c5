//! Which share of a back end's slots is worth using.
//!
//! A back end that tells its slots may slow down before they are all taken: with calls that take
//! 1.6 times as long from 85% on, the last tenth of the slots costs a third of the throughput, and
//! the queue that builds up keeps the back end there when the surge is over. So under saturation
//! the times of calls are compared with those at lower load. Where they are much longer, lower
//! shares are tried one after the other, and the one with the greatest throughput (share over time,
//! by Little's law) is kept; from there higher ones are tried now and then. A back end that became
//! slow at every load shows no gain at a lower share, and all its slots are used again.

mod means;

use std::time::{Duration, Instant};

use self::means::KindMeans;

/// Share of the slots that is used unless less is found to be better.
const MOST: f64 = 0.95;
/// Shares that are tried one after the other.
const TRIED: [f64; 5] = [0.87, 0.78, 0.68, 0.58, 0.48];
/// Share up to which calls count as running at low load.
const LOW: f64 = 0.6;
/// Share that is tried for a moment where nothing is known of lower load.
const CHECKED: f64 = 0.75;
/// How many times as long calls must take under saturation before lower shares are tried.
const SLOWED: f64 = 1.25;
/// Throughput, as a multiple of the one before, for which a lower share is kept.
const WORTH_LESS: f64 = 1.08;
/// What is added to the share when a higher one is tried.
const RAISE: f64 = 0.06;
/// Calls that are compared: their mean then lies within some 6 in 100 of the true one.
const WINDOW: u32 = 120;
/// A trial that lasts longer than this is given up: load is too low to compare.
const TRIAL_LIMIT: Duration = Duration::from_millis(1500);
/// What is known of low load is forgotten after this time.
const LOW_KNOWN: Duration = Duration::from_secs(30);
/// Least time between two rounds of trials that brought nothing; it doubles each time.
const SCAN_PAUSE: Duration = Duration::from_secs(12);
const SCAN_PAUSE_MAX: Duration = Duration::from_secs(60);
/// Time between trials of a higher share.
const RAISE_PAUSE: Duration = Duration::from_secs(4);

/// What is being tried.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Purpose {
    /// To learn how long calls take at lower load.
    Check,
    /// To find a better share among [`TRIED`], this one by its place.
    Scan { place: usize },
    /// To use more again.
    Raise,
}

/// A share that is tried for a moment.
#[derive(Debug, Clone)]
struct Trial {
    purpose: Purpose,
    began: Instant,
    /// Calls that began before the trial.
    settling: u32,
    times: KindMeans,
}

/// A share and its throughput as a multiple of the one in use before.
#[derive(Debug, Clone, Copy)]
struct Gain {
    share: f64,
    gain: f64,
}

/// The share of a back end's slots that is used.
#[derive(Debug, Clone)]
pub struct SlotShare {
    kept: f64,
    current: f64,
    saturated: KindMeans,
    low: KindMeans,
    low_at: Option<Instant>,
    /// Times under saturation that a trial is compared with.
    reference: KindMeans,
    trial: Option<Trial>,
    best: Option<Gain>,
    scan_at: Option<Instant>,
    scan_pause: Duration,
    raise_at: Option<Instant>,
}

impl Default for SlotShare {
    fn default() -> Self {
        Self {
            kept: MOST,
            current: MOST,
            saturated: KindMeans::default(),
            low: KindMeans::default(),
            low_at: None,
            reference: KindMeans::default(),
            trial: None,
            best: None,
            scan_at: None,
            scan_pause: SCAN_PAUSE,
            raise_at: None,
        }
    }
}

impl SlotShare {
    /// The share of the slots to use now, above 0 and at most 0.95.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.current
    }

    /// The share that is used when none is being tried.
    #[must_use]
    pub const fn kept(&self) -> f64 {
        self.kept
    }

    /// Whether a share is being tried.
    #[must_use]
    pub const fn is_trying(&self) -> bool {
        self.trial.is_some()
    }

    /// Takes in a call that ended well and made no calls of its own. `load` is the share of the
    /// slots that was taken while it ran, `in_flight` the calls that run on after it.
    ///
    /// Returns whether the share to use may have changed.
    pub fn ended(
        &mut self,
        kind: u16,
        took: Duration,
        load: f64,
        in_flight: u32,
        now: Instant,
    ) -> bool {
        let seconds = took.as_secs_f64();
        if let Some(trial) = &mut self.trial {
            if trial.settling > 0 {
                trial.settling -= 1;
            } else {
                trial.times.add(kind, seconds);
            }
            return self.conclude(in_flight, now);
        }
        if load <= LOW {
            self.low.add(kind, seconds);
            self.low_at = Some(now);
        }
        if load < self.current * 0.9 {
            return false;
        }
        self.saturated.add(kind, seconds);
        if self.saturated.count() < WINDOW {
            return false;
        }
        let saturated = std::mem::take(&mut self.saturated);
        self.judge_saturation(saturated, in_flight, now)
    }

    /// Decides what to try after a window of calls under saturation.
    fn judge_saturation(&mut self, saturated: KindMeans, in_flight: u32, now: Instant) -> bool {
        let is_low_known = self
            .low_at
            .is_some_and(|at| now.saturating_duration_since(at) < LOW_KNOWN);
        let slowed = is_low_known.then(|| saturated.relative_to(&self.low));
        let may_scan = self.scan_at.is_none_or(|at| now >= at);
        let purpose = match slowed.flatten() {
            Some(slowed) if slowed >= SLOWED && may_scan => Purpose::Scan { place: 0 },
            None if may_scan && self.kept > CHECKED => Purpose::Check,
            _ if self.raise_at.is_some_and(|at| now >= at) => Purpose::Raise,
            _ => return false,
        };
        self.reference = saturated;
        self.best = None;
        self.begin(purpose, in_flight, now);
        true
    }

    fn begin(&mut self, purpose: Purpose, in_flight: u32, now: Instant) {
        self.current = match purpose {
            Purpose::Check => CHECKED.min(self.kept),
            Purpose::Scan { place } => TRIED[place],
            Purpose::Raise => (self.kept + RAISE).min(MOST),
        };
        self.trial = Some(Trial {
            purpose,
            began: now,
            settling: in_flight,
            times: KindMeans::default(),
        });
    }

    /// Ends a trial that has seen enough.
    fn conclude(&mut self, in_flight: u32, now: Instant) -> bool {
        let Some(trial) = &self.trial else {
            return false;
        };
        let lasted = now.saturating_duration_since(trial.began);
        if trial.times.count() < WINDOW && lasted < TRIAL_LIMIT {
            return false;
        }
        let Some(trial) = self.trial.take() else {
            return false;
        };
        let gain = if trial.times.count() < WINDOW {
            None
        } else {
            self.gain_of(&trial)
        };
        match (trial.purpose, gain) {
            (Purpose::Check, _) => self.checked(trial.times, now),
            (Purpose::Scan { place }, gain) => self.scanned(place, gain, in_flight, now),
            (Purpose::Raise, gain) => self.raised(gain, now),
        }
        true
    }

    /// Throughput during a trial as a multiple of the one before.
    fn gain_of(&self, trial: &Trial) -> Option<Gain> {
        let slower = trial.times.relative_to(&self.reference)?;
        Some(Gain {
            share: self.current,
            gain: self.current / self.kept / slower,
        })
    }

    fn checked(&mut self, times: KindMeans, now: Instant) {
        self.current = self.kept;
        self.low = times;
        self.low_at = Some(now);
    }

    fn scanned(&mut self, place: usize, gain: Option<Gain>, in_flight: u32, now: Instant) {
        let before = self.best;
        self.best = better(before, gain);
        let has_passed_best = before.is_some_and(|before| {
            before.gain >= WORTH_LESS && gain.is_none_or(|gain| gain.gain < before.gain)
        });
        let next = TRIED
            .iter()
            .skip(place + 1)
            .position(|share| *share < self.kept);
        match next {
            Some(skipped) if gain.is_some() && !has_passed_best => {
                let place = place + 1 + skipped;
                self.begin(Purpose::Scan { place }, in_flight, now);
            }
            _ => self.end_scan(now),
        }
    }

    fn end_scan(&mut self, now: Instant) {
        match self.best.take() {
            Some(best) if best.gain >= WORTH_LESS => {
                self.kept = best.share;
                self.scan_pause = SCAN_PAUSE;
            }
            _ => {
                // What was known of low load is of another time.
                self.low = KindMeans::default();
                self.low_at = None;
                self.scan_pause = (self.scan_pause * 2).min(SCAN_PAUSE_MAX);
            }
        }
        self.current = self.kept;
        self.scan_at = Some(now + self.scan_pause);
        self.raise_at = (self.kept < MOST).then(|| now + RAISE_PAUSE);
    }

    fn raised(&mut self, gain: Option<Gain>, now: Instant) {
        let is_better = gain.is_some_and(|gain| gain.gain > 1.0);
        if is_better {
            self.kept = self.current;
        }
        self.current = self.kept;
        let pause = if is_better {
            Duration::ZERO
        } else {
            RAISE_PAUSE
        };
        self.raise_at = (self.kept < MOST).then(|| now + pause);
    }

    /// Another instance has the place of the one that was watched.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Gives up a trial that load no longer fills, so that it holds nobody back.
    pub fn is_idle(&mut self, now: Instant) -> bool {
        let is_stale = self
            .trial
            .as_ref()
            .is_some_and(|trial| now.saturating_duration_since(trial.began) >= TRIAL_LIMIT);
        if is_stale {
            self.trial = None;
            self.best = None;
            self.current = self.kept;
        }
        is_stale
    }
}

fn better(left: Option<Gain>, right: Option<Gain>) -> Option<Gain> {
    match (left, right) {
        (Some(left), Some(right)) if right.gain > left.gain => Some(right),
        (None, right) => right,
        (left, _) => left,
    }
}
