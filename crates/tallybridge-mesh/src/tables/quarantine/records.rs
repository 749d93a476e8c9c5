//! Requests that are suspects of crashes, and those that are held back for them.
//!
//! Each node keeps the whole table from the reports of all, so that whoever hands a call to a back end
//! knows. What a suspect has to do to be cleared is to be answered once: a request that ends each back
//! end which begins to run it never is.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use rand::Rng;

use crate::{
    clock::BootInstant,
    protocol::{CrashReport, QuarantinedRequest, RequestDigest},
};

/// Crashes after which a request is held back: fewer would hold back what happened to be under way
/// when back ends ended for reasons of their own.
pub const CRASHES_TO_QUARANTINE: u8 = 3;
/// How long a request is held back after the third crash, the fourth, the fifth and any further one.
/// The first is short, as calls that were cut at one back end and tried at the next to end are held
/// with the one to blame, and are cleared by their next run; it grows so that a request that ends
/// every back end ends three more in the day after.
const HOLDS: [Duration; 4] = [
    Duration::from_secs(30),
    Duration::from_secs(10 * 60),
    Duration::from_secs(60 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// Nodes release a request up to this part of its hold later than it ends, each at a time of its own, so
/// that one of them tries it first and the others learn of it.
const RELEASE_SPREAD: f64 = 0.2;
/// Time for which a request is held elsewhere while one node tries it again. A run that ends a back end
/// does so well within it, and its crash holds the request for longer.
const TRIAL: Duration = Duration::from_secs(2);
/// Time after the last crash for which a suspect that is not held is remembered.
const SUSPECT_FOR: Duration = Duration::from_secs(120);
/// Least time for which one that was held is remembered after its hold.
const REMEMBERED_FOR: Duration = Duration::from_secs(10 * 60);
/// Requests in the table, some 100 bytes each.
const MAX_REQUESTS: usize = 4096;
/// Requests that are held back at once.
const MAX_HELD: usize = 256;
/// Reports that are remembered, so that one which comes twice counts once.
const MAX_REPORTS: usize = 512;
/// Cleared requests that are remembered, so that late news does not hold them again.
const MAX_CLEARED: usize = 1024;
/// Time for which they are.
const CLEARED_FOR: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct Record {
    crashes: u8,
    last_crash: BootInstant,
    /// When the hold ends; `None` for a suspect that was never held.
    quarantined_until: Option<BootInstant>,
    /// When this node releases it, at that time or somewhat later.
    released_at: BootInstant,
}

impl Record {
    const fn suspect(now: BootInstant) -> Self {
        Self {
            crashes: 0,
            last_crash: now,
            quarantined_until: None,
            released_at: now,
        }
    }

    fn hold(&mut self, hold: Duration, now: BootInstant) {
        let spread = rand::rng().random_range(0.0..RELEASE_SPREAD);
        self.quarantined_until = Some(now + hold);
        self.released_at = now + hold.mul_f64(1.0 + spread);
    }

    fn is_quarantined(&self, now: BootInstant) -> bool {
        self.quarantined_until.is_some() && now < self.released_at
    }

    fn left(&self, now: BootInstant) -> Duration {
        let until = self.quarantined_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    fn is_remembered(&self, now: BootInstant) -> bool {
        let (since, kept) = match self.quarantined_until {
            Some(_) => (self.released_at, REMEMBERED_FOR),
            None => (self.last_crash, SUSPECT_FOR),
        };
        now.saturating_duration_since(since) < kept
    }
}

/// The hold after so many crashes.
fn hold_after(crashes: u8) -> Duration {
    let step = usize::from(crashes.saturating_sub(CRASHES_TO_QUARANTINE));
    HOLDS[step.min(HOLDS.len() - 1)]
}

/// Suspects of crashes and held requests.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<RequestDigest, Record>,
    reports: VecDeque<u64>,
    cleared: VecDeque<(RequestDigest, BootInstant)>,
}

impl Quarantine {
    /// Whether no request is a suspect: then nothing need be asked of any call.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Requests in the table, and those of them that are held back.
    #[must_use]
    pub fn sizes(&self, now: BootInstant) -> (usize, usize) {
        let held = self
            .records
            .values()
            .filter(|record| record.is_quarantined(now));
        (self.records.len(), held.count())
    }

    /// Takes in a report. Gives the requests that are held back for it, or `None` for a report that was
    /// taken in before.
    pub fn take_in(
        &mut self,
        report: &CrashReport,
        now: BootInstant,
    ) -> Option<Vec<QuarantinedRequest>> {
        if self.reports.contains(&report.id) {
            return None;
        }
        if self.reports.len() >= MAX_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back(report.id);
        let mut held = Vec::new();
        for digest in &report.suspects {
            let record = self.records.entry(*digest);
            let record = record.or_insert_with(|| Record::suspect(now));
            record.crashes = record.crashes.saturating_add(1);
            record.last_crash = now;
            if record.crashes >= CRASHES_TO_QUARANTINE {
                record.hold(hold_after(record.crashes), now);
                held.push(QuarantinedRequest {
                    digest: *digest,
                    crashes: record.crashes,
                    left: record.left(now),
                });
            }
        }
        self.bound(now);
        Some(held)
    }

    /// Takes in what another node knows of a request; `true` when that is news.
    pub fn learn(&mut self, held: QuarantinedRequest, now: BootInstant) -> bool {
        if self.was_cleared(held.digest, now) {
            return false;
        }
        let record = self.records.entry(held.digest);
        let record = record.or_insert_with(|| Record::suspect(now));
        let is_longer = !held.left.is_zero() && record.left(now) + TRIAL / 2 < held.left;
        let is_news = is_longer || record.crashes < held.crashes;
        record.crashes = record.crashes.max(held.crashes);
        if is_longer {
            record.hold(held.left.min(HOLDS[HOLDS.len() - 1]), now);
        }
        self.bound(now);
        is_news
    }

    /// The hold of a request, if any of its digests is held back.
    #[must_use]
    pub fn held(&self, digests: &[RequestDigest], now: BootInstant) -> Option<QuarantinedRequest> {
        digests.iter().find_map(|digest| {
            let record = self.records.get(digest)?;
            record.is_quarantined(now).then(|| QuarantinedRequest {
                digest: *digest,
                crashes: record.crashes,
                left: record.released_at.saturating_duration_since(now),
            })
        })
    }

    /// A request is about to run here. If it was held back before, this run tries it: it is held for a
    /// moment more, here and by those that are told.
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
            if record.quarantined_until.is_none() || record.is_quarantined(now) {
                continue;
            }
            record.hold(TRIAL, now);
            trials.push(QuarantinedRequest {
                digest: *digest,
                crashes: record.crashes,
                left: TRIAL,
            });
        }
        trials
    }

    /// A run of a request was answered: it is no suspect any more. `true` when it was one.
    pub fn clear(&mut self, digest: RequestDigest, now: BootInstant) -> bool {
        if self.records.remove(&digest).is_none() {
            return false;
        }
        if self.cleared.len() >= MAX_CLEARED {
            self.cleared.pop_front();
        }
        self.cleared.push_back((digest, now));
        true
    }

    fn was_cleared(&self, digest: RequestDigest, now: BootInstant) -> bool {
        self.cleared.iter().any(|(cleared, at)| {
            *cleared == digest && now.saturating_duration_since(*at) < CLEARED_FOR
        })
    }

    /// All requests that are held back.
    #[must_use]
    pub fn all_held(&self, now: BootInstant) -> Vec<QuarantinedRequest> {
        let held = self
            .records
            .iter()
            .filter(|(_, record)| record.is_quarantined(now));
        held.map(|(digest, record)| QuarantinedRequest {
            digest: *digest,
            crashes: record.crashes,
            left: record.left(now),
        })
        .filter(|held| !held.left.is_zero())
        .collect()
    }

    /// What a node that may have lost it has to know: requests that are held back, and suspects of one crash
    /// less. Those with the most crashes, where there are many.
    #[must_use]
    pub fn worth_keeping(&self, now: BootInstant) -> Vec<QuarantinedRequest> {
        let is_kept = |record: &Record| record.crashes + 1 >= CRASHES_TO_QUARANTINE;
        let kept = self.records.iter().filter(|(_, record)| is_kept(record));
        let mut kept: Vec<_> = kept
            .map(|(digest, record)| QuarantinedRequest {
                digest: *digest,
                crashes: record.crashes,
                left: record.left(now),
            })
            .collect();
        kept.sort_by_key(|held| std::cmp::Reverse((held.crashes, held.left)));
        kept.truncate(MAX_HELD);
        kept
    }

    /// Forgets what is too old.
    pub fn forget(&mut self, now: BootInstant) {
        self.records.retain(|_, record| record.is_remembered(now));
    }

    /// Keeps the table within its bounds: those with the fewest crashes go first, the oldest of them
    /// before the others.
    fn bound(&mut self, now: BootInstant) {
        let held = self
            .records
            .values()
            .filter(|record| record.is_quarantined(now));
        let too_many_held = held.count().saturating_sub(MAX_HELD);
        let too_many = self.records.len().saturating_sub(MAX_REQUESTS);
        if too_many_held == 0 && too_many == 0 {
            return;
        }
        self.forget(now);
        let mut all: Vec<_> = self.records.iter().collect();
        all.sort_by_key(|(_, record)| (record.crashes, record.last_crash));
        let held = all.iter().filter(|(_, record)| record.is_quarantined(now));
        let held = held.take(too_many_held).map(|(digest, _)| **digest);
        let excess = all.len().saturating_sub(MAX_REQUESTS);
        let oldest = all[..excess].iter().map(|(digest, _)| **digest);
        let gone: Vec<RequestDigest> = held.chain(oldest).collect();
        for digest in gone {
            self.records.remove(&digest);
        }
    }
}
