//! Crashes of the back end beside this node, and this node's copy of the shared quarantine.
//!
//! [`crate::tables::quarantine`] defines the rule. This file reports crashes and gossips crash
//! reports and cleared requests; `dispatched` tracks and refuses calls. A starting node gets the
//! snapshot over each of its links and from the registry.

use std::sync::atomic::Ordering;

use rand::seq::IteratorRandom;

use super::{Node, Tables};
use crate::{
    clock::BootInstant,
    protocol::{CrashReport, Frame, Message, QuarantinedRequest, RequestDigest, ServiceTag},
    tables::{
        EndedIncarnation, Incarnation,
        quarantine::{InterruptedCalls, QuarantineCounts},
    },
};

/// Number of random links over which a node forwards a message that was new to it. One node in
/// 160,000 (e^-12) misses the gossip and learns from the snapshot of the next link that it opens.
const GOSSIP_FANOUT: usize = 12;

/// A crash of the back end beside this node.
#[derive(Debug)]
pub(super) struct Crash {
    incarnation: Incarnation,
    interrupted: InterruptedCalls,
}

impl Crash {
    /// Returns the crash of an incarnation that ended, unless it had announced its end. An end
    /// without interrupted calls is a crash only if `count_if_idle` is set.
    fn detect(
        incarnation: &Incarnation,
        interrupted: InterruptedCalls,
        was_leaving: bool,
        count_if_idle: bool,
    ) -> Option<Self> {
        let is_crash = interrupted.calls > 0 || count_if_idle;
        (is_crash && !was_leaving).then(|| Self {
            incarnation: incarnation.clone(),
            interrupted,
        })
    }
}

impl Tables {
    /// Takes the crash of the current incarnation, which has ended; `None` if it had announced its
    /// end or if its crash was taken before. A crash that interrupted no call is detected only
    /// through the instance that replaced the crashed one (`is_replaced`).
    pub(super) fn take_crash(&mut self, is_replaced: bool, now: BootInstant) -> Option<Crash> {
        let incarnation = self.instance.current()?.clone();
        let was_leaving = self.instance.is_leaving(now.into_tokio());
        let count_if_idle = is_replaced && !self.dispatched.has_crashed(&incarnation);
        let interrupted = match is_replaced {
            true => self.dispatched.take_after_replacement(&incarnation, now),
            false => self.dispatched.take_after_crash(&incarnation, now),
        };
        Crash::detect(&incarnation, interrupted, was_leaving, count_if_idle)
    }

    /// Takes the crash of an incarnation whose back end restarted under the same id.
    pub(super) fn take_crash_before_restart(
        &mut self,
        ended: &EndedIncarnation,
        now: BootInstant,
    ) -> Option<Crash> {
        let count_if_idle = !self.dispatched.has_crashed(&ended.incarnation);
        let interrupted = self.dispatched.take_after_restart(&ended.incarnation, now);
        Crash::detect(
            &ended.incarnation,
            interrupted,
            ended.was_leaving,
            count_if_idle,
        )
    }

    /// Counts a crash report. The quarantine also needs the number of back ends of the service, since
    /// more back ends crash more often.
    fn record_crash(
        &mut self,
        report: &CrashReport,
        now: BootInstant,
    ) -> Option<Vec<QuarantinedRequest>> {
        let service = report.service();
        let back_ends = self
            .peers
            .count_nodes(|name| ServiceTag::from_name(name) == service);
        // Ids from earlier releases have no service tag, so no back end matches them.
        if back_ends > 0 {
            self.quarantine.set_back_end_count(service, back_ends);
        }
        self.quarantine.record_crash(report, now)
    }
}

/// Detection and reporting of crashes.
impl Node {
    /// Waits until a call loses its connection to the back end.
    pub async fn call_lost(&self) {
        self.signals.call_lost.notified().await;
    }

    /// Returns whether the back end may have crashed: calls lost their connections, and no call
    /// that began before that is still running.
    #[must_use]
    pub fn is_crash_suspected(&self) -> bool {
        self.tables().dispatched.is_crash_suspected()
    }

    /// Records that the back end accepts connections, so the lost connections were no crash.
    pub fn backend_reachable(&self) {
        self.tables().dispatched.mark_backend_reachable();
    }

    /// Records that the back end refuses connections, which means that its process has ended, and
    /// reports a crash unless the back end had announced its end.
    pub fn backend_gone(&self) {
        let crash = {
            let mut tables = self.tables();
            tables.take_crash(false, BootInstant::now())
        };
        self.instance_unreachable();
        if let Some(crash) = crash {
            self.report_crash(crash);
        }
    }

    /// Logs a crash and reports its suspects to all nodes.
    pub(super) fn report_crash(&self, crash: Crash) {
        let Crash {
            incarnation,
            interrupted,
        } = crash;
        if interrupted.calls == 0 {
            tracing::info!(instance = incarnation.id(), "back end crashed while idle");
            self.send_crash_report(&interrupted);
            return;
        }
        self.counters.crashes.fetch_add(1, Ordering::Relaxed);
        let digests: Vec<_> = interrupted
            .suspects
            .iter()
            .map(ToString::to_string)
            .collect();
        tracing::warn!(
            instance = incarnation.id(),
            calls = interrupted.calls,
            popular = interrupted.popular,
            suspects = digests.join(" "),
            "back end crashed while running calls"
        );
        if !interrupted.suspects.is_empty() {
            self.send_crash_report(&interrupted);
        }
    }

