//! Estimates how many slot seconds a request of one route costs each service.
//!
//! A successful answer moves the mean cost of each service towards the reported cost, down to zero
//! if the answer does not name the service. A failure can only raise a mean, because a request may
//! fail before all its calls are made: lower means would admit all requests of a route that fails
//! because a deep service is overloaded.
//!
//! The costs come from the [`SlotTimes`] of each answer, nested calls included. Until
//! [`MIN_ANSWERS`] answers have arrived, [`RouteCosts::known_costs`] is `None` and
//! [`RouteCosts::min_share`] admits a small share of requests, so that the costs can be learned.

use std::{collections::HashMap, sync::Arc};

use crate::protocol::SlotTimes;

/// Minimum weight of the newest answer in a mean.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;
/// Time constant, in ticks of 100 ms without a successful answer, with which older answers lose
/// their weight. The decay makes a route with little traffic forget a service that it no longer
/// needs.
const COST_DECAY_TICKS: f64 = 50.0;
/// Number of answers after which the costs of a route count as known.
const MIN_ANSWERS: u32 = 4;
/// Number of unanswered requests after which the entry stops admitting requests to learn their
/// costs. Where all requests time out, more of them would only add load to the slow service.
const MAX_UNANSWERED: u32 = 8;
/// Minimum share admitted of a route with unknown costs. If all nodes start during an overload,
/// only these requests show which routes need the overloaded service.
const UNKNOWN_ROUTE_SHARE: f64 = 0.15;
/// Mean cost below which a route does not count as needing a service.
const MIN_COST_SECONDS: f64 = 0.000_5;
/// Mean cost below which a service is removed from the costs of a route.
const FORGET_BELOW_SECONDS: f64 = MIN_COST_SECONDS / 8.0;

/// Mean time, in seconds, for which a request of one route holds slots of each service.
#[derive(Debug, Default)]
pub(super) struct RouteCosts {
    answers: u32,
    unanswered: u32,
    ticks_since_success: u32,
    mean_seconds: HashMap<Arc<str>, f64>,
}

impl RouteCosts {
    /// Records the cost of an answer; `succeeded` is false for a failure of a back end. Returns
    /// whether this answer made the costs known.
    pub(super) fn record_answer(&mut self, succeeded: bool, times: &SlotTimes) -> bool {
        let was_known = self.is_known();
        self.answers = self.answers.saturating_add(1);
        if succeeded {
            self.update_means(times);
        } else {
            self.raise_means(times);
        }
        !was_known && self.is_known()
    }

    /// Records a request that ended without reporting its cost.
    pub(super) const fn record_unanswered(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    pub(super) const fn tick(&mut self) {
        self.ticks_since_success = self.ticks_since_success.saturating_add(1);
    }

    /// Returns the minimum share of requests, 0 to 1, to admit in order to learn the costs.
    pub(super) fn min_share(&self) -> f64 {
        if self.is_known() || self.unanswered >= MAX_UNANSWERED {
            return 0.0;
        }
        UNKNOWN_ROUTE_SHARE
    }

    /// Returns the services that the route needs and its cost there in seconds, or `None` while the
    /// costs are unknown.
    pub(super) fn known_costs(&self) -> Option<impl Iterator<Item = (&Arc<str>, f64)>> {
        let means = self.is_known().then_some(&self.mean_seconds)?;
        let costs = means.iter().map(|(service, seconds)| (service, *seconds));
        Some(costs.filter(|(_, seconds)| *seconds >= MIN_COST_SECONDS))
    }

    const fn is_known(&self) -> bool {
        self.answers >= MIN_ANSWERS
    }

    fn update_means(&mut self, times: &SlotTimes) {
        let weight = self.sample_weight();
        self.ticks_since_success = 0;
        for (service, seconds) in &mut self.mean_seconds {
            *seconds += (times.get(service).as_secs_f64() - *seconds) * weight;
        }
        for time in times.iter() {
            if !self.mean_seconds.contains_key(&time.service) {
                let seconds = time.held.as_secs_f64() * weight;
                self.mean_seconds.insert(time.service.clone(), seconds);
            }
        }
        self.mean_seconds
            .retain(|_, seconds| *seconds > FORGET_BELOW_SECONDS);
    }

    /// Returns the weight, 0 to 1, of a successful answer that arrives in this tick.
    fn sample_weight(&self) -> f64 {
        let decayed = 1.0 - (-f64::from(self.ticks_since_success) / COST_DECAY_TICKS).exp();
        MIN_SAMPLE_WEIGHT
            .max(1.0 / f64::from(self.answers))
            .max(decayed)
    }

    /// Raises the means to the reported costs. This also applies to a route with known costs;
    /// otherwise a route that fails because of a service missing from its means would be admitted
    /// in full.
    fn raise_means(&mut self, times: &SlotTimes) {
        for time in times.iter() {
            let reported_seconds = time.held.as_secs_f64();
            let seconds = self
                .mean_seconds
                .entry(time.service.clone())
                .or_insert(reported_seconds);
            *seconds += (reported_seconds - *seconds).max(0.0) * MIN_SAMPLE_WEIGHT;
        }
    }
}
