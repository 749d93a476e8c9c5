//! State that the table keeps for one endpoint.

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

/// An endpoint with everything that this node has observed of it.
#[derive(Debug, Clone)]
pub struct EndpointRow {
    /// The endpoint that the row describes.
    pub endpoint: Endpoint,
    /// Distance of the endpoint from this node.
    pub proximity: Proximity,
    /// Whether the latest membership contains the endpoint.
    pub is_member: bool,
    /// Whether the end of the endpoint has been announced, by a load report or by membership.
    pub is_leaving: bool,
    /// Health derived from the results of attempts.
    pub health: Health,
    /// This node's attempts in flight at the endpoint.
    pub outstanding: Outstanding,
    /// Latest load report, or `None` until one arrives.
    pub load: Option<ReportedLoad>,
    /// Smoothed latency, or `None` until an attempt is answered. The start of probing clears it.
    pub latency: Option<LatencyEstimate>,
    /// Recent share of attempts that the endpoint refused or failed.
    pub unserved: UnservedShare,
    /// Latest start time among the answered attempts.
    pub(super) latest_answered_start: Option<Instant>,
}

impl EndpointRow {
    /// Creates the row of a new member, which starts with the cold-start ramp.
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
            health: Health::new(settings, now),
            outstanding: Outstanding::default(),
            load: None,
            latency: None,
            unserved: UnservedShare::new(now),
            latest_answered_start: None,
        }
    }

    /// Returns whether the endpoint is a member that is not leaving.
    #[must_use]
    pub fn takes_new_work(&self) -> bool {
        self.is_member && !self.is_leaving
    }

    /// Returns whether enough answers arrived for a reliable mean latency.
    #[must_use]
    pub fn has_settled_latency(&self) -> bool {
        self.latency.is_some_and(|latency| latency.is_settled())
    }

    /// Returns whether the endpoint is no longer a member and has no attempts in flight.
    #[must_use]
    pub fn is_removable(&self) -> bool {
        !self.is_member && self.outstanding.is_empty()
    }

    /// Records the result of an attempt.
    pub fn finish(
        &mut self,
        result: AttemptResult,
        profile: &ServiceProfile,
        settings: &RoutingSettings,
        now: Instant,
    ) {
        match result {
            AttemptResult::Answered { latency, load } => {
                self.record_answer(latency, profile, settings, now);
                self.record_load(load, now);
            }
            AttemptResult::RefusedNotRun { load } => self.record_refusal(load, settings, now),
            AttemptResult::Failed => self.record_failure(settings, now),
            AttemptResult::Cancelled => self.record_cancellation(profile, settings, now),
        }
    }

    fn record_answer(
        &mut self,
        latency: Duration,
        profile: &ServiceProfile,
        settings: &RoutingSettings,
        now: Instant,
    ) {
        let Some(start) = self.outstanding.finish_after(latency, now) else {
            return;
        };
        self.latest_answered_start = self.latest_answered_start.max(Some(start));
        self.unserved.record(true, settings.unserved_half_life, now);
        self.record_latency(latency, profile, settings, now);
        let is_overdue = profile
            .overdue_after(settings)
            .is_some_and(|limit| latency > limit);
        if !self.counts_for_health(start) {
            return;
        }
        let is_slow_probe =
            self.health.probing_since().is_some() && profile.is_slow_for_probe(latency, settings);
        if is_overdue || is_slow_probe {
            self.health.record_failure();
        } else {
            self.health.record_answer(settings, now);
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
        let max_seconds = profile
            .overdue_after(settings)
            .map_or(f64::INFINITY, |overdue| overdue.as_secs_f64());
        match &mut self.latency {
            Some(estimate) => estimate.record(latency, max_seconds, baseline, now),
            None => self.latency = Some(LatencyEstimate::new(latency, now)),
        }
    }

    fn baseline(&self, profile: &ServiceProfile, settings: &RoutingSettings) -> Baseline {
        Baseline {
            typical: profile.typical_latency.unwrap_or(f64::INFINITY),
            time_constant: settings.latency_decay,
        }
    }

    fn record_load(&mut self, load: LoadReport, now: Instant) {
        self.is_leaving |= load.leaving;
        self.load = Some(ReportedLoad::new(load, self.outstanding.len(), now));
    }

    fn record_refusal(
        &mut self,
        load: Option<LoadReport>,
        settings: &RoutingSettings,
        now: Instant,
    ) {
        self.outstanding.finish_oldest();
        self.unserved
            .record(false, settings.unserved_half_life, now);
        if let Some(load) = load {
            self.record_load(load, now);
        }
        let has_room = load.is_none_or(|load| load.in_flight < load.limit);
        self.health.record_refusal(has_room, settings, now);
    }

    fn record_failure(&mut self, settings: &RoutingSettings, now: Instant) {
        let Some(start) = self.outstanding.finish_oldest() else {
            return;
        };
        self.unserved
            .record(false, settings.unserved_half_life, now);
        // Ignores the failure if an attempt that started later was already answered.
        let is_recent = self.latest_answered_start <= Some(start);
        if is_recent && self.counts_for_health(start) {
            self.health.record_failure();
        }
    }

    /// Counts a cancellation as a failure if the oldest attempt is overdue. Otherwise the
    /// cancellation says nothing about the endpoint.
    fn record_cancellation(
        &mut self,
        profile: &ServiceProfile,
        settings: &RoutingSettings,
        now: Instant,
    ) {
        let oldest = self.outstanding.oldest_since(None);
        let overdue_after = profile.overdue_after(settings);
        let is_overdue = oldest
            .zip(overdue_after)
            .is_some_and(|(start, limit)| now.saturating_duration_since(start) > limit);
        if is_overdue {
            self.record_failure(settings, now);
        } else {
            self.outstanding.finish_oldest();
        }
    }

    fn counts_for_health(&self, start: Instant) -> bool {
        self.health
            .assessed_since()
            .is_none_or(|since| start >= since)
    }

    /// Returns the estimated calls running and queued at the endpoint at `now`, divided by its
    /// limit.
    #[must_use]
    pub fn utilisation(
        &self,
        profile: &ServiceProfile,
        settings: &RoutingSettings,
        now: Instant,
    ) -> f64 {
        let others = self.load.map_or(profile.median_others_utilisation, |load| {
            load.decayed_others_utilisation(
                profile.median_others_utilisation,
                settings.load_half_life,
                now,
            )
        });
        others + self.outstanding.len() as f64 / self.limit(profile, settings)
    }

    /// Returns the reported limit, or the median limit of the service without a report. A multiple
    /// of the median bounds it, so that a false report cannot attract all traffic.
    #[must_use]
    pub fn limit(&self, profile: &ServiceProfile, settings: &RoutingSettings) -> f64 {
        let reported = self.load.and_then(|load| load.limit());
        reported
            .unwrap_or(profile.median_limit)
            .clamp(1.0, profile.median_limit * settings.limit_ratio_limit)
    }

    /// Returns the peak-sensitive latency in seconds, or `None` while no latency is known.
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

    /// Returns whether the endpoint may get another attempt. While probing, it may have only one in
    /// flight.
    #[must_use]
    pub fn admits_probe(&self) -> bool {
        self.health
            .probing_since()
            .is_none_or(|since| self.outstanding.count_since(Some(since)) == 0)
    }

    /// Enters the next health phase if it is due. Clears the latency and the unserved share when
    /// probing starts.
    pub fn advance(&mut self, now: Instant) {
        if self.health.advance(now) {
            self.latency = None;
            self.unserved = UnservedShare::new(now);
        }
    }

    /// Returns the status of the row as a status page shows it.
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
            ramp_share: self.health.traffic_share(settings, now),
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
