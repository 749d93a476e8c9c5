//! Tracks the back end beside this node, and decides whether it may get work.
//!
//! An incarnation of the back end gets work once it has reported as a member of the node's service and
//! answers a health check as healthy, until it announces that it leaves, cannot be reached, or is replaced.
//! Once it announced that it leaves, it never gets work again. Neither the report nor the health check is
//! enough: reports arrive about 1.5 s apart, and may be late, out of order, or from another incarnation; the
//! answer to a health check does not name a service, and a back end of another service may have got the
//! address.
//!
//! The node calls this table under its lock, and runs the health checks and connections itself.

mod departures;
mod reported_ids;
mod state;
mod tracker;

use std::time::Duration;

use tokio::time::Instant;

pub use self::state::{EndedIncarnation, HealthCheckEffect, InstanceState, ReportEffect};
use self::{
    departures::Departures,
    reported_ids::ReportedIds,
    tracker::{IncarnationTracker, Reporter},
};
use super::incarnation::Incarnation;
use crate::platform::{InstanceReport, ReportedState};

const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(400);

/// A back end with another id that reported that it is ready, and that no health check has verified yet.
#[derive(Debug)]
struct Candidate {
    id: String,
    started_at_ms: Option<u64>,
    sequence: u64,
    slots: u32,
}

/// Identity, state and slots of the back end beside this node.
#[derive(Debug)]
pub struct LocalInstance {
    state: InstanceState,
    incarnations: IncarnationTracker,
    candidate: Option<Candidate>,
    reported_ids: ReportedIds,
    departures: Departures,
    /// Highest sequence number among the reports of the current incarnation.
    last_sequence: u64,
    slots: u32,
}

impl Default for LocalInstance {
    fn default() -> Self {
        Self {
            state: InstanceState::Unknown,
            incarnations: IncarnationTracker::default(),
            candidate: None,
            reported_ids: ReportedIds::default(),
            departures: Departures::default(),
            last_sequence: 0,
            slots: 0,
        }
    }
}

impl LocalInstance {
    /// Returns the state of the current incarnation, `Unknown` if there is none.
    #[must_use]
    pub const fn state(&self) -> InstanceState {
        self.state
    }

    /// Returns the current incarnation in any state, or `None` before the first health check was answered.
    #[must_use]
    pub const fn current(&self) -> Option<&Incarnation> {
        self.incarnations.current()
    }

    /// Returns the start time of the current incarnation in Unix milliseconds of its own clock, if known.
    #[must_use]
    pub const fn started_at_ms(&self) -> Option<u64> {
        self.incarnations.started_at_ms()
    }

    /// Returns the number of requests that the back end processes at once, or 0 while unknown.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the current incarnation if it may get work now.
    #[must_use]
    pub fn available_incarnation(&self, now: Instant) -> Option<Incarnation> {
        let is_available = match self.state {
            InstanceState::Ready => true,
            InstanceState::Unreachable { retry_at } => now >= retry_at,
            InstanceState::Unknown | InstanceState::Leaving => false,
        };
        self.current().filter(|_| is_available).cloned()
    }

    /// Returns whether the current incarnation has announced that it leaves.
    #[must_use]
    pub fn is_leaving(&self, now: Instant) -> bool {
        let current = self.current();
        current.is_some_and(|current| self.has_departed(current.id(), now))
    }

    /// Returns whether the back end has restarted under the same id since `incarnation`.
    #[must_use]
    pub fn has_restarted_since(&self, incarnation: &Incarnation) -> bool {
        let current = self.current();
        current.is_some_and(|current| current.id() == incarnation.id() && current != incarnation)
    }

    /// Returns whether any back end has reported as a member of the node's service. Until then, no health
    /// check can make a back end ready.
    #[must_use]
    pub fn has_reports(&self) -> bool {
        !self.reported_ids.is_empty()
    }

    /// Returns whether the back end with this id has reported as a member of the node's service.
    #[must_use]
    pub fn has_reported(&self, id: &str) -> bool {
        self.reported_ids.contains(id)
    }

    /// Applies a report of a back end. Reports may arrive late and out of order, so no report makes an
    /// incarnation ready that has announced that it leaves. The service of the report, if it names one,
    /// must be that of the node.
    pub fn apply_report(&mut self, report: &InstanceReport, now: Instant) -> ReportEffect {
        if report.service.is_some() {
            self.reported_ids.record(&report.instance);
        }
        let started_at_ms = report.started_at_ms;
        let reporter = self
            .incarnations
            .identify_reporter(&report.instance, started_at_ms, now);
        let ended = match reporter {
            Reporter::Newer => self.apply_restart(started_at_ms, now),
            Reporter::Current | Reporter::Older | Reporter::OtherId => None,
        };
        let effect = match (reporter, report.state) {
            (_, ReportedState::Leaving) => self.apply_leaving(reporter, report, now),
            (Reporter::Older, ReportedState::Ready) => ReportEffect::Nothing,
            (Reporter::OtherId, ReportedState::Ready) => self.record_candidate(report, now),
            (Reporter::Current | Reporter::Newer, ReportedState::Ready) => {
                self.apply_ready(report, now)
            }
        };
        ended.map_or(effect, ReportEffect::Restarted)
    }

    fn apply_restart(
        &mut self,
        started_at_ms: Option<u64>,
        now: Instant,
    ) -> Option<EndedIncarnation> {
        let was_leaving = self.is_leaving(now);
        let incarnation = self.incarnations.restart(started_at_ms)?;
        self.last_sequence = 0;
        self.state = InstanceState::Unknown;
        Some(EndedIncarnation {
            incarnation,
            was_leaving,
        })
    }

