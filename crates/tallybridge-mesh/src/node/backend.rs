//! The node's operations on the back end beside it: reports, health checks, connections and load.
//!
//! [`crate::tables::backend`] defines the rules. The methods here apply a rule under the node's
//! lock and, after the lock is released, notify the tasks and nodes that the change concerns.

use bytes::Bytes;
use tokio::time::Instant;

use super::{Node, Tables};
use crate::{
    clock::BootInstant,
    platform::InstanceReport,
    protocol::Load,
    tables::{
        AnnouncedLimit, EndedIncarnation, FailureRate, FailureRateChange, HealthCheckEffect,
        Incarnation, InstanceState, ReportEffect,
    },
};

impl Node {
    /// Applies a report of the back end, and publishes the status if the report changed it.
    pub fn report(&self, report: &InstanceReport) {
        let effect = {
            let mut tables = self.tables();
            let slots_before = tables.instance.slots();
            let effect = tables.instance.apply_report(report, Instant::now());
            self.update_reported_slots(&tables, slots_before);
            effect
        };
        match effect {
            ReportEffect::Nothing => {}
            ReportEffect::Verify => self.signals.verification_due.notify_one(),
            ReportEffect::Restarted(ended) => self.handle_restart(&ended),
            ReportEffect::Changed => {
                tracing::info!(
                    instance = report.instance,
                    state = ?report.state,
                    sequence = report.sequence,
                    "back end reported a change"
                );
                self.instance_changed();
            }
        }
    }

    /// Resets the state learned from the previous incarnation after the back end restarted under
    /// the same id, and reports a crash if the previous incarnation crashed.
    fn handle_restart(&self, ended: &EndedIncarnation) {
        tracing::warn!(
            instance = ended.incarnation.id(),
            had_left = ended.was_leaving,
            "back end restarted under the same id; verifying it"
        );
        let crash = {
            let mut tables = self.tables();
            self.forget_incarnation(&mut tables);
            tables.take_crash_before_restart(ended, BootInstant::now())
        };
        self.backend.clear();
        self.signals.restarts.send_modify(|count| *count += 1);
        if let Some(crash) = crash {
            self.report_crash(crash);
        }
        self.signals.verification_due.notify_one();
        self.instance_changed();
    }

    /// Resets what was learned from an incarnation of the back end that another one replaces.
    fn forget_incarnation(&self, tables: &mut Tables) {
        tables.failure_rate = FailureRate::default();
        tables.announced_limit = AnnouncedLimit::default();
        self.slots.reset_share();
        self.slots.set_rate_limit(None);
    }

    /// Waits until the back end has restarted under the id of `incarnation`.
    pub async fn restarted_after(&self, incarnation: &Incarnation) {
        let mut restarts = self.signals.restarts.subscribe();
        loop {
            let has_restarted = self.tables().instance.has_restarted_since(incarnation);
            if has_restarted || restarts.changed().await.is_err() {
                return;
            }
        }
    }

    /// Applies the slots that the back end reported. Registers them if they changed and too few nodes
    /// of the service have registered that number.
    fn update_reported_slots(&self, tables: &Tables, slots_before: u32) {
        let slots = tables.instance.slots();
        let service = &self.settings.backend.service;
        if slots != slots_before && !tables.peers.has_enough_slot_reports(service, slots) {
            self.signals.record_changed.notify_one();
        }
        self.update_slots(tables);
    }

    pub(super) fn update_slots(&self, tables: &Tables) {
        self.slots.set_slots(self.effective_slots(tables));
    }

    /// Returns the slots that the back end reported, or else the number that another back end of its
    /// service reported; 0 while there is neither.
    pub(super) fn effective_slots(&self, tables: &Tables) -> u32 {
        let reported = tables.instance.slots();
        if reported > 0 {
            return reported;
        }
        let slots_of_others = tables.peers.reported_slots(&self.settings.backend.service);
        slots_of_others.unwrap_or(0)
    }

    pub(super) fn instance_changed(&self) {
        if self.instance_state() == InstanceState::Leaving {
            self.slots.refuse_waiting();
        }
        self.publish();
    }

