//! Crashes of the back end beside this node, and the quarantine that all nodes share.
//!
//! [`crate::tables::quarantine`] has the rule. This file reports crashes and spreads reports and
//! clearings by gossip; `dispatched` tracks and refuses calls. A node that starts gets the snapshot
//! over each of its links and from the registry.

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

/// Links, drawn at random, over which a node passes on what was new to it. With 12 at each node,
/// one node in 160,000 (e^-12) gets nothing; it learns from the next link that it opens
/// (docs/design/quarantine.md, "Who knows").
const GOSSIP_FANOUT: usize = 12;

/// A crash of the back end beside this node.
#[derive(Debug)]
pub(super) struct Crash {
    incarnation: Incarnation,
    interrupted: InterruptedCalls,
}

impl Crash {
    /// A crash, if the back end had not announced that it leaves. One that interrupted no call counts where
    /// `counts_idle` says so.
    fn of(
        incarnation: &Incarnation,
        interrupted: InterruptedCalls,
        had_left: bool,
        counts_idle: bool,
    ) -> Option<Self> {
        let shows_crash = interrupted.calls > 0 || counts_idle;
        (shows_crash && !had_left).then(|| Self {
            incarnation: incarnation.clone(),
            interrupted,
        })
    }
}

impl Tables {
    /// The crash of the current start of the back end, which is gone; `None` where it had announced that it
    /// leaves, or where this was asked before. One that interrupted no call shows only by the instance that
    /// follows (`is_replaced`).
    pub(super) fn take_crash(&mut self, is_replaced: bool, now: BootInstant) -> Option<Crash> {
        let incarnation = self.instance.current()?.clone();
        let had_left = self.instance.is_leaving(now.if_awake());
        let counts_idle = is_replaced && !self.dispatched.has_crashed(&incarnation);
        let interrupted = self.dispatched.take_after_crash(&incarnation, now);
        Crash::of(&incarnation, interrupted, had_left, counts_idle)
    }

    /// The same of a start after which the back end has started again under its id.
    pub(super) fn take_crash_before_restart(
        &mut self,
        ended: &EndedIncarnation,
        now: BootInstant,
    ) -> Option<Crash> {
        let counts_idle = !self.dispatched.has_crashed(&ended.incarnation);
        let interrupted = self.dispatched.take_after_restart(&ended.incarnation, now);
        Crash::of(
            &ended.incarnation,
            interrupted,
            ended.was_leaving,
            counts_idle,
        )
    }

    /// Counts a report of a crash, beside the back ends that its service has.
    fn record_crash(
        &mut self,
        report: &CrashReport,
        now: BootInstant,
    ) -> Option<Vec<QuarantinedRequest>> {
        let service = report.service();
        let back_ends = self
            .peers
            .count_nodes(|name| ServiceTag::of(name) == service);
        // An id of an earlier release names no service: nobody has back ends of it.
        if back_ends > 0 {
            self.quarantine.set_back_end_count(service, back_ends);
        }
        self.quarantine.record_crash(report, now)
    }
}

/// Finding and reporting a crash.
impl Node {
    /// Waits until a call loses its connection to the back end.
    pub async fn call_lost(&self) {
        self.signals.call_lost.notified().await;
    }

    /// Whether calls lost their connections and none runs that began before, as after a crash.
    #[must_use]
    pub fn is_crash_suspected(&self) -> bool {
        self.tables().dispatched.is_crash_suspected()
    }

    /// The back end takes connections: the calls that lost theirs did not lose them in a crash.
    pub fn backend_reachable(&self) {
        self.tables().dispatched.mark_backend_reachable();
    }

    /// The back end refuses connections: its process is gone.
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
            tracing::info!(
                instance = incarnation.id(),
                "back end ended without notice, no call was interrupted"
            );
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
            "back end ended without notice"
        );
        if !interrupted.suspects.is_empty() {
            self.send_crash_report(&interrupted);
        }
    }

    /// Reports a crash to all nodes: its suspects, or that it had none, which speaks for others.
    fn send_crash_report(&self, interrupted: &InterruptedCalls) {
        let service = ServiceTag::of(&self.settings.backend.service);
        let suspects = interrupted.suspects.clone();
        let report = CrashReport::new(service, interrupted.names_all(), suspects);
        if self.record_crash(report) {
            self.signals.quarantine_grew.notify_one();
        }
    }
}

/// The quarantine of this node, kept equal to that of the others.
impl Node {
    /// Counts a report of a crash and passes it on, unless it was counted before. `true` when the
    /// snapshot has changed for it, so that the stored one is out of date.
    pub fn record_crash(&self, report: CrashReport) -> bool {
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
                "request held back"
            );
        }
        let snapshot = self.tables().quarantine.snapshot(now);
        let is_in_snapshot =
            |suspect: &RequestDigest| snapshot.iter().any(|request| request.digest == *suspect);
        let has_grown = report.suspects.iter().any(is_in_snapshot);
        self.gossip(Message::Crash(report));
        has_grown
    }

    /// Merges what another node knows of a request, and passes it on if that changed the table.
    pub fn merge_quarantined(&self, request: QuarantinedRequest) {
        if self.tables().quarantine.merge(request, BootInstant::now()) {
            self.gossip(Message::Quarantined(request));
        }
    }

    /// A run of a request was answered, here or elsewhere: its digests are no suspects any more.
    pub fn clear_suspects(&self, digests: &[RequestDigest]) {
        let now = BootInstant::now();
        for digest in digests {
            if self.tables().quarantine.clear(*digest, now) {
                tracing::info!(%digest, "request cleared, a back end answered it");
                self.gossip(Message::Cleared(*digest));
            }
        }
    }

    pub(super) fn gossip(&self, message: Message) {
        let frame = Frame::without_call(message);
        let tables = self.tables();
        let links = tables.peers.links().map(|(_, link)| link);
        for link in links.choose_multiple(&mut rand::rng(), GOSSIP_FANOUT) {
            link.send(&frame);
        }
    }

    /// The records that a node without a table needs.
    #[must_use]
    pub fn quarantine_snapshot(&self) -> Vec<QuarantinedRequest> {
        self.tables().quarantine.snapshot(BootInstant::now())
    }

    /// All requests that are quarantined, for tests: nothing in the program needs the list.
    #[doc(hidden)]
    #[must_use]
    pub fn quarantined_requests(&self) -> Vec<QuarantinedRequest> {
        self.tables().quarantine.quarantined(BootInstant::now())
    }

    /// Requests that are suspects, and those of them that are quarantined.
    #[must_use]
    pub fn quarantine_counts(&self) -> QuarantineCounts {
        self.tables().quarantine.counts(BootInstant::now())
    }

    /// Waits until a crash of the back end beside this node has changed the snapshot.
    pub async fn quarantine_grew(&self) {
        self.signals.quarantine_grew.notified().await;
    }

    /// Removes suspects and quarantined requests that are too old to be of use.
    pub fn remove_expired_suspects(&self) {
        self.tables().quarantine.remove_expired(BootInstant::now());
    }
}
