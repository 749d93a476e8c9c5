//! One row of a service's table: an endpoint and everything observed of it.

use std::time::{Duration, Instant};

use tallybridge_core::LoadReport;

use super::{
    Endpoint, EndpointState, EndpointStatus, Proximity,
    health::Health,
    latency::{Baseline, LatencyEstimate},
    load::ReportedLoad,
    outstanding::Outstanding,
    unserved::UnservedShare,
};
use crate::{AttemptResult, RoutingSettings, table::profile::ServiceProfile};

/// An endpoint and everything observed of it.
#[derive(Debug, Clone)]
pub struct EndpointRow {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// How near it is.
    pub proximity: Proximity,
    /// Whether membership still has it.
    pub is_member: bool,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Whether it gets traffic by what was observed.
    pub health: Health,
    /// Attempts in flight.
    pub outstanding: Outstanding,
    /// Latest load report.
    pub load: Option<ReportedLoad>,
    /// Smoothed latency.
    pub latency: Option<LatencyEstimate>,
    /// Share of attempts refused or failed.
    pub unserved: UnservedShare,
    /// Latest start among the answered attempts.
    pub(super) answered_start: Option<Instant>,
}

impl EndpointRow {
    /// A row for an endpoint that has just appeared.
    #[must_use]
    pub fn new(
        endpoint: Endpoint,
        proximity: Proximity,
        settings: &RoutingSettings,
        now: Instant,
    ) -> Self {
        Self {
            endpoint,
            proximity,
            is_member: true,
            is_leaving: false,
            health: Health::cold(settings, now),
            outstanding: Outstanding::default(),
            load: None,
            latency: None,
            unserved: UnservedShare::new(now),
            answered_start: None,
        }
    }

    /// Whether the endpoint may be given new work at all.
    #[must_use]
    pub fn takes_new_work(&self) -> bool {
        self.is_member && !self.is_leaving
    }

    /// Whether enough answers came for its latency to say something.
    #[must_use]
    pub fn has_settled_latency(&self) -> bool {
        self.latency.is_some_and(|latency| latency.is_settled())
    }

    /// Whether the row can be dropped.
    #[must_use]
    pub fn is_done(&self) -> bool {
        !self.is_member && self.outstanding.is_empty()
    }

    /// Takes in how an attempt ended.
    pub fn finish(
        &mut self,
        result: AttemptResult,
        profile: &ServiceProfile,
        settings: &RoutingSettings,
        now: Instant,
    ) {
        match result {
            AttemptResult::Answered { latency, load } => {
                self.answered(latency, profile, settings, now);
                self.report(load, now);
            }
            AttemptResult::RefusedNotRun { load } => self.refused(load, settings, now),
            AttemptResult::Failed => self.failed(settings, now),
            AttemptResult::Cancelled => self.cancelled(profile, settings, now),
        }
    }

    fn answered(
        &mut self,
        latency: Duration,
        profile: &ServiceProfile,
        settings: &RoutingSettings,
        now: Instant,
    ) {
        let Some(start) = self.outstanding.finish_after(latency, now) else {
            return;
        };
        self.answered_start = self.answered_start.max(Some(start));
        self.unserved.record(true, settings.unserved_half_life, now);
        self.record_latency(latency, profile, settings, now);
        let is_overdue = profile
            .overdue_after(settings)
            .is_some_and(|limit| latency > limit);
        if !self.is_judged_by(start) {
            return;
        }
        let is_slow_probe =
            self.health.probing_since().is_some() && profile.is_slow_for_probe(latency, settings);
        if is_overdue || is_slow_probe {
            self.health.failed();
        } else {
            self.health.answered(settings, now);
        }
    }

    fn record_latency(
        &mut self,
        latency: Duration,
        profile: &ServiceProfile,
        settings: &RoutingSettings,
        now: Instant,
    ) {
        let baseline = self.baseline(profile, settings);
        let greatest = profile
            .overdue_after(settings)
            .map_or(f64::INFINITY, |overdue| overdue.as_secs_f64());
        match &mut self.latency {
            Some(estimate) => estimate.record(latency, greatest, baseline, now),
            None => self.latency = Some(LatencyEstimate::new(latency, now)),
        }
    }

    fn baseline(&self, profile: &ServiceProfile, settings: &RoutingSettings) -> Baseline {
        Baseline {
            typical: profile.typical_latency.unwrap_or(f64::INFINITY),
            decay: settings.latency_decay,
        }
    }