    /// Returns the state of the back end beside this node.
    #[must_use]
    pub fn instance_state(&self) -> InstanceState {
        self.tables().instance.state()
    }

    /// Returns the incarnation of the back end to which calls can be dispatched now, if there is one.
    #[must_use]
    pub fn available_incarnation(&self) -> Option<Incarnation> {
        self.tables().instance.available_incarnation(Instant::now())
    }

    /// Records that a back end answered a health check as `instance`. A new id that has reported to this
    /// node means that the previous instance was replaced, which may have been a crash.
    pub fn instance_verified(&self, instance: &str, is_healthy: bool) -> HealthCheckEffect {
        let mut previous_crash = None;
        let effect = {
            let mut tables = self.tables();
            let current = tables.instance.current();
            let is_new_instance = current.is_none_or(|current| current.id() != instance);
            if is_new_instance && tables.instance.has_reported(instance) {
                previous_crash = tables.take_crash(true, BootInstant::now());
                self.forget_incarnation(&mut tables);
            }
            let slots_before = tables.instance.slots();
            let effect = tables
                .instance
                .record_health_check(instance, is_healthy, Instant::now());
            let begins_to_leave = self.apply_earlier_notices(&mut tables);
            self.update_reported_slots(&tables, slots_before);
            match effect {
                HealthCheckEffect::Nothing if begins_to_leave => HealthCheckEffect::Changed,
                _ => effect,
            }
        };
        if let Some(crash) = previous_crash {
            self.report_crash(crash);
        }
        match effect {
            HealthCheckEffect::Nothing => return effect,
            HealthCheckEffect::Changed => {
                tracing::info!(instance, is_healthy, "back end verified");
            }
            HealthCheckEffect::Unreported => tracing::warn!(
                instance,
                service = self.settings.backend.service,
                "a back end that has not reported to this node answers the health check and may \
                 belong to another service; sending it no calls until it reports"
            ),
        }
        self.instance_changed();
        effect
    }

    /// Returns whether a back end of the node's service has reported to this node.
    #[must_use]
    pub fn has_back_end_reports(&self) -> bool {
        self.tables().instance.has_reports()
    }

    /// Records a failed attempt to connect to the back end.
    pub fn instance_unreachable(&self) {
        if self.tables().instance.mark_unreachable(Instant::now()) {
            tracing::warn!("back end is unreachable; reporting it as unavailable");
            self.backend.clear();
            self.instance_changed();
        }
    }

    /// Records that the back end accepted a connection.
    pub fn instance_reached(&self) {
        if self.tables().instance.mark_reachable() {
            tracing::info!("back end is reachable again");
            self.instance_changed();
        }
    }

    /// Records that another instance answered at the address of the expected one. The new instance
    /// is verified before it gets calls.
    pub fn instance_misdirected(&self) {
        self.tables().instance.mark_unverified();
        self.backend.clear();
        self.signals.verification_due.notify_one();
        self.instance_changed();
    }

    /// Waits until the back end needs to be verified.
    pub async fn verification_due(&self) {
        self.signals.verification_due.notified().await;
    }

    /// Returns the load of the back end, including the failure rate of its calls.
    #[must_use]
    pub fn load(&self) -> Load {
        let failure_rate = self.tables().failure_rate.get();
        Load {
            failing: Load::share_to_wire(failure_rate),
            ..self.slots.load()
        }
    }

    /// Records the end of a dispatched call in the failure rate of the back end. A failure that a
    /// nested call may have caused is ignored.
    pub fn call_ended(&self, attempt: &Bytes, has_failed: bool) {
        let change = {
            let mut tables = self.tables();
            if has_failed && tables.running.may_fail_due_to_nested_call(attempt) {
                return;
            }
            tables.failure_rate.record(has_failed)
        };
        match change {
            Some(FailureRateChange::BecameHigh) => {
                let attempt = String::from_utf8_lossy(attempt);
                tracing::warn!(%attempt, "back end fails many calls; entries prefer other executors");
            }
            Some(FailureRateChange::Recovered) => {
                tracing::info!("back end no longer fails many calls")
            }
            None => {}
        }
    }
}
