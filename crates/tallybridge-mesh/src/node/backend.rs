//! What a node does about the back end beside it: it takes in reports, health checks and what connections
//! show, and tells the other nodes and the tables that depend on a start of the back end.
//!
//! The rules stand in [`crate::tables::backend`]; here each is applied under the node's lock, and its
//! effects follow after the lock is released.

use bytes::Bytes;
use tokio::time::Instant;

use super::{Node, Tables};
use crate::{
    clock::BootInstant,
    platform::InstanceReport,
    protocol::Load,
    tables::{
        EndedIncarnation, FailureRate, FailureRateChange, Incarnation, InstanceState, ReportEffect,
    },
};

impl Node {
    /// Takes in a report of the back end.
    pub fn report(&self, report: &InstanceReport) {
        let effect = {
            let mut tables = self.tables();
            let slots_before = tables.instance.slots();
            let effect = tables.instance.apply_report(report, Instant::now());
            let slots = tables.instance.slots();
            let service = &self.settings.backend.service;
            if slots != slots_before && !tables.peers.has_enough_slot_reports(service, slots) {
                self.signals.record_changed.notify_one();
            }
            self.adopt_slots(&tables);
            effect
        };
        match effect {
            ReportEffect::Nothing => {}
            ReportEffect::Verify => self.signals.verify.notify_one(),
            ReportEffect::Restarted(ended) => self.instance_restarted(&ended),
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

    /// The back end has started again under its id. It knows nothing of the calls that were dispatched to
    /// the start before it, and nothing that was learned of that one holds.
    fn instance_restarted(&self, ended: &EndedIncarnation) {
        tracing::warn!(
            instance = ended.incarnation.id(),
            had_left = ended.was_leaving,
            "back end has started again under its id"
        );
        let crash = {
            let mut tables = self.tables();
            tables.failing = FailureRate::default();
            tables.take_crash_before_restart(ended, BootInstant::now())
        };
        self.slots.reset_share();
        self.backend.clear();
        self.signals.restarts.send_modify(|starts| *starts += 1);
        if let Some(crash) = crash {
            self.report_crash(crash);
        }
        self.signals.verify.notify_one();
        self.instance_changed();
    }

    /// Waits until the back end has started again after this start of it.
    pub async fn start_is_over(&self, incarnation: &Incarnation) {
        let mut restarts = self.signals.restarts.subscribe();
        loop {
            let is_over = self.tables().instance.has_restarted_since(incarnation);
            if is_over || restarts.changed().await.is_err() {
                return;
            }
        }
    }

    pub(super) fn adopt_slots(&self, tables: &Tables) {
        self.slots.set_slots(self.own_or_usual_slots(tables));
    }

    /// Slots of the back end as it reported them, or else the usual ones of its service; 0 while no
    /// back end of the service has reported any.
    pub(super) fn own_or_usual_slots(&self, tables: &Tables) -> u32 {
        let own = tables.instance.slots();
        if own > 0 {
            return own;
        }
        let usual = tables.peers.reported_slots(&self.settings.backend.service);
        usual.unwrap_or(0)
    }

    fn instance_changed(&self) {
        if self.instance_state() == InstanceState::Leaving {
            self.slots.refuse_waiting();
        }
        self.publish();
    }

    /// State of the back end beside the node.
    #[must_use]
    pub fn instance_state(&self) -> InstanceState {
        self.tables().instance.state()
    }

    /// The start of the back end that may be given work now.
    #[must_use]
    pub fn instance_for_work(&self) -> Option<Incarnation> {
        self.tables().instance.available_incarnation(Instant::now())
    }

    /// The back end answered a health check under an id.
    pub fn instance_verified(&self, instance: &str, is_healthy: bool) {
        let mut ended = None;
        let changed = {
            let mut tables = self.tables();
            let current = tables.instance.current();
            let is_other = current.is_none_or(|current| current.id() != instance);
            if is_other {
                ended = tables.take_crash(true, BootInstant::now());
                tables.failing = FailureRate::default();
                self.slots.reset_share();
            }
            let changed = tables
                .instance
                .record_health_check(instance, is_healthy, Instant::now());
            self.adopt_slots(&tables);
            changed
        };
        if let Some(crash) = ended {
            self.report_crash(crash);
        }
        if changed {
            tracing::info!(instance, is_healthy, "back end verified");
            self.instance_changed();
        }
    }

    /// The back end could not be reached.
    pub fn instance_unreachable(&self) {
        if self.tables().instance.mark_unreachable(Instant::now()) {
            tracing::warn!("back end can't be reached");
            self.backend.clear();
            self.instance_changed();
        }
    }

    /// The back end took a connection.
    pub fn instance_reached(&self) {
        if self.tables().instance.mark_reachable() {
            tracing::info!("back end is reached again");
            self.instance_changed();
        }
    }

    /// Another instance answered in the place of the one that is known.
    pub fn instance_misdirected(&self) {
        self.tables().instance.mark_unverified();
        self.backend.clear();
        self.signals.verify.notify_one();
        self.instance_changed();
    }

    /// Waits until the back end is to be verified.
    pub async fn verification_due(&self) {
        self.signals.verify.notified().await;
    }

    /// How busy the back end is, and the share of its calls that end badly.
    #[must_use]
    pub fn load(&self) -> Load {
        let failing = self.tables().failing.get();
        Load {
            failing: Load::share_to_wire(failing),
            ..self.slots.load()
        }
    }

    /// A call that was dispatched to the back end ended. A failure that may come from a call that it made
    /// itself says nothing of the back end, and is left out.
    pub fn call_ended(&self, attempt: &Bytes, badly: bool) {
        let change = {
            let mut tables = self.tables();
            if badly && tables.running.may_fail_due_to_nested_call(attempt) {
                return;
            }
            tables.failing.record(badly)
        };
        match change {
            Some(FailureRateChange::BecameHigh) => {
                let attempt = String::from_utf8_lossy(attempt);
                tracing::warn!(%attempt, "back end fails many calls, others are preferred to it");
            }
            Some(FailureRateChange::Recovered) => tracing::info!("back end fails few calls again"),
            None => {}
        }
    }
}