    fn report(&mut self, load: LoadReport, now: Instant) {
        self.is_leaving |= load.leaving;
        self.load = Some(ReportedLoad::new(load, self.outstanding.len(), now));
    }

    fn refused(&mut self, load: Option<LoadReport>, settings: &RoutingSettings, now: Instant) {
        self.outstanding.finish_oldest();
        self.unserved
            .record(false, settings.unserved_half_life, now);
        if let Some(load) = load {
            self.report(load, now);
        }
        let has_room = load.is_none_or(|load| load.in_flight < load.limit);
        self.health.refused(has_room, settings, now);
    }

    fn failed(&mut self, settings: &RoutingSettings, now: Instant) {
        let Some(start) = self.outstanding.finish_oldest() else {
            return;
        };
        self.unserved
            .record(false, settings.unserved_half_life, now);
        // An attempt that began before one that was answered says nothing of the endpoint now.
        let is_news = self.answered_start <= Some(start);
        if is_news && self.is_judged_by(start) {
            self.health.failed();
        }
    }

    /// A caller that gives up on an overdue attempt has seen a failure; one that gives up earlier
    /// says nothing of the endpoint.
    fn cancelled(&mut self, profile: &ServiceProfile, settings: &RoutingSettings, now: Instant) {
        let oldest = self.outstanding.oldest_from(None);
        let overdue_after = profile.overdue_after(settings);
        let is_overdue = oldest
            .zip(overdue_after)
            .is_some_and(|(start, limit)| now.saturating_duration_since(start) > limit);
        if is_overdue {
            self.failed(settings, now);
        } else {
            self.outstanding.finish_oldest();
        }
    }

    fn is_judged_by(&self, start: Instant) -> bool {
        self.health.judged_from().is_none_or(|from| start >= from)
    }

    /// Calls in flight and queued there in its limit, as estimated now.
    #[must_use]
    pub fn utilisation(
        &self,
        profile: &ServiceProfile,
        settings: &RoutingSettings,
        now: Instant,
    ) -> f64 {
        let others = self.load.map_or(profile.usual_others, |load| {
            load.others_now(profile.usual_others, settings.load_half_life, now)
        });
        others + self.outstanding.len() as f64 / self.limit(profile, settings)
    }

    /// The limit that counts: the reported one, bounded by what the service's others report.
    #[must_use]
    pub fn limit(&self, profile: &ServiceProfile, settings: &RoutingSettings) -> f64 {
        let reported = self.load.and_then(|load| load.limit());
        reported
            .unwrap_or(profile.median_limit)
            .clamp(1.0, profile.median_limit * settings.limit_ratio_limit)
    }

    /// Peak-sensitive latency, seconds.
    #[must_use]
    pub fn peak_latency(
        &self,
        profile: &ServiceProfile,
        settings: &RoutingSettings,
        now: Instant,
    ) -> Option<f64> {
        let baseline = self.baseline(profile, settings);
        self.latency.map(|latency| latency.peak(baseline, now))
    }

    /// Whether the endpoint takes one more attempt while it is probed.
    #[must_use]
    pub fn admits_probe(&self) -> bool {
        self.health
            .probing_since()
            .is_none_or(|since| self.outstanding.count_from(Some(since)) == 0)
    }

    /// The next phase of its health; an endpoint that begins to probe starts with a clean record.
    pub fn advance(&mut self, now: Instant) {
        if self.health.advance(now) {
            self.latency = None;
            self.unserved = UnservedShare::new(now);
        }
    }

    /// The row as status pages show it.
    #[must_use]
    pub fn status(
        &self,
        profile: &ServiceProfile,
        settings: &RoutingSettings,
        now: Instant,
    ) -> EndpointStatus {
        EndpointStatus {
            endpoint: self.endpoint.clone(),
            proximity: self.proximity,
            state: self.state(),
            in_flight: self.outstanding.len(),
            overdue: self.overdue(profile, settings, now),
            utilisation: self.utilisation(profile, settings, now),
            latency: self
                .latency
                .map(|latency| Duration::from_secs_f64(latency.mean())),
            unserved: self.unserved.get(settings.unserved_half_life, now),
            ramp_share: self.health.share(settings, now),
        }
    }

    fn state(&self) -> EndpointState {
        if !self.is_member {
            EndpointState::Gone
        } else if self.is_leaving {
            EndpointState::Leaving
        } else {
            self.health.state()
        }
    }
}