    fn apply_leaving(
        &mut self,
        reporter: Reporter,
        report: &InstanceReport,
        now: Instant,
    ) -> ReportEffect {
        let started_at_ms = match reporter {
            Reporter::Current | Reporter::Newer => {
                report.started_at_ms.or(self.incarnations.started_at_ms())
            }
            Reporter::Older | Reporter::OtherId => report.started_at_ms,
        };
        self.departures.record(&report.instance, started_at_ms, now);
        if !self.may_be_running(report) || self.state == InstanceState::Leaving {
            return ReportEffect::Nothing;
        }
        self.state = InstanceState::Leaving;
        ReportEffect::Changed
    }

    /// Returns whether the incarnation that sent a report may be the running one. An incarnation that
    /// appears older than the current one may be newer with a clock that was set back, so the back end
    /// gets no work until the current incarnation reports again.
    fn may_be_running(&self, report: &InstanceReport) -> bool {
        let has_ended = self.incarnations.has_ended(report.started_at_ms);
        self.current().is_none()
            || (self.incarnations.is_current_id(&report.instance) && !has_ended)
    }

    /// Records that the current incarnation announced in an answer that it leaves. Returns whether its
    /// state changed.
    pub fn mark_leaving(&mut self, now: Instant) -> bool {
        let Some(current) = self.incarnations.current() else {
            return false;
        };
        let started_at_ms = self.incarnations.started_at_ms();
        self.departures.record(current.id(), started_at_ms, now);
        let previous = std::mem::replace(&mut self.state, InstanceState::Leaving);
        previous != InstanceState::Leaving
    }

    /// Records that an incarnation, maybe not the current one, announced to an earlier process of this
    /// node that it leaves. Returns whether the state changed.
    pub fn record_departure(&mut self, id: &str, started_at_ms: Option<u64>, now: Instant) -> bool {
        self.departures.record(id, started_at_ms, now);
        let begins_to_leave = self.state != InstanceState::Leaving && self.is_leaving(now);
        if begins_to_leave {
            self.state = InstanceState::Leaving;
        }
        begins_to_leave
    }

    fn record_candidate(&mut self, report: &InstanceReport, now: Instant) -> ReportEffect {
        let InstanceReport {
            instance,
            started_at_ms,
            ..
        } = report;
        if self.departures.contains(instance, *started_at_ms, now) {
            return ReportEffect::Nothing;
        }
        self.candidate = Some(Candidate {
            id: instance.clone(),
            started_at_ms: *started_at_ms,
            sequence: report.sequence,
            slots: report.slots,
        });
        ReportEffect::Verify
    }

    fn apply_ready(&mut self, report: &InstanceReport, now: Instant) -> ReportEffect {
        if self.has_departed(&report.instance, now) || report.sequence < self.last_sequence {
            return ReportEffect::Nothing;
        }
        self.last_sequence = report.sequence;
        let previous_slots = std::mem::replace(&mut self.slots, report.slots);
        match self.state {
            InstanceState::Unknown | InstanceState::Leaving => return ReportEffect::Verify,
            InstanceState::Unreachable { .. } => self.state = InstanceState::Ready,
            InstanceState::Ready if previous_slots == self.slots => return ReportEffect::Nothing,
            InstanceState::Ready => {}
        }
        ReportEffect::Changed
    }

    /// Records that a back end answered a health check under the id `id`.
    pub fn record_health_check(
        &mut self,
        id: &str,
        is_healthy: bool,
        now: Instant,
    ) -> HealthCheckEffect {
        let is_other_id = !self.incarnations.is_current_id(id);
        if is_other_id && !self.has_reported(id) {
            self.mark_unverified();
            return HealthCheckEffect::Unreported;
        }
        if is_other_id {
            self.replace(id);
        }
        let state = if self.has_departed(id, now) {
            InstanceState::Leaving
        } else if is_healthy {
            InstanceState::Ready
        } else {
            InstanceState::Unknown
        };
        let has_changed = is_other_id || self.state != state;
        self.state = state;
        match has_changed {
            true => HealthCheckEffect::Changed,
            false => HealthCheckEffect::Nothing,
        }
    }

    /// Replaces the current incarnation by one of another id, with what that one last reported.
    fn replace(&mut self, id: &str) {
        let candidate = self.candidate.take();
        match candidate.filter(|candidate| candidate.id == id) {
            Some(candidate) => {
                self.incarnations.replace(id, candidate.started_at_ms);
                self.last_sequence = candidate.sequence;
                self.slots = candidate.slots;
            }
            None => {
                self.incarnations.replace(id, None);
                self.last_sequence = 0;
            }
        }
    }

    /// Records that a connection to the back end failed. Returns whether the back end was ready before.
    pub fn mark_unreachable(&mut self, now: Instant) -> bool {
        let was_ready = self.state == InstanceState::Ready;
        if was_ready || matches!(self.state, InstanceState::Unreachable { .. }) {
            let retry_at = now + UNREACHABLE_RETRY_DELAY;
            self.state = InstanceState::Unreachable { retry_at };
        }
        was_ready
    }

    /// Records that the back end accepted a connection. Returns whether it was unreachable before.
    pub fn mark_reachable(&mut self) -> bool {
        let was_unreachable = matches!(self.state, InstanceState::Unreachable { .. });
        if was_unreachable {
            self.state = InstanceState::Ready;
        }
        was_unreachable
    }

    /// Stops work for the back end until a health check verifies it, because another instance answered in
    /// its place. A leaving back end stays leaving.
    pub fn mark_unverified(&mut self) {
        if self.state != InstanceState::Leaving {
            self.state = InstanceState::Unknown;
        }
    }

    /// Returns whether the current incarnation has announced that it leaves. `id` must be its id.
    fn has_departed(&self, id: &str, now: Instant) -> bool {
        self.departures
            .contains(id, self.incarnations.started_at_ms(), now)
    }
}
