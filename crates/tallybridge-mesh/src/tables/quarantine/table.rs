//! Table of suspected and quarantined requests.
//!
//! Each node builds the whole table from the reports of all nodes, so a lookup sends no message.

use std::{cmp::Reverse, collections::HashMap};

use super::{
    history::CrashHistory,
    recent_events::{ClearedRequests, CountedReports},
    record::{
        CRASHES_TO_QUARANTINE, MAX_QUARANTINE_DURATION, MAX_STORAGE_WAIT, SuspectRecord,
        TRIAL_DURATION,
    },
};
use crate::{
    clock::BootInstant,
    protocol::{CrashReport, QuarantinedRequest, RequestDigest, ServiceTag},
};

/// Bounds memory to 0.4 MB, at about 100 bytes per record.
const MAX_RECORDS: usize = 4096;
/// Also limits the records in a snapshot, which is sent over each new link at 25 bytes per record.
const MAX_QUARANTINED_REQUESTS: usize = 256;

/// Requests suspected of crashing back ends, including the quarantined ones.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<RequestDigest, SuspectRecord>,
    reports: CountedReports,
    cleared: ClearedRequests,
    history: CrashHistory,
}

/// Sizes of a [`Quarantine`], for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QuarantineCounts {
    /// Number of requests in the table, quarantined or not.
    pub suspects: usize,
    /// Number of requests that are quarantined at present.
    pub quarantined: usize,
}

/// A suspect whose crash count the store is not known to hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnstoredSuspect {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Number of crashes with this request as a suspect since a back end last answered it.
    pub crashes: u8,
    /// Time until which calls wait for the store. After it, they are refused.
    pub refused_from: BootInstant,
    /// Time from which the request may run although its count is not stored.
    pub released_at: BootInstant,
}

impl Quarantine {
    /// Returns whether no request is a suspect, so that calls need no lookup.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Counts the requests in the table and the quarantined ones.
    #[must_use]
    pub fn counts(&self, now: BootInstant) -> QuarantineCounts {
        QuarantineCounts {
            suspects: self.records.len(),
            quarantined: self.count_quarantined(now),
        }
    }

    /// Sets the number of back ends of a service, which must not be zero. Without this number, three crashes
    /// always quarantine a request of the service.
    pub fn set_back_end_count(&mut self, service: ServiceTag, back_ends: usize) {
        self.history.set_back_end_count(service, back_ends);
    }

    /// Counts a crash against its suspects. Returns the requests that the crash quarantines, or `None` if the
    /// report was already counted.
    pub fn record_crash(
        &mut self,
        report: &CrashReport,
        now: BootInstant,
    ) -> Option<Vec<QuarantinedRequest>> {
        if !self.reports.insert(report.id) {
            return None;
        }
        let mut quarantined = Vec::new();
        for digest in &report.suspects {
            let record = self.records.get(digest).copied();
            let mut record = record.unwrap_or_else(|| SuspectRecord::new(now));
            let needed = self.crashes_needed(report.service(), &record, now);
            if record.add_crash(needed, now) {
                quarantined.push(record.to_message(*digest, now));
            } else if record.crashes >= CRASHES_TO_QUARANTINE {
                let crashes = record.crashes;
                tracing::info!(
                    %digest,
                    crashes,
                    needed,
                    "request not quarantined yet; back ends of its service also crash without it"
                );
            }
            self.records.insert(*digest, record);
        }
        self.history.record(report, now);
        self.evict(now);
        Some(quarantined)
    }

    /// Returns the number of crashes that it takes to quarantine a request. The latest crash is not in `record`
    /// yet.
    fn crashes_needed(&self, service: ServiceTag, record: &SuspectRecord, now: BootInstant) -> u8 {
        if record.crashes + 1 < CRASHES_TO_QUARANTINE {
            return CRASHES_TO_QUARANTINE;
        }
        let crash_count =
            |other: &RequestDigest| self.records.get(other).map_or(0, |other| other.crashes);
        let suspect_since = record.first_crash;
        self.history
            .crashes_needed(service, suspect_since, now, crash_count)
    }

    /// Merges the record of another node. Returns `true` if the table changed.
    pub fn merge(&mut self, request: QuarantinedRequest, now: BootInstant) -> bool {
        if self.cleared.contains(request.digest, now) {
            return false;
        }
        let record = self.records.entry(request.digest);
        let record = record.or_insert_with(|| SuspectRecord::new(now));
        // Nodes compute the remaining time at different moments, so small differences are ignored.
        let is_longer = !request.remaining.is_zero()
            && record.remaining(now) + TRIAL_DURATION / 2 < request.remaining;
        let has_changed = is_longer || record.crashes < request.crashes;
        record.merge_crashes(request.crashes);
        if is_longer {
            record.quarantine(request.remaining.min(MAX_QUARANTINE_DURATION), now);
        }
        self.evict(now);
        has_changed
    }

    /// Records that the store holds the crash count of a request. Returns `true` if this was unknown.
    pub fn mark_stored(&mut self, request: &QuarantinedRequest) -> bool {
        let record = self.records.get_mut(&request.digest);
        record.is_some_and(|record| record.mark_stored(request.crashes))
    }

    /// Returns whether the store is known to hold the current crash count of a request.
    #[must_use]
    pub fn is_stored(&self, digest: RequestDigest) -> bool {
        self.records
            .get(&digest)
            .is_some_and(SuspectRecord::is_stored)
    }

    /// Returns whether the store may lack the crash count of a request of the snapshot.
    #[must_use]
    pub fn has_unstored(&self, now: BootInstant) -> bool {
        let snapshot = self.snapshot(now);
        snapshot
            .iter()
            .any(|request| !self.is_stored(request.digest))
    }

