//! History of recent crashes, and the number of crashes that it takes to quarantine a request.
//!
//! Three crashes quarantine a request. The number rises if back ends of its service often crash spontaneously,
//! that is, without a request as the cause, so that harmless requests that are interrupted three times by
//! chance are not quarantined. A crash is certainly spontaneous if it interrupted no call, or only suspects
//! that were answered since. Once a service had such a crash, crashes whose suspects are suspects of no other
//! crash also count as spontaneous.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::record::CRASHES_TO_QUARANTINE;
use crate::{
    clock::BootInstant,
    protocol::{CrashReport, RequestDigest, ServiceTag},
};

/// Enough for two crashes per second of each of 60 back ends during [`MIN_RATE_WINDOW`]. The history takes at
/// most 0.5 MB, with 128 digests of 16 bytes per crash.
const MAX_RECENT_CRASHES: usize = 256;
/// Keeps two crashes in quick succession from counting as a high rate.
const MIN_RATE_WINDOW: Duration = Duration::from_secs(2);
/// Run time that is assumed for every request, because crash reports do not carry run times.
const ASSUMED_RUN_TIME: Duration = Duration::from_millis(500);
/// Probability below which a series of interruptions no longer counts as a coincidence.
const MAX_COINCIDENCE_PROBABILITY: f64 = 0.001;
/// Probability of one interruption from which a request needs more than [`CRASHES_TO_QUARANTINE`] crashes. The
/// value corresponds to one spontaneous crash per back end in 2.5 s. A lower value would let requests that do
/// crash back ends crash more of them.
const MIN_INTERRUPTION_PROBABILITY: f64 = 0.2;
/// Limits the number of back ends that a request can crash before it is quarantined.
const MAX_CRASHES_NEEDED: u8 = 12;

/// Recent crashes of the back ends of all services.
#[derive(Debug, Default)]
pub(super) struct CrashHistory {
    crashes: VecDeque<RecentCrash>,
    back_end_counts: HashMap<ServiceTag, usize>,
}

#[derive(Debug)]
struct RecentCrash {
    service: ServiceTag,
    recorded_at: BootInstant,
    /// Whether the crash report named every interrupted call.
    names_all: bool,
    unanswered_suspects: Vec<RequestDigest>,
}

impl RecentCrash {
    /// Returns whether no suspect remains that could have caused the crash.
    const fn is_spontaneous(&self) -> bool {
        self.names_all && self.unanswered_suspects.is_empty()
    }

    /// Returns whether all remaining suspects are suspects of this crash only. `crash_count` returns the number
    /// of crashes of a suspect.
    fn may_be_spontaneous(&self, crash_count: impl Fn(&RequestDigest) -> u8) -> bool {
        self.names_all
            && self
                .unanswered_suspects
                .iter()
                .all(|suspect| crash_count(suspect) <= 1)
    }
}

impl CrashHistory {
    /// Sets the number of back ends of a service, which must not be zero.
    pub(super) fn set_back_end_count(&mut self, service: ServiceTag, back_ends: usize) {
        self.back_end_counts.insert(service, back_ends);
    }

    pub(super) fn record(&mut self, report: &CrashReport, now: BootInstant) {
        if self.crashes.len() >= MAX_RECENT_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(RecentCrash {
            service: report.service(),
            recorded_at: now,
            names_all: report.names_all(),
            unanswered_suspects: report.suspects.clone(),
        });
    }

    /// Removes an answered request from the suspects of all recent crashes.
    pub(super) fn mark_answered(&mut self, suspect: RequestDigest) {
        for crash in &mut self.crashes {
            crash
                .unanswered_suspects
                .retain(|digest| *digest != suspect);
        }
    }

    /// Returns the number of crashes that it takes to quarantine a request of `service` that became a suspect
    /// at `suspect_since`. `crash_count` returns the number of crashes of any suspect.
    pub(super) fn crashes_needed(
        &self,
        service: ServiceTag,
        suspect_since: BootInstant,
        now: BootInstant,
        crash_count: impl Fn(&RequestDigest) -> u8,
    ) -> u8 {
        let Some(back_ends) = self.back_end_counts.get(&service) else {
            return CRASHES_TO_QUARANTINE;
        };
        let window = now
            .saturating_duration_since(suspect_since)
            .max(MIN_RATE_WINDOW);
        let spontaneous_crashes = self.count_spontaneous_crashes(service, window, now, crash_count);
        let crashes_per_back_end = spontaneous_crashes as f64 / *back_ends as f64;
        // Probability that a spontaneous crash interrupts a run of a harmless request.
        let probability =
            crashes_per_back_end * ASSUMED_RUN_TIME.as_secs_f64() / window.as_secs_f64();
        interruptions_beyond_coincidence(probability)
            .clamp(CRASHES_TO_QUARANTINE, MAX_CRASHES_NEEDED)
    }

    fn count_spontaneous_crashes(
        &self,
        service: ServiceTag,
        window: Duration,
        now: BootInstant,
        crash_count: impl Fn(&RequestDigest) -> u8,
    ) -> usize {
        let service_crashes = self.crashes.iter().filter(|crash| crash.service == service);
        let recent: Vec<_> = service_crashes
            .filter(|crash| now.saturating_duration_since(crash.recorded_at) <= window)
            .collect();
        if !recent.iter().any(|crash| crash.is_spontaneous()) {
            return 0;
        }
        let spontaneous = recent
            .iter()
            .filter(|crash| crash.may_be_spontaneous(&crash_count));
        spontaneous.count()
    }
}

/// Returns how many interruptions in a row rule out a coincidence if each run is interrupted with
/// `probability`. Returns 0 below [`MIN_INTERRUPTION_PROBABILITY`].
fn interruptions_beyond_coincidence(probability: f64) -> u8 {
    if probability < MIN_INTERRUPTION_PROBABILITY {
        return 0;
    }
    if probability >= 1.0 {
        return u8::MAX;
    }
    // The cast saturates at `u8::MAX`.
    (MAX_COINCIDENCE_PROBABILITY.ln() / probability.ln()).ceil() as u8
}
