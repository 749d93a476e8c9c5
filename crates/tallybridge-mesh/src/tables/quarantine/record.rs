//! What is known of one suspected request, and how long it is quarantined.

use std::time::Duration;

use rand::Rng;

use crate::{
    clock::BootInstant,
    protocol::{QuarantinedRequest, RequestDigest},
};

/// Crashes after which a request is quarantined where back ends seldom crash by themselves (`history`).
/// Fewer would quarantine requests that were running by chance when back ends crashed for reasons of their
/// own; a fourth would cost one more back end with all its calls (docs/design/quarantine.md, "Which call is
/// to blame").
pub const CRASHES_TO_QUARANTINE: u8 = 3;
/// How long a request is quarantined after the crash for which it is blamed (the third, unless back ends
/// often crash by themselves), the next one, the one after that and any further one. The first time is
/// short, as calls that were cut at one back end and retried at the next to crash are quarantined with the
/// cause, and are cleared by their next run. It grows so that a request that crashes every back end crashes
/// three more in the following day (docs/design/quarantine.md, "How long").
const QUARANTINE_TIMES: [Duration; 4] = [
    Duration::from_secs(30),
    Duration::from_secs(10 * 60),
    Duration::from_secs(60 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// The longest of these times, also for what another node reports.
pub(super) const LONGEST_QUARANTINE: Duration = QUARANTINE_TIMES[QUARANTINE_TIMES.len() - 1];
/// Each node releases a request up to this share of its quarantine late, at random, so that one
/// node tries it first and the others learn of that. Origin not recorded.
const RELEASE_SPREAD: f64 = 0.2;
/// Time for which the other runs of a request stay refused while one run tries it again. A run that
/// crashes the back end does so well within it, and the crash then quarantines the request for
/// longer. Origin not recorded.
pub(super) const TRIAL: Duration = Duration::from_secs(2);
/// Time after the last crash for which a suspect is remembered that was never quarantined. Origin
/// not recorded.
const SUSPECT_TTL: Duration = Duration::from_secs(120);
/// Time after its release for which a request is remembered that was quarantined, so that its next crash
/// counts on from the earlier ones. Origin not recorded.
const RELEASED_TTL: Duration = Duration::from_secs(10 * 60);

/// The crashes of one suspected request, and its quarantine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Record {
    pub(super) crashes: u8,
    pub(super) first_crash: BootInstant,
    pub(super) last_crash: BootInstant,
    /// Crashes at which it was first quarantined, [`CRASHES_TO_QUARANTINE`] unless back ends often crashed
    /// by themselves; `None` for a suspect that never was.
    blamed_at: Option<u8>,
    /// When the quarantine ends; `None` for a suspect that was never quarantined.
    quarantined_until: Option<BootInstant>,
    /// When this node releases the request: at that time or up to [`RELEASE_SPREAD`] later.
    pub(super) released_at: BootInstant,
}

impl Record {
    /// A suspect of no crash yet.
    pub(super) const fn suspect(now: BootInstant) -> Self {
        Self {
            crashes: 0,
            first_crash: now,
            last_crash: now,
            blamed_at: None,
            quarantined_until: None,
            released_at: now,
        }
    }

    /// Counts a crash; `true` when the request is quarantined for it: from the crash number `needed` on,
    /// or for each further crash of one that was quarantined before.
    pub(super) fn add_crash(&mut self, needed: u8, now: BootInstant) -> bool {
        self.crashes = self.crashes.saturating_add(1);
        self.last_crash = now;
        if self.blamed_at.is_none() && self.crashes < needed {
            return false;
        }
        let blamed_at = *self.blamed_at.get_or_insert(self.crashes);
        self.quarantine(quarantine_time(self.crashes - blamed_at), now);
        true
    }

    /// Takes in the crashes that another node counts.
    pub(super) fn merge_crashes(&mut self, crashes: u8) {
        self.crashes = self.crashes.max(crashes);
        if let Some(further) = crashes.checked_sub(CRASHES_TO_QUARANTINE) {
            let blamed_at = self.crashes.saturating_sub(further);
            self.blamed_at = Some(self.blamed_at.map_or(blamed_at, |own| own.min(blamed_at)));
        }
    }

    /// Quarantines the request for a time from now.
    pub(super) fn quarantine(&mut self, time: Duration, now: BootInstant) {
        let spread = rand::rng().random_range(0.0..RELEASE_SPREAD);
        self.quarantined_until = Some(now + time);
        self.released_at = now + time.mul_f64(1.0 + spread);
    }

    /// Whether the request is refused now.
    pub(super) fn is_quarantined(&self, now: BootInstant) -> bool {
        self.quarantined_until.is_some() && now < self.released_at
    }

    /// Whether the request was quarantined and its next run is a trial.
    pub(super) fn is_due_for_trial(&self, now: BootInstant) -> bool {
        self.quarantined_until.is_some() && !self.is_quarantined(now)
    }

    /// Time left of the quarantine, without this node's own delay of the release; zero for none.
    pub(super) fn left(&self, now: BootInstant) -> Duration {
        let until = self.quarantined_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Whether the record is still of use.
    pub(super) fn is_remembered(&self, now: BootInstant) -> bool {
        let (since, ttl) = match self.quarantined_until {
            Some(_) => (self.released_at, RELEASED_TTL),
            None => (self.last_crash, SUSPECT_TTL),
        };
        now.saturating_duration_since(since) < ttl
    }

    /// Crashes as other nodes get them: those that it takes to quarantine a request, and those after
    /// that. A suspect has fewer, however many crashes it would take to quarantine it.
    fn shared_crashes(&self) -> u8 {
        self.blamed_at.map_or_else(
            || self.crashes.min(CRASHES_TO_QUARANTINE - 1),
            |blamed_at| CRASHES_TO_QUARANTINE.saturating_add(self.crashes - blamed_at),
        )
    }

    /// The record as other nodes get it.
    pub(super) fn to_shared(self, digest: RequestDigest, now: BootInstant) -> QuarantinedRequest {
        QuarantinedRequest {
            digest,
            crashes: self.shared_crashes(),
            remaining: self.left(now),
        }
    }
}

/// How long a request is quarantined after so many crashes beyond those that it took to blame it.
fn quarantine_time(further_crashes: u8) -> Duration {
    let step = usize::from(further_crashes);
    QUARANTINE_TIMES[step.min(QUARANTINE_TIMES.len() - 1)]
}