    /// Reports a crash to all nodes. A report without suspects is evidence that back ends of the
    /// service also crash for other reasons.
    fn send_crash_report(&self, interrupted: &InterruptedCalls) {
        let service = ServiceTag::from_name(&self.settings.backend.service);
        let suspects = interrupted.suspects.clone();
        let report = CrashReport::new(service, interrupted.names_all(), suspects);
        if self.record_crash(report) {
            self.signals.quarantine_grew.notify_one();
        }
    }
}

/// The quarantine table of this node, which gossip keeps in line with the other nodes.
impl Node {
    /// Counts a crash report of a peer and forwards it, unless it was counted before.
    pub fn record_peer_crash(&self, report: CrashReport) {
        if self.record_crash(report) {
            self.signals.unstored_crashes_reported.notify_one();
        }
    }

    /// Counts a crash report and forwards it, unless it was counted before. Returns `true` if the
    /// snapshot changed, so that the stored one is out of date.
    fn record_crash(&self, report: CrashReport) -> bool {
        let now = BootInstant::now();
        let quarantined = self.tables().record_crash(&report, now);
        let Some(quarantined) = quarantined else {
            return false;
        };
        for request in &quarantined {
            tracing::warn!(
                digest = %request.digest,
                crashes = request.crashes,
                for_ms = request.remaining.as_millis() as u64,
                "request quarantined"
            );
        }
        let snapshot = self.tables().quarantine.snapshot(now);
        let is_in_snapshot =
            |suspect: &RequestDigest| snapshot.iter().any(|request| request.digest == *suspect);
        let has_snapshot_changed = report.suspects.iter().any(is_in_snapshot);
        self.gossip(Message::Crash(report));
        has_snapshot_changed
    }

    /// Merges the record that another node has of a request, and forwards it if the table changed.
    pub fn merge_quarantined(&self, request: QuarantinedRequest) {
        if self.tables().quarantine.merge(request, BootInstant::now()) {
            self.gossip(Message::Quarantined(request));
            self.signals.unstored_crashes_reported.notify_one();
        }
    }

    /// Merges the record of a request whose crash count the store holds, and forwards what was
    /// unknown.
    pub fn merge_stored(&self, request: QuarantinedRequest) {
        let (has_changed, is_newly_stored) = {
            let quarantine = &mut self.tables().quarantine;
            let has_changed = quarantine.merge(request, BootInstant::now());
            (has_changed, quarantine.mark_stored(&request))
        };
        if is_newly_stored {
            self.signals.crashes_stored.send_modify(|count| *count += 1);
            self.gossip(Message::QuarantineStored(request));
        } else if has_changed {
            self.gossip(Message::Quarantined(request));
        }
    }

    /// Removes requests from the suspects after a back end, here or elsewhere, answered them.
    pub fn clear_suspects(&self, digests: &[RequestDigest]) {
        let now = BootInstant::now();
        for digest in digests {
            if self.tables().quarantine.clear(*digest, now) {
                tracing::info!(%digest, "request cleared after a back end answered it");
                self.gossip(Message::Cleared(*digest));
            }
        }
    }

    /// Sends a message over randomly selected links.
    pub(super) fn gossip(&self, message: Message) {
        let frame = Frame::without_call(message);
        let tables = self.tables();
        let links = tables.peers.links().map(|(_, link)| link);
        for link in links.choose_multiple(&mut rand::rng(), GOSSIP_FANOUT) {
            link.send(&frame);
        }
    }

    /// Returns whether the store may lack crash counts of the snapshot.
    #[must_use]
    pub fn has_unstored_crashes(&self) -> bool {
        self.tables().quarantine.has_unstored(BootInstant::now())
    }

    /// Returns the messages that bring the table of a newly linked node up to date.
    #[must_use]
    pub fn quarantine_messages(&self) -> Vec<Message> {
        let quarantine = &self.tables().quarantine;
        let snapshot = quarantine.snapshot(BootInstant::now()).into_iter();
        let message = |request: QuarantinedRequest| match quarantine.is_stored(request.digest) {
            true => Message::QuarantineStored(request),
            false => Message::Quarantined(request),
        };
        snapshot.map(message).collect()
    }

    /// Returns the records to write to the store.
    #[must_use]
    pub fn quarantine_snapshot(&self) -> Vec<QuarantinedRequest> {
        self.tables().quarantine.snapshot(BootInstant::now())
    }

    /// Returns the requests that are refused, because they are quarantined or their crash count is
    /// not stored.
    #[must_use]
    pub fn quarantined_requests(&self) -> Vec<QuarantinedRequest> {
        self.tables().quarantine.refused(BootInstant::now())
    }

    /// Returns the number of suspects, and how many of them are quarantined.
    #[must_use]
    pub fn quarantine_counts(&self) -> QuarantineCounts {
        self.tables().quarantine.counts(BootInstant::now())
    }

    /// Waits until a crash of the back end beside this node changes the snapshot.
    pub async fn quarantine_grew(&self) {
        self.signals.quarantine_grew.notified().await;
    }

    /// Waits until a peer reports crash counts that the store may lack.
    pub async fn unstored_crashes_reported(&self) {
        self.signals.unstored_crashes_reported.notified().await;
    }

    /// Removes expired records of suspects and quarantined requests.
    pub fn remove_expired_suspects(&self) {
        self.tables().quarantine.remove_expired(BootInstant::now());
    }
}
