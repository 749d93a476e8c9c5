//! What a node does when the back end beside it ends without notice, and how all nodes learn of it.

use std::sync::{Arc, atomic::Ordering};

use super::{Node, Tables};
use crate::{
    clock::BootInstant,
    protocol::{CallMessage, CrashReport, Frame, Message, QuarantinedRequest, RequestDigest},
    tables::{
        EndedStart, Incarnation,
        quarantine::{CallContent, DispatchEnd, DispatchId, InterruptedCalls},
    },
};
use rand::seq::IteratorRandom;
use tallybridge_core::{ErrorKind, Refusal};

/// Peers that a node passes news of crashes on to, drawn at random. With 12 each, one node in 160,000 is
/// passed over by all others; it learns from the first link that it opens next.
const PASSED_ON_TO: usize = 12;

/// A back end that ended without notice.
#[derive(Debug)]
pub(super) struct Crash {
    incarnation: Incarnation,
    exposure: InterruptedCalls,
}

impl Crash {
    /// A crash, if the back end was at work and had not said that it leaves.
    fn of(incarnation: &Incarnation, exposure: InterruptedCalls, had_left: bool) -> Option<Self> {
        let is_crash = exposure.calls > 0 && !had_left;
        is_crash.then(|| Self {
            incarnation: incarnation.clone(),
            exposure,
        })
    }
}

impl Tables {
    /// What the current start of the back end, which ended, had been handed; `None` where it had said
    /// that it leaves, or where this is known already.
    pub(super) fn take_crash(&mut self, now: BootInstant) -> Option<Crash> {
        let incarnation = self.instance.current()?.clone();
        let had_left = self.instance.has_left(now.if_awake());
        let exposure = self.exposed.take(&incarnation, now);
        Crash::of(&incarnation, exposure, had_left)
    }

    /// The same of a start after which the back end has started again under its id.
    pub(super) fn take_crash_before_restart(
        &mut self,
        ended: &EndedStart,
        now: BootInstant,
    ) -> Option<Crash> {
        let exposure = self.exposed.take_restarted(&ended.incarnation, now);
        Crash::of(&ended.incarnation, exposure, ended.had_left)
    }
}

impl Node {
    /// Waits until a call at the back end breaks off.
    pub async fn call_broke(&self) {
        self.call_broke.notified().await;
    }

    /// Whether calls were broken off and none goes on that began before: so it looks when a back end ends.
    #[must_use]
    pub fn have_all_calls_broken(&self) -> bool {
        self.tables().exposed.all_broke()
    }

    /// The back end lives: what broke off was a connection each.
    pub fn absolve_broken_calls(&self) {
        self.tables().exposed.absolve_broken();
    }

    /// The back end refuses connections: it has ended.
    pub fn backend_ended(&self) {
        let crash = {
            let mut tables = self.tables();
            tables.take_crash(BootInstant::now())
        };
        self.instance_unreachable();
        if let Some(crash) = crash {
            self.report_crash(crash);
        }
    }

    /// Tells all nodes which requests may be why the back end ended.
    pub(super) fn report_crash(&self, crash: Crash) {
        let Crash {
            incarnation,
            exposure,
        } = crash;
        self.counters.crashes.fetch_add(1, Ordering::Relaxed);
        let digests: Vec<_> = exposure.suspects.iter().map(ToString::to_string).collect();
        tracing::warn!(
            instance = incarnation.id(),
            calls = exposure.calls,
            popular = exposure.popular,
            suspects = digests.join(" "),
            "back end ended without notice"
        );
        if exposure.suspects.is_empty() {
            return;
        }
        let report = CrashReport {
            id: rand::random(),
            suspects: exposure.suspects,
        };
        if self.record_crash(report) {
            self.quarantine_grew.notify_one();
        }
    }

    /// Takes in a report of a crash, and passes it on if it is news; `true` when there is more to be kept for
    /// nodes that lose what they know.
    pub fn record_crash(&self, report: CrashReport) -> bool {
        let now = BootInstant::now();
        let held = self.tables().quarantine.take_in(&report, now);
        let Some(held) = held else {
            return false;
        };
        for request in &held {
            tracing::warn!(
                digest = %request.digest,
                crashes = request.crashes,
                for_ms = request.left.as_millis() as u64,
                "request held back"
            );
        }
        let kept = self.tables().quarantine.worth_keeping(now);
        let is_kept = |suspect: &RequestDigest| kept.iter().any(|kept| kept.digest == *suspect);
        let is_more = report.suspects.iter().any(is_kept);
        self.pass_on(Message::Crash(report));
        is_more
    }

