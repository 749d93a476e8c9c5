//! Which share of a back end's slots is worth using.
//!
//! **Rule.** `MOST` of the slots are used, unless calls take `SLOWED` times as long under saturation
//! as at low load: then lower shares are tried one after the other, and the one with the greatest
//! throughput (share over time, by Little's law) is used if it beats the one before by `WORTH_LESS`.
//! From there higher shares are tried now and then.
//!
//! **Inputs.** Each call that ended well and made no calls of its own: its kind, its time in seconds and
//! the share of the slots that was taken while it ran. Nothing is older than the start of the back end;
//! times at low load count for 30 s (`low_load.rs`).
//!
//! **Output.** [`SlotShare::share`], 0 to 1, used from the next call on.
//!
//! **Why.** A back end may slow down before all its slots are taken. With calls that take 1.6 times as
//! long from 85% on, the last tenth of the slots costs a third of the throughput, and the queue that a
//! surge builds up keeps the back end there when the surge is over. A back end that became slow at every
//! load shows no gain at a lower share, and keeps all of them.
//!
//! **Measured and not better.** A smaller fixed share of 82%: better than trials where back ends
//! slow down from 85% on (0.411 beside 0.365 of the value of the requests of a recorded day), and
//! 0.482 to 0.415 and 0.742 to 0.640 where they don't. The adaptive limit of the standalone
//! program: its probe by a quarter sees no gain where the best share lies further down
//! ([DESIGN.md](../../../../../../docs/DESIGN.md), "Ways weighed").
//!
//! **Constants.** They were measured together, against a fixed 95%: 0.254 to 0.365 and 0.158 to
//! 0.321 of the value of the requests of a recorded day where back ends slow down by 1.6 from 85%
//! or by 2.5 from 60% of their slots on, and within noise where they don't
//! ([MEASUREMENTS.md](../../../../../../docs/MEASUREMENTS.md), "Slots"). No trial of a single
//! constant is recorded.

mod low_load;
mod means;
mod schedule;
mod trial;

use std::time::{Duration, Instant};

use self::{
    low_load::LowLoad,
    means::KindMeans,
    schedule::Schedule,
    trial::{Gain, Purpose, Trial},
};

/// Share that is used unless less is found to be better: back ends hang and spoil connections when all
/// of their slots are taken. Origin of the figure not recorded.
const MOST: f64 = 0.95;
/// Lower shares that are tried one after the other. Origin not recorded.
const SCANNED: [f64; 5] = [0.87, 0.78, 0.68, 0.58, 0.48];
/// Share of the slots taken up to which a call counts as running at low load. Origin not recorded.
const LOW: f64 = 0.6;
/// Part of the share in use from which a call counts as running under saturation. Origin not recorded.
const SATURATED: f64 = 0.9;
/// Share that is tried to learn how long calls take at lower load, where that is unknown. Origin not
/// recorded.
const CHECKED: f64 = 0.75;
/// How many times as long calls must take under saturation before lower shares are tried. Origin not
/// recorded.
const SLOWED: f64 = 1.25;
/// Throughput, as a multiple of the one before, for which a lower share is kept. Origin not recorded.
const WORTH_LESS: f64 = 1.08;
/// What is added to the share when a higher one is tried. Origin not recorded.
const RAISE: f64 = 0.06;
/// Calls that are compared: their mean then lies within some 6 in 100 of the true one.
const WINDOW: u32 = 120;

/// The share of a back end's slots that is used.
#[derive(Debug, Clone)]
pub struct SlotShare {
    /// Share that is used when none is being tried.
    kept: f64,
    /// Share that is used now.
    current: f64,
    trial: Option<Trial>,
    /// The best share of the scan under way.
    best: Option<Gain>,
    /// Times under saturation since the last window of calls.
    saturated: KindMeans,
    /// Times under saturation that a trial is compared with.
    reference: KindMeans,
    low: LowLoad,
    schedule: Schedule,
}