    /// Returns whether a call has a digest that is a suspect or quarantined.
    #[must_use]
    pub fn has_suspect(&self, digests: &[RequestDigest]) -> bool {
        digests
            .iter()
            .any(|digest| self.records.contains_key(digest))
    }

    /// Returns the quarantine of a call, for the first of its digests that is quarantined. The duration in the
    /// result is the time until this node releases the request.
    #[must_use]
    pub fn find(&self, digests: &[RequestDigest], now: BootInstant) -> Option<QuarantinedRequest> {
        digests.iter().find_map(|digest| {
            let record = self.records.get(digest)?;
            record.is_quarantined(now).then(|| QuarantinedRequest {
                digest: *digest,
                crashes: record.crashes,
                remaining: record.released_at.saturating_duration_since(now),
            })
        })
    }

    /// Returns the first of a call's digests that must not run before its crash count is stored. Losing all
    /// nodes would lose the count, and the request could crash as many back ends again.
    #[must_use]
    pub fn find_unstored(
        &self,
        digests: &[RequestDigest],
        now: BootInstant,
    ) -> Option<UnstoredSuspect> {
        digests.iter().find_map(|digest| {
            let record = self.records.get(digest)?;
            let released_at = record.unstored_until(now)?;
            Some(UnstoredSuspect {
                digest: *digest,
                crashes: record.crashes,
                refused_from: record.last_crash + MAX_STORAGE_WAIT,
                released_at,
            })
        })
    }

    /// Begins the trial of a request whose quarantine has ended, for a call that is about to run. Other runs are
    /// refused for two seconds on this node, and on the nodes that receive the returned records.
    pub fn begin_trial(
        &mut self,
        digests: &[RequestDigest],
        now: BootInstant,
    ) -> Vec<QuarantinedRequest> {
        let mut trials = Vec::new();
        for digest in digests {
            let Some(record) = self.records.get_mut(digest) else {
                continue;
            };
            if !record.is_due_for_trial(now) {
                continue;
            }
            record.quarantine(TRIAL_DURATION, now);
            trials.push(QuarantinedRequest {
                digest: *digest,
                crashes: record.crashes,
                remaining: TRIAL_DURATION,
            });
        }
        trials
    }

    /// Removes a request from the suspects because a back end answered it. Returns `true` if the request was a
    /// suspect.
    pub fn clear(&mut self, digest: RequestDigest, now: BootInstant) -> bool {
        if self.records.remove(&digest).is_none() {
            return false;
        }
        self.history.mark_answered(digest);
        self.cleared.insert(digest, now);
        true
    }

    /// Returns the records for a node whose table is empty: requests with at least two crashes, at most 256,
    /// in descending order of crashes and remaining time.
    #[must_use]
    pub fn snapshot(&self, now: BootInstant) -> Vec<QuarantinedRequest> {
        let is_included = |record: &SuspectRecord| record.crashes >= CRASHES_TO_QUARANTINE - 1;
        let records = self.records.iter();
        let records = records.filter(|(_, record)| is_included(record));
        let mut records: Vec<_> = records
            .map(|(digest, record)| record.to_message(*digest, now))
            .collect();
        records.sort_by_key(|request| Reverse((request.crashes, request.remaining)));
        records.truncate(MAX_QUARANTINED_REQUESTS);
        records
    }

    /// Returns all quarantined requests. Only tests use the list.
    #[doc(hidden)]
    #[must_use]
    pub fn quarantined(&self, now: BootInstant) -> Vec<QuarantinedRequest> {
        self.records
            .iter()
            .filter(|(_, record)| record.is_quarantined(now))
            .map(|(digest, record)| record.to_message(*digest, now))
            .filter(|request| !request.remaining.is_zero())
            .collect()
    }

    /// Returns the requests that are refused, because they are quarantined or their crash count is not stored.
    #[must_use]
    pub fn refused(&self, now: BootInstant) -> Vec<QuarantinedRequest> {
        let records = self.records.iter();
        let refused = records.filter(|(_, record)| record.is_refused(now));
        refused
            .map(|(digest, record)| record.to_message(*digest, now))
            .collect()
    }

    /// Removes suspects two minutes after their last crash, and released requests ten minutes after their
    /// release.
    pub fn remove_expired(&mut self, now: BootInstant) {
        self.records.retain(|_, record| record.is_unexpired(now));
    }

    fn count_quarantined(&self, now: BootInstant) -> usize {
        let records = self.records.values();
        records.filter(|record| record.is_quarantined(now)).count()
    }

    /// Removes records beyond the limits of the table: those with the fewest crashes first, and among those the
    /// ones with the oldest last crash.
    fn evict(&mut self, now: BootInstant) {
        let excess_quarantined = self
            .count_quarantined(now)
            .saturating_sub(MAX_QUARANTINED_REQUESTS);
        if excess_quarantined == 0 && self.records.len() <= MAX_RECORDS {
            return;
        }
        self.remove_expired(now);
        let mut sorted: Vec<_> = self.records.iter().collect();
        sorted.sort_by_key(|(_, record)| (record.crashes, record.last_crash));
        let excess_count = sorted.len().saturating_sub(MAX_RECORDS);
        let excess_records = sorted[..excess_count].iter();
        let quarantined = sorted
            .iter()
            .filter(|(_, record)| record.is_quarantined(now));
        let evicted: Vec<RequestDigest> = quarantined
            .take(excess_quarantined)
            .chain(excess_records)
            .map(|(digest, _)| **digest)
            .collect();
        for digest in evicted {
            self.records.remove(&digest);
        }
    }
}
