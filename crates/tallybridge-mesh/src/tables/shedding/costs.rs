//! What requests of one route cost each service, as their answers tell.

use std::{collections::HashMap, sync::Arc};

use crate::tables::SlotTimes;

/// Weight of the newest answer in the mean costs.
const GAIN: f64 = 0.05;
/// Answers after which the services that a route needs are taken as known.
const KNOWN_AFTER: u32 = 4;
/// Least share that is let in of a route of which nothing is known yet. After a start of the whole
/// fleet into an overload, nothing else would show which routes need the full service.
const LEAST_UNKNOWN: f64 = 0.15;
/// A service that a request holds for less than this, in seconds, is not shed for.
const LEAST_COST: f64 = 0.000_5;

/// Mean time, in seconds, for which a request holds slots of each service.
#[derive(Debug, Default)]
pub struct RouteCosts {
    answers: u32,
    seconds: HashMap<Arc<str>, f64>,
}

impl RouteCosts {
    /// Takes in what an answer cost. A failure may have ended before all its calls were made: it
    /// tells something only while nothing better is known. Returns whether this answer made the
    /// services known that the route needs.
    pub fn answered(&mut self, well: bool, times: &SlotTimes) -> bool {
        let was_known = self.is_known();
        if !well && was_known {
            return false;
        }
        self.answers = self.answers.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.answers));
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
        !was_known && self.is_known()
    }

    /// The least share that is let in, to learn what the route costs.
    pub fn least_share(&self) -> f64 {
        if self.is_known() { 0.0 } else { LEAST_UNKNOWN }
    }

    fn is_known(&self) -> bool {
        self.answers >= KNOWN_AFTER
    }

    /// What the route costs each service that it needs; `None` until enough answers told it.
    pub fn known(&self) -> Option<impl Iterator<Item = (&Arc<str>, f64)>> {
        let known = self.is_known().then_some(&self.seconds)?;
        let costs = known.iter().map(|(service, seconds)| (service, *seconds));
        Some(costs.filter(|(_, seconds)| *seconds >= LEAST_COST))
    }
}
