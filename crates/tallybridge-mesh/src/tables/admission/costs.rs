//! What requests of one route cost each service, as their answers tell.

use std::{collections::HashMap, sync::Arc};

use crate::protocol::SlotTimes;

/// Weight of the newest answer in the mean costs.
const GAIN: f64 = 0.05;
/// Looks in which the weight of earlier answers shrinks to a third: five seconds of them. What was
/// true of a route before, as before its service was changed, is gone after some 25 s with an answer
/// now and then, also where so few requests come or are let in that a mean over answers alone would
/// keep it for minutes.
const FADE_LOOKS: f64 = 50.0;
/// Answers after which the services that a route needs are taken as known.
const KNOWN_AFTER: u32 = 4;
/// Requests without an answer after which none is let in just to learn: where all time out, more
/// of them would only keep the service that is too slow for them busy.
const LEARNED_NOTHING: u32 = 8;
/// Least share that is let in of a route of which nothing is known yet. After a start of the whole
/// fleet into an overload, nothing else would show which routes need the full service.
const LEAST_UNKNOWN: f64 = 0.15;
/// A service that a request holds for less than this, in seconds, is not shed for.
const LEAST_COST: f64 = 0.000_5;

/// Mean time, in seconds, for which a request holds slots of each service.
#[derive(Debug, Default)]
pub struct RouteCosts {
    answers: u32,
    unanswered: u32,
    /// Looks since the last answer that was no failure.
    silent_looks: u32,
    seconds: HashMap<Arc<str>, f64>,
}

impl RouteCosts {
    /// Takes in what an answer cost. Returns whether this answer made the services known that the
    /// route needs.
    pub fn answered(&mut self, well: bool, times: &SlotTimes) -> bool {
        let was_known = self.is_known();
        self.answers = self.answers.saturating_add(1);
        if well {
            self.learn(times);
        } else {
            self.raise(times);
        }
        !was_known && self.is_known()
    }

    /// A request ended without an answer that could tell what it cost.
    pub const fn unanswered(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Time goes on by one look.
    pub const fn look(&mut self) {
        self.silent_looks = self.silent_looks.saturating_add(1);
    }

    /// The least share that is let in, to learn what the route costs.
    pub fn least_share(&self) -> f64 {
        if self.is_known() || self.unanswered >= LEARNED_NOTHING {
            return 0.0;
        }
        LEAST_UNKNOWN
    }

    /// What the route costs each service that it needs; `None` until enough answers told it.
    pub fn known(&self) -> Option<impl Iterator<Item = (&Arc<str>, f64)>> {
        let known = self.is_known().then_some(&self.seconds)?;
        let costs = known.iter().map(|(service, seconds)| (service, *seconds));
        Some(costs.filter(|(_, seconds)| *seconds >= LEAST_COST))
    }

    const fn is_known(&self) -> bool {
        self.answers >= KNOWN_AFTER
    }

    /// A whole request tells what each service costs it, also that it does not need one.
    fn learn(&mut self, times: &SlotTimes) {
        let faded = 1.0 - (-f64::from(self.silent_looks) / FADE_LOOKS).exp();
        let gain = GAIN.max(1.0 / f64::from(self.answers)).max(faded);
        self.silent_looks = 0;
        for (service, seconds) in &mut self.seconds {
            *seconds += (times.of(service).as_secs_f64() - *seconds) * gain;
        }
        for time in times.iter() {
            if !self.seconds.contains_key(&time.service) {
                let seconds = time.held.as_secs_f64() * gain;
                self.seconds.insert(time.service.clone(), seconds);
            }
        }
        self.seconds
            .retain(|_, seconds| *seconds > LEAST_COST / 8.0);
    }

    /// A failure may have ended before all its calls were made: what it cost is the least that the
    /// route costs. It counts however much is known, or a route that fails for a service of which
    /// no answer told would be let in whole for as long as that service is full.
    fn raise(&mut self, times: &SlotTimes) {
        for time in times.iter() {
            let least = time.held.as_secs_f64();
            let seconds = self.seconds.entry(time.service.clone()).or_insert(least);
            *seconds += (least - *seconds).max(0.0) * GAIN;
        }
    }
}
