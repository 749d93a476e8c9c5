//! Adapts the share of a back end's slots that is used.
//!
//! A back end may slow down before all of its slots are in use, and a queue then keeps it slow after a
//! surge. If calls take longer under saturation than at low load, lower shares are tried in turn, and the
//! one with the highest throughput is kept. By Little's law, throughput is the share divided by the time
//! of a call. Higher shares are tried from time to time. A back end that is slow at any load gains nothing
//! at a lower share, and keeps its slots. All state is discarded when the back end restarts.

mod low_load;
mod means;
mod schedule;
mod trial;

use std::time::{Duration, Instant};

use self::{
    low_load::LowLoadTimes,
    means::MeanTimesByKind,
    schedule::TrialSchedule,
    trial::{Purpose, Trial, TrialResult},
};

/// Below 1, because back ends hang and corrupt connections when all of their slots are in use.
const MAX_SHARE: f64 = 0.95;
/// Lower shares, in the order in which a scan tries them.
const SCANNED_SHARES: [f64; 5] = [0.87, 0.78, 0.68, 0.58, 0.48];
/// Share of the slots in use up to which a call counts as running at low load.
const MAX_LOW_LOAD_OCCUPANCY: f64 = 0.6;
/// Occupancy, relative to the current share, from which a call counts as running under saturation.
const MIN_SATURATED_FRACTION: f64 = 0.9;
/// Share at which the times at low load are measured if they are unknown.
const LOW_LOAD_CHECK_SHARE: f64 = 0.75;
/// Time of calls under saturation, relative to low load, from which lower shares are tried.
const MIN_SLOWDOWN: f64 = 1.25;
/// Throughput, relative to the baseline, from which a lower share replaces the baseline.
const MIN_THROUGHPUT_RATIO: f64 = 1.08;
/// Difference between the baseline and the higher share that is tried.
const RAISE_STEP: f64 = 0.06;
/// Number of calls in a comparison, enough for a mean time within about 6% of the true one.
const CALLS_PER_WINDOW: u32 = 120;

/// Share of a back end's slots that is used.
#[derive(Debug, Clone)]
pub struct SlotShare {
    /// Share that is used while no trial runs.
    baseline: f64,
    /// Share that is used now.
    current: f64,
    trial: Option<Trial>,
    /// Best result of the running scan.
    best: Option<TrialResult>,
    /// Times under saturation in the current window of calls.
    saturated_times: MeanTimesByKind,
    /// Times under saturation at the baseline, with which trials are compared.
    reference_times: MeanTimesByKind,
    low_load: LowLoadTimes,
    schedule: TrialSchedule,
}

impl Default for SlotShare {
    fn default() -> Self {
        Self {
            baseline: MAX_SHARE,
            current: MAX_SHARE,
            trial: None,
            best: None,
            saturated_times: MeanTimesByKind::default(),
            reference_times: MeanTimesByKind::default(),
            low_load: LowLoadTimes::default(),
            schedule: TrialSchedule::default(),
        }
    }
}