impl Default for SlotShare {
    fn default() -> Self {
        Self {
            kept: MOST,
            current: MOST,
            trial: None,
            best: None,
            saturated: KindMeans::default(),
            reference: KindMeans::default(),
            low: LowLoad::default(),
            schedule: Schedule::default(),
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

    /// Takes in a call that ended well and made no calls of its own. `occupancy` is the share of the
    /// slots that was taken while it ran, `in_flight` the calls that run on after it.
    ///
    /// Returns whether the share to use may have changed.
    pub fn ended(
        &mut self,
        kind: u16,
        took: Duration,
        occupancy: f64,
        in_flight: u32,
        now: Instant,
    ) -> bool {
        let seconds = took.as_secs_f64();
        if let Some(trial) = &mut self.trial {
            trial.record(kind, seconds);
            return self.conclude(in_flight, now);
        }
        if occupancy <= LOW {
            self.low.add(kind, seconds, now);
        }
        if occupancy < self.current * SATURATED {
            return false;
        }
        self.saturated.add(kind, seconds);
        if self.saturated.count() < WINDOW {
            return false;
        }
        self.judge_saturation(in_flight, now)
    }

    /// Ends a trial that load no longer fills, so that it holds nobody back. Returns whether there was
    /// one.
    pub fn end_stale_trial(&mut self, now: Instant) -> bool {
        let is_stale = self.trial.as_ref().is_some_and(|trial| trial.is_stale(now));
        if is_stale {
            self.trial = None;
            self.best = None;
            self.current = self.kept;
        }
        is_stale
    }

    /// Begins a trial after a window of calls under saturation, if one is due.
    fn judge_saturation(&mut self, in_flight: u32, now: Instant) -> bool {
        let saturated = std::mem::take(&mut self.saturated);
        let Some(purpose) = self.due_trial(&saturated, now) else {
            return false;
        };
        self.reference = saturated;
        self.best = None;
        self.begin(purpose, in_flight, now);
        true
    }

    fn due_trial(&self, saturated: &KindMeans, now: Instant) -> Option<Purpose> {
        let low = self.low.known(now);
        let slowed = low.and_then(|low| saturated.relative_to(low));
        let may_scan = self.schedule.may_scan(now);
        match slowed {
            Some(slowed) if slowed >= SLOWED && may_scan => Some(Purpose::Scan { place: 0 }),
            None if may_scan && self.kept > CHECKED => Some(Purpose::Check),
            _ if self.schedule.may_raise(now) => Some(Purpose::Raise),
            _ => None,
        }
    }

    fn begin(&mut self, purpose: Purpose, in_flight: u32, now: Instant) {
        self.current = match purpose {
            Purpose::Check => CHECKED.min(self.kept),
            Purpose::Scan { place } => SCANNED[place],
            Purpose::Raise => (self.kept + RAISE).min(MOST),
        };
        self.trial = Some(Trial::new(purpose, in_flight, now));
    }

    /// Ends the trial if it has seen enough calls or lasted too long; returns whether it has.
    fn conclude(&mut self, in_flight: u32, now: Instant) -> bool {
        let is_over = |trial: &mut Trial| trial.is_complete() || trial.is_stale(now);
        let Some(trial) = self.trial.take_if(is_over) else {
            return false;
        };
        let gain = self.gain_of(&trial);
        match trial.purpose {
            Purpose::Check => self.finish_check(trial.times, now),
            Purpose::Scan { place } => self.finish_scanned(place, gain, in_flight, now),
            Purpose::Raise => self.finish_raise(gain, now),
        }
        true
    }

    /// What a trial gained; `None` if its calls can't be compared with those before.
    fn gain_of(&self, trial: &Trial) -> Option<Gain> {
        if !trial.is_complete() {
            return None;
        }
        let slower = trial.times.relative_to(&self.reference)?;
        Some(Gain {
            share: self.current,
            throughput: self.current / self.kept / slower,
        })
    }

    fn finish_check(&mut self, times: KindMeans, now: Instant) {
        self.current = self.kept;
        self.low = LowLoad::measured(times, now);
    }

    /// Goes on to the next lower share, until throughput falls again or a share can't be compared.
    fn finish_scanned(&mut self, place: usize, gain: Option<Gain>, in_flight: u32, now: Instant) {
        let before = self.best;
        self.best = Gain::better(before, gain);
        let has_passed_best = before.is_some_and(|before| {
            before.throughput >= WORTH_LESS
                && gain.is_none_or(|gain| gain.throughput < before.throughput)
        });
        let next = (place + 1..SCANNED.len()).find(|next| SCANNED[*next] < self.kept);
        match next {
            Some(place) if gain.is_some() && !has_passed_best => {
                self.begin(Purpose::Scan { place }, in_flight, now);
            }
            _ => self.finish_scan(now),
        }
    }

    fn finish_scan(&mut self, now: Instant) {
        let best = self.best.take();
        let better = best.filter(|best| best.throughput >= WORTH_LESS);
        match better {
            Some(better) => self.kept = better.share,
            // What is known of low load may be out of date.
            None => self.low = LowLoad::default(),
        }
        self.current = self.kept;
        self.schedule
            .scanned(better.is_some(), self.kept < MOST, now);
    }

    fn finish_raise(&mut self, gain: Option<Gain>, now: Instant) {
        let is_better = gain.is_some_and(|gain| gain.throughput > 1.0);
        if is_better {
            self.kept = self.current;
        }
        self.current = self.kept;
        self.schedule.raised(is_better, self.kept < MOST, now);
    }
}