    /// Takes in what another node knows of a request, and passes that on if it is news.
    pub fn learn_quarantined(&self, held: QuarantinedRequest) {
        if self.tables().quarantine.learn(held, BootInstant::now()) {
            self.pass_on(Message::Quarantined(held));
        }
    }

    /// A run of requests was answered, here or elsewhere: they are no suspects any more.
    pub fn clear_suspects(&self, digests: &[RequestDigest]) {
        let now = BootInstant::now();
        for digest in digests {
            if self.tables().quarantine.clear(*digest, now) {
                tracing::info!(%digest, "request cleared, a back end answered it");
                self.pass_on(Message::Cleared(*digest));
            }
        }
    }

    fn pass_on(&self, message: Message) {
        let frame = Frame::of_link(message);
        let tables = self.tables();
        let links = tables.peers.links().map(|(_, link)| link);
        for link in links.choose_multiple(&mut rand::rng(), PASSED_ON_TO) {
            link.send(&frame);
        }
    }

    /// Held requests and suspects of which a node that starts has to know.
    #[must_use]
    pub fn suspects_worth_keeping(&self) -> Vec<QuarantinedRequest> {
        self.tables().quarantine.worth_keeping(BootInstant::now())
    }

    /// All requests that are held back.
    #[must_use]
    pub fn quarantined_requests(&self) -> Vec<QuarantinedRequest> {
        self.tables().quarantine.all_held(BootInstant::now())
    }

    /// Requests that are suspects, and those of them that are held back.
    #[must_use]
    pub fn quarantine_sizes(&self) -> (usize, usize) {
        self.tables().quarantine.sizes(BootInstant::now())
    }

    /// Waits until there is more to be kept for a crash of the back end beside this node.
    pub async fn quarantine_grew(&self) {
        self.quarantine_grew.notified().await;
    }

    /// Forgets suspects and holds that are too old.
    pub fn forget_suspects(&self) {
        self.tables().quarantine.forget(BootInstant::now());
    }

    /// The digests of a call, if any request is a suspect.
    fn digests_if_suspects(&self, call: &CallMessage) -> Option<[RequestDigest; 2]> {
        let is_any = !self.tables().quarantine.is_empty();
        is_any.then(|| CallContent::of(call, &self.names).digests().both())
    }

    /// Refuses a request under which back ends ended.
    ///
    /// # Errors
    ///
    /// A refusal that says for how long it is held back.
    pub fn refuse_quarantined(&self, call: &CallMessage) -> Result<(), Refusal> {
        let Some(digests) = self.digests_if_suspects(call) else {
            return Ok(());
        };
        let held = self.tables().quarantine.held(&digests, BootInstant::now());
        match held {
            None => Ok(()),
            Some(QuarantinedRequest {
                digest,
                crashes,
                left,
            }) => {
                let detail =
                    format!("{crashes} back ends ended under this request, digest {digest}");
                let refusal = Refusal::new(ErrorKind::Quarantined, detail);
                Err(refusal.with_retry_after(left))
            }
        }
    }

    /// A call is handed to the back end beside this node.
    #[must_use]
    pub fn exposes_to(
        self: &Arc<Self>,
        call: &CallMessage,
        incarnation: &Incarnation,
    ) -> DispatchedCall {
        let digests = self.digests_if_suspects(call);
        let now = BootInstant::now();
        let mut tables = self.tables();
        let id = tables.exposed.begin(call, incarnation, now);
        let trials = match &digests {
            Some(digests) => tables.quarantine.begin_trial(digests, now),
            None => Vec::new(),
        };
        drop(tables);
        for trial in trials {
            tracing::info!(digest = %trial.digest, crashes = trial.crashes, "request tried again");
            self.pass_on(Message::Quarantined(trial));
        }
        DispatchedCall {
            node: self.clone(),
            id,
            end: DispatchEnd::Withdrawn,
        }
    }
}

/// A call at the back end. One that is dropped before its end was withdrawn.
pub struct DispatchedCall {
    node: Arc<Node>,
    id: DispatchId,
    end: DispatchEnd,
}

impl DispatchedCall {
    /// The call has ended.
    pub fn end(mut self, end: DispatchEnd) {
        self.end = end;
    }
}

impl Drop for DispatchedCall {
    fn drop(&mut self) {
        let node = &self.node;
        let answered = {
            let mut tables = node.tables();
            let are_suspects = !tables.quarantine.is_empty();
            let answered = tables.exposed.end(self.id, self.end, BootInstant::now());
            answered.filter(|_| are_suspects)
        };
        if let Some(answered) = answered {
            let digests = answered.content(&node.names).digests();
            node.clear_suspects(&digests.both());
        }
        if self.end == DispatchEnd::Broken {
            node.call_broke.notify_one();
        }
    }
}
