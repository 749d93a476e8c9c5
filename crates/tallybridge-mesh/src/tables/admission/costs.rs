//! What requests of one route cost each service, learned from their answers.
//!
//! **Rule.** A complete answer moves the mean cost of each service towards what it reports, also
//! down to nothing; a failure can only raise it, as it may have ended before all its calls were made.
//!
//! **Inputs.** [`SlotTimes`] of each answer, in seconds of slots by service, nested calls included.
//!
//! **Output.** [`RouteCosts::known`], once [`KNOWN_AFTER`] answers have come, and until then
//! [`RouteCosts::least_share`], the share that is admitted in order to learn.
//!
//! **Why.** A route is shed only for services that its requests use. When failures could also lower
//! costs, a loss of all nodes into an overload taught entries that a route needs nothing but its own
//! service, and all its requests were admitted for as long as the deep service stayed full.

use std::{collections::HashMap, sync::Arc};

use crate::protocol::SlotTimes;

/// Least weight of the newest answer in a mean. Origin not recorded.
const GAIN: f64 = 0.05;
/// Ticks of 100 ms without a complete answer in which the weight of earlier ones falls to a third:
/// 5 s. What a route needed before its service changed is gone after some 25 s with an answer now and
/// then; a mean over answers alone would keep it for minutes where few requests come.
const FADE_TICKS: f64 = 50.0;
/// Answers after which the services that a route needs count as known. Origin of the figure not
/// recorded; an unknown route counts as needing all that can be reached from its service.
const KNOWN_AFTER: u32 = 4;
/// Requests without an answer after which none is admitted just to learn: where all time out, more
/// would only keep the service that is too slow for them busy. Origin of the figure not recorded.
const LEARNING_LIMIT: u32 = 8;
/// Least share admitted of a route whose costs are unknown. After a start of all nodes into an
/// overload nothing else would show which routes need the full service. Origin of the figure not
/// recorded.
const LEAST_UNKNOWN: f64 = 0.15;
/// Cost in seconds below which a service does not count as needed. Origin not recorded.
const LEAST_COST: f64 = 0.000_5;
/// Mean cost in seconds at which a service leaves the table. Origin not recorded.
const FORGOTTEN_COST: f64 = LEAST_COST / 8.0;

/// Mean time, in seconds, for which a request of one route holds slots of each service.
#[derive(Debug, Default)]
pub(super) struct RouteCosts {
    answers: u32,
    unanswered: u32,
    ticks_since_complete: u32,
    seconds: HashMap<Arc<str>, f64>,
}

impl RouteCosts {
    /// Takes in what an answer cost; `complete` is false for a failure of a back end. Returns whether
    /// the services that the route needs became known by it.
    pub(super) fn answered(&mut self, complete: bool, times: &SlotTimes) -> bool {
        let was_known = self.is_known();
        self.answers = self.answers.saturating_add(1);
        if complete {
            self.learn(times);
        } else {
            self.raise(times);
        }
        !was_known && self.is_known()
    }

    /// A request ended without an answer that reports what it cost.
    pub(super) const fn unanswered(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Counts a tick.
    pub(super) const fn tick(&mut self) {
        self.ticks_since_complete = self.ticks_since_complete.saturating_add(1);
    }

    /// The least share, 0 to 1, that is admitted to learn what the route costs.
    pub(super) fn least_share(&self) -> f64 {
        if self.is_known() || self.unanswered >= LEARNING_LIMIT {
            return 0.0;
        }
        LEAST_UNKNOWN
    }

    /// The services that the route needs, with its cost there in seconds; `None` while unknown.
    pub(super) fn known(&self) -> Option<impl Iterator<Item = (&Arc<str>, f64)>> {
        let known = self.is_known().then_some(&self.seconds)?;
        let costs = known.iter().map(|(service, seconds)| (service, *seconds));
        Some(costs.filter(|(_, seconds)| *seconds >= LEAST_COST))
    }

    const fn is_known(&self) -> bool {
        self.answers >= KNOWN_AFTER
    }

    fn learn(&mut self, times: &SlotTimes) {
        let gain = self.gain();
        self.ticks_since_complete = 0;
        for (service, seconds) in &mut self.seconds {
            *seconds += (times.of(service).as_secs_f64() - *seconds) * gain;
        }
        for time in times.iter() {
            if !self.seconds.contains_key(&time.service) {
                let seconds = time.held.as_secs_f64() * gain;
                self.seconds.insert(time.service.clone(), seconds);
            }
        }
        self.seconds.retain(|_, seconds| *seconds > FORGOTTEN_COST);
    }

    /// Weight of a complete answer that comes now, 0 to 1.
    fn gain(&self) -> f64 {
        let faded = 1.0 - (-f64::from(self.ticks_since_complete) / FADE_TICKS).exp();
        GAIN.max(1.0 / f64::from(self.answers)).max(faded)
    }

    /// Applies also once costs are known: otherwise a route that fails for a service that no answer
    /// has named would be admitted in full for as long as that service has no room.
    fn raise(&mut self, times: &SlotTimes) {
        for time in times.iter() {
            let least = time.held.as_secs_f64();
            let seconds = self.seconds.entry(time.service.clone()).or_insert(least);
            *seconds += (least - *seconds).max(0.0) * GAIN;
        }
    }
}
