//! The table of suspected and quarantined requests.
//!
//! Each node keeps the whole table from the reports of all, so that whoever dispatches a call knows without
//! asking.

use std::{cmp::Reverse, collections::HashMap};

use super::{
    history::CrashHistory,
    recent_events::{ClearedRequests, CountedReports},
    record::{CRASHES_TO_QUARANTINE, LONGEST_QUARANTINE, Record, TRIAL},
};
use crate::{
    clock::BootInstant,
    protocol::{CrashReport, QuarantinedRequest, RequestDigest, ServiceTag},
};

/// Requests in the table, some 100 bytes each: 0.4 MB (docs/CAPACITY.md). Origin not recorded.
const MAX_REQUESTS: usize = 4096;
/// Requests that are quarantined at once, and records in a snapshot: 25 bytes each for a node that links
/// (docs/CAPACITY.md). Origin not recorded.
const MAX_QUARANTINED: usize = 256;

/// Suspects of crashes, and those of them that are quarantined.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<RequestDigest, Record>,
    reports: CountedReports,
    cleared: ClearedRequests,
    history: CrashHistory,
}

/// How many requests a quarantine knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QuarantineCounts {
    /// Requests in the table, quarantined or not.
    pub suspects: usize,
    /// Requests that are refused now.
    pub quarantined: usize,
}

impl Quarantine {
    /// Whether no request is a suspect, so that no call need be looked up.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Size of the table.
    #[must_use]
    pub fn counts(&self, now: BootInstant) -> QuarantineCounts {
        QuarantineCounts {
            suspects: self.records.len(),
            quarantined: self.count_quarantined(now),
        }
    }

    /// Takes note of how many back ends a service has, at least one. Of a service for which this was never told no crash
    /// is taken for one that a back end had by itself.
    pub fn set_back_ends(&mut self, service: ServiceTag, back_ends: usize) {
        self.history.set_back_ends(service, back_ends);
    }

    /// Counts a crash against its suspects. Gives the requests that are quarantined for it, or `None` for a
    /// report that was counted before.
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
            let mut record = record.unwrap_or_else(|| Record::suspect(now));
            let needed = self.crashes_needed(report.service(), &record, now);
            if record.add_crash(needed, now) {
                quarantined.push(record.to_shared(*digest, now));
            } else if record.crashes >= CRASHES_TO_QUARANTINE {
                let crashes = record.crashes;
                tracing::info!(%digest, crashes, needed, "not held back, back ends end without it");
            }
            self.records.insert(*digest, record);
        }
        self.history.record(report, now);
        self.evict(now);
        Some(quarantined)
    }

    /// Crashes that it takes to quarantine a request that is a suspect of one more.
    fn crashes_needed(&self, service: ServiceTag, record: &Record, now: BootInstant) -> u8 {
        if record.crashes + 1 < CRASHES_TO_QUARANTINE {
            return CRASHES_TO_QUARANTINE;
        }
        let crashes =
            |other: &RequestDigest| self.records.get(other).map_or(0, |other| other.crashes);
        let since = record.first_crash;
        self.history.crashes_needed(service, since, now, crashes)
    }

    /// Merges what another node knows of a request; `true` when that changed the table.
    pub fn merge(&mut self, request: QuarantinedRequest, now: BootInstant) -> bool {
        if self.cleared.contains(request.digest, now) {
            return false;
        }
        let record = self.records.entry(request.digest);
        let record = record.or_insert_with(|| Record::suspect(now));
        // Nodes measure what is left at different times: a difference below half a trial is none.
        let is_longer =
            !request.remaining.is_zero() && record.left(now) + TRIAL / 2 < request.remaining;
        let has_changed = is_longer || record.crashes < request.crashes;
        record.merge_crashes(request.crashes);
        if is_longer {
            record.quarantine(request.remaining.min(LONGEST_QUARANTINE), now);
        }
        self.evict(now);
        has_changed
    }

    /// The quarantine of a call, by the first of its digests that is quarantined. `left` is the
    /// time until this node releases it.
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

    /// A call is about to run here. Where it was quarantined before, this run is its trial: other runs are
    /// refused for two seconds more, here and at the nodes that get what this returns.
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
            record.quarantine(TRIAL, now);
            trials.push(QuarantinedRequest {
                digest: *digest,
                crashes: record.crashes,
                remaining: TRIAL,
            });
        }
        trials
    }

    /// A run of a request was answered, so it is no suspect any more; `true` when it was one.
    pub fn clear(&mut self, digest: RequestDigest, now: BootInstant) -> bool {
        if self.records.remove(&digest).is_none() {
            return false;
        }
        self.history.answered(digest);
        self.cleared.insert(digest, now);
        true
    }

    /// The records that a node without a table needs: requests with at least one crash less than
    /// quarantines them, at most 256, those with the most crashes and the longest time left first.
    #[must_use]
    pub fn snapshot(&self, now: BootInstant) -> Vec<QuarantinedRequest> {
        let is_shared = |record: &Record| record.crashes >= CRASHES_TO_QUARANTINE - 1;
        let shared = self.records.iter();
        let shared = shared.filter(|(_, record)| is_shared(record));
        let mut shared: Vec<_> = shared
            .map(|(digest, record)| record.to_shared(*digest, now))
            .collect();
        shared.sort_by_key(|request| Reverse((request.crashes, request.remaining)));
        shared.truncate(MAX_QUARANTINED);
        shared
    }

    /// All requests that are quarantined, for tests: nothing in the program needs the list.
    #[doc(hidden)]
    #[must_use]
    pub fn quarantined(&self, now: BootInstant) -> Vec<QuarantinedRequest> {
        self.records
            .iter()
            .filter(|(_, record)| record.is_quarantined(now))
            .map(|(digest, record)| record.to_shared(*digest, now))
            .filter(|request| !request.remaining.is_zero())
            .collect()
    }

    /// Removes records that are too old to be of use.
    pub fn remove_expired(&mut self, now: BootInstant) {
        self.records.retain(|_, record| record.is_remembered(now));
    }

    fn count_quarantined(&self, now: BootInstant) -> usize {
        let records = self.records.values();
        records.filter(|record| record.is_quarantined(now)).count()
    }

    /// Keeps the table within its bounds: records with the fewest crashes go first, of those the ones whose
    /// last crash is oldest.
    fn evict(&mut self, now: BootInstant) {
        let excess_quarantined = self.count_quarantined(now).saturating_sub(MAX_QUARANTINED);
        if excess_quarantined == 0 && self.records.len() <= MAX_REQUESTS {
            return;
        }
        self.remove_expired(now);
        let mut all: Vec<_> = self.records.iter().collect();
        all.sort_by_key(|(_, record)| (record.crashes, record.last_crash));
        let excess = all.len().saturating_sub(MAX_REQUESTS);
        let oldest = all[..excess].iter();
        let quarantined = all.iter().filter(|(_, record)| record.is_quarantined(now));
        let evicted: Vec<RequestDigest> = quarantined
            .take(excess_quarantined)
            .chain(oldest)
            .map(|(digest, _)| **digest)
            .collect();
        for digest in evicted {
            self.records.remove(&digest);
        }
    }
}