impl SlotShare {
    /// Returns the share of the slots to use now, above 0 and at most 0.95.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.current
    }

    /// Returns the share that is used while no trial runs.
    #[must_use]
    pub const fn baseline(&self) -> f64 {
        self.baseline
    }

    /// Records a call that succeeded without nested calls. `occupancy` is the share of the slots in use
    /// when the call started, and `in_flight` is the number of calls that are still running.
    ///
    /// Returns whether the share to use may have changed.
    pub fn record_call(
        &mut self,
        kind: u16,
        time: Duration,
        occupancy: f64,
        in_flight: u32,
        now: Instant,
    ) -> bool {
        let seconds = time.as_secs_f64();
        if let Some(trial) = &mut self.trial {
            trial.record(kind, seconds);
            return self.finish_trial(in_flight, now);
        }
        if occupancy <= MAX_LOW_LOAD_OCCUPANCY {
            self.low_load.record(kind, seconds, now);
        }
        if occupancy < self.current * MIN_SATURATED_FRACTION {
            return false;
        }
        self.saturated_times.record(kind, seconds);
        if self.saturated_times.count() < CALLS_PER_WINDOW {
            return false;
        }
        self.start_due_trial(in_flight, now)
    }

    /// Ends a trial that has lasted too long because the load is too low, so that a lower share does not
    /// limit later calls. Returns whether there was one.
    pub fn end_expired_trial(&mut self, now: Instant) -> bool {
        let is_expired = self
            .trial
            .as_ref()
            .is_some_and(|trial| trial.is_expired(now));
        if is_expired {
            self.trial = None;
            self.best = None;
            self.current = self.baseline;
        }
        is_expired
    }

    /// Closes the window of calls under saturation, and starts a trial if one is due. Returns whether it
    /// started one.
    fn start_due_trial(&mut self, in_flight: u32, now: Instant) -> bool {
        let saturated_times = std::mem::take(&mut self.saturated_times);
        let Some(purpose) = self.due_trial(&saturated_times, now) else {
            return false;
        };
        self.reference_times = saturated_times;
        self.best = None;
        self.start_trial(purpose, in_flight, now);
        true
    }

    fn due_trial(&self, saturated_times: &MeanTimesByKind, now: Instant) -> Option<Purpose> {
        let low_load_times = self.low_load.recent(now);
        let slowdown = low_load_times.and_then(|times| saturated_times.ratio_to(times));
        let may_scan = self.schedule.may_scan(now);
        match slowdown {
            Some(slowdown) if slowdown >= MIN_SLOWDOWN && may_scan => {
                Some(Purpose::Scan { index: 0 })
            }
            None if may_scan && self.baseline > LOW_LOAD_CHECK_SHARE => Some(Purpose::CheckLowLoad),
            _ if self.schedule.may_raise(now) => Some(Purpose::Raise),
            _ => None,
        }
    }

    fn start_trial(&mut self, purpose: Purpose, in_flight: u32, now: Instant) {
        self.current = match purpose {
            Purpose::CheckLowLoad => LOW_LOAD_CHECK_SHARE.min(self.baseline),
            Purpose::Scan { index } => SCANNED_SHARES[index],
            Purpose::Raise => (self.baseline + RAISE_STEP).min(MAX_SHARE),
        };
        self.trial = Some(Trial::new(purpose, in_flight, now));
    }

    /// Ends the trial if it is complete or expired. Returns whether it ended.
    fn finish_trial(&mut self, in_flight: u32, now: Instant) -> bool {
        let has_ended = |trial: &mut Trial| trial.is_complete() || trial.is_expired(now);
        let Some(trial) = self.trial.take_if(has_ended) else {
            return false;
        };
        let result = self.evaluate(&trial);
        match trial.purpose {
            Purpose::CheckLowLoad => self.finish_check(trial.times, now),
            Purpose::Scan { index } => self.finish_scan_step(index, result, in_flight, now),
            Purpose::Raise => self.finish_raise(result, now),
        }
        true
    }

    /// Returns the result of a trial, or `None` if its calls cannot be compared with the reference.
    fn evaluate(&self, trial: &Trial) -> Option<TrialResult> {
        if !trial.is_complete() {
            return None;
        }
        let time_ratio = trial.times.ratio_to(&self.reference_times)?;
        Some(TrialResult {
            share: self.current,
            throughput: self.current / self.baseline / time_ratio,
        })
    }

    fn finish_check(&mut self, times: MeanTimesByKind, now: Instant) {
        self.current = self.baseline;
        self.low_load = LowLoadTimes::new(times, now);
    }

    /// Continues the scan with the next lower share. Ends it if the throughput fell after a result good
    /// enough to keep, if the share gave no result, or if no lower share remains.
    fn finish_scan_step(
        &mut self,
        index: usize,
        result: Option<TrialResult>,
        in_flight: u32,
        now: Instant,
    ) {
        let previous_best = self.best;
        self.best = TrialResult::best_of(previous_best, result);
        let has_passed_best = previous_best.is_some_and(|best| {
            best.throughput >= MIN_THROUGHPUT_RATIO
                && result.is_none_or(|result| result.throughput < best.throughput)
        });
        let next_index = (index + 1..SCANNED_SHARES.len())
            .find(|next_index| SCANNED_SHARES[*next_index] < self.baseline);
        match next_index {
            Some(index) if result.is_some() && !has_passed_best => {
                self.start_trial(Purpose::Scan { index }, in_flight, now);
            }
            _ => self.finish_scan(now),
        }
    }

    fn finish_scan(&mut self, now: Instant) {
        let best = self.best.take();
        let better = best.filter(|best| best.throughput >= MIN_THROUGHPUT_RATIO);
        match better {
            Some(better) => self.baseline = better.share,
            // The times at low load that led to the scan may be outdated.
            None => self.low_load = LowLoadTimes::default(),
        }
        self.current = self.baseline;
        self.schedule
            .record_scan(better.is_some(), self.baseline < MAX_SHARE, now);
    }

    fn finish_raise(&mut self, result: Option<TrialResult>, now: Instant) {
        let is_better = result.is_some_and(|result| result.throughput > 1.0);
        if is_better {
            self.baseline = self.current;
        }
        self.current = self.baseline;
        self.schedule
            .record_raise(is_better, self.baseline < MAX_SHARE, now);
    }
}
