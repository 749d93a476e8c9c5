//! State of one suspected request: its crashes and its quarantine.

use std::time::Duration;

use rand::Rng;

use crate::{
    clock::BootInstant,
    protocol::{QuarantinedRequest, RequestDigest},
};

/// Number of crashes that quarantine a request, unless back ends of its service often crash without any
/// request as the cause. A lower number would quarantine more requests that were running by chance; a higher
/// one would crash more back ends.
pub const CRASHES_TO_QUARANTINE: u8 = 3;
/// Durations of the first, second, third and every further quarantine of a request. The first one is short
/// because harmless calls that are retried from one crashing back end to the next can be quarantined together
/// with the cause. The others limit a request that always crashes its back end to three more crashes in the
/// following day.
const QUARANTINE_DURATIONS: [Duration; 4] = [
    Duration::from_secs(30),
    Duration::from_secs(10 * 60),
    Duration::from_secs(60 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// Also limits the durations that other nodes report.
pub(super) const MAX_QUARANTINE_DURATION: Duration =
    QUARANTINE_DURATIONS[QUARANTINE_DURATIONS.len() - 1];
/// Maximum random delay of a release on each node, as a fraction of the quarantine. The first node to release
/// a request runs the trial and notifies the other nodes.
const MAX_RELEASE_JITTER: f64 = 0.2;
/// Time during which other runs stay refused while one run tries a request again. The time must be long enough
/// for the run to crash its back end.
pub(super) const TRIAL_DURATION: Duration = Duration::from_secs(2);
/// Time after a crash in which calls of a suspect wait until its crash count is stored. Usually the node
/// beside the crashed back end or, if the store refuses that node, another one stores it in this time.
pub(super) const MAX_STORAGE_WAIT: Duration = Duration::from_millis(400);
/// Time after the last crash until a suspect that was never quarantined is removed.
const SUSPECT_TTL: Duration = Duration::from_secs(120);
/// Time after the release until a request is removed. Until then, another crash continues the crash count.
const RELEASED_TTL: Duration = Duration::from_secs(10 * 60);

#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectRecord {
    pub(super) crashes: u8,
    pub(super) first_crash: BootInstant,
    pub(super) last_crash: BootInstant,
    /// Highest crash count known to be in the store, in terms of [`Self::crashes_for_peers`].
    stored_crashes: u8,
    /// Crash count at the first quarantine, or `None` for a suspect that was never quarantined.
    crashes_at_first_quarantine: Option<u8>,
    /// End of the last quarantine, or `None` for a suspect that was never quarantined.
    quarantined_until: Option<BootInstant>,
    /// Time at which this node releases the request: `quarantined_until` plus a random delay.
    pub(super) released_at: BootInstant,
}

impl SuspectRecord {
    /// Creates a record without crashes.
    pub(super) const fn new(now: BootInstant) -> Self {
        Self {
            crashes: 0,
            first_crash: now,
            last_crash: now,
            stored_crashes: 0,
            crashes_at_first_quarantine: None,
            quarantined_until: None,
            released_at: now,
        }
    }

    /// Counts a crash. Returns `true` if the crash quarantines the request: the count reached `crashes_needed`,
    /// or the request was quarantined before.
    pub(super) fn add_crash(&mut self, crashes_needed: u8, now: BootInstant) -> bool {
        self.crashes = self.crashes.saturating_add(1);
        self.last_crash = now;
        if self.crashes_at_first_quarantine.is_none() && self.crashes < crashes_needed {
            return false;
        }
        let crashes_at_first_quarantine =
            *self.crashes_at_first_quarantine.get_or_insert(self.crashes);
        self.quarantine(
            quarantine_duration(self.crashes - crashes_at_first_quarantine),
            now,
        );
        true
    }

    /// Adopts the crash count of another node if the count is higher. From [`CRASHES_TO_QUARANTINE`] on, the
    /// count means that the other node has quarantined the request.
    pub(super) fn merge_crashes(&mut self, crashes: u8) {
        self.crashes = self.crashes.max(crashes);
        if let Some(further_crashes) = crashes.checked_sub(CRASHES_TO_QUARANTINE) {
            let crashes_at_first_quarantine = self.crashes.saturating_sub(further_crashes);
            self.crashes_at_first_quarantine = Some(
                self.crashes_at_first_quarantine
                    .map_or(crashes_at_first_quarantine, |current| {
                        current.min(crashes_at_first_quarantine)
                    }),
            );
        }
    }

    /// Records that the store holds the crash count that a node sent to its peers. Returns `true` if this was
    /// unknown.
    pub(super) fn mark_stored(&mut self, crashes: u8) -> bool {
        let is_news = self.stored_crashes < crashes;
        self.stored_crashes = self.stored_crashes.max(crashes);
        is_news
    }

    /// Returns until when the request must not run because the loss of all nodes would lose its crash count, or
    /// `None` if it may run. Applies to a suspect that one more crash may quarantine.
    pub(super) fn unstored_until(&self, now: BootInstant) -> Option<BootInstant> {
        let is_last_suspicion = self.quarantined_until.is_none()
            && self.crashes_for_peers() == CRASHES_TO_QUARANTINE - 1;
        let until = self.last_crash + QUARANTINE_DURATIONS[0];
        (is_last_suspicion && !self.is_stored() && now < until).then_some(until)
    }

    /// Returns whether the request is quarantined, or its crash count was not stored in time.
    pub(super) fn is_refused(&self, now: BootInstant) -> bool {
        let is_overdue = now >= self.last_crash + MAX_STORAGE_WAIT;
        self.is_quarantined(now) || (is_overdue && self.unstored_until(now).is_some())
    }

    /// Returns whether the store is known to hold the current crash count.
    pub(super) fn is_stored(&self) -> bool {
        self.stored_crashes >= self.crashes_for_peers()
    }

    pub(super) fn quarantine(&mut self, duration: Duration, now: BootInstant) {
        let jitter = rand::rng().random_range(0.0..MAX_RELEASE_JITTER);
        self.quarantined_until = Some(now + duration);
        self.released_at = now + duration.mul_f64(1.0 + jitter);
    }

    pub(super) fn is_quarantined(&self, now: BootInstant) -> bool {
        self.quarantined_until.is_some() && now < self.released_at
    }

    /// Returns whether the quarantine has ended, so that the next run is a trial.
    pub(super) fn is_due_for_trial(&self, now: BootInstant) -> bool {
        self.quarantined_until.is_some() && !self.is_quarantined(now)
    }

    /// Returns the remaining time of the quarantine, without the random delay of this node. Zero if the
    /// request is not quarantined.
    pub(super) fn remaining(&self, now: BootInstant) -> Duration {
        let until = self.quarantined_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    pub(super) fn is_unexpired(&self, now: BootInstant) -> bool {
        let (since, ttl) = match self.quarantined_until {
            Some(_) => (self.released_at, RELEASED_TTL),
            None => (self.last_crash, SUSPECT_TTL),
        };
        now.saturating_duration_since(since) < ttl
    }

    /// Returns the crash count for other nodes, adjusted as if [`CRASHES_TO_QUARANTINE`] crashes had quarantined
    /// the request. A suspect that is not quarantined yet always has a lower count.
    fn crashes_for_peers(&self) -> u8 {
        self.crashes_at_first_quarantine.map_or_else(
            || self.crashes.min(CRASHES_TO_QUARANTINE - 1),
            |crashes_at_first_quarantine| {
                CRASHES_TO_QUARANTINE.saturating_add(self.crashes - crashes_at_first_quarantine)
            },
        )
    }

    pub(super) fn to_message(self, digest: RequestDigest, now: BootInstant) -> QuarantinedRequest {
        QuarantinedRequest {
            digest,
            crashes: self.crashes_for_peers(),
            remaining: self.remaining(now),
        }
    }
}

/// Returns the length of a quarantine, given the number of crashes after the first quarantine.
fn quarantine_duration(further_crashes: u8) -> Duration {
    let step = usize::from(further_crashes);
    QUARANTINE_DURATIONS[step.min(QUARANTINE_DURATIONS.len() - 1)]
}
