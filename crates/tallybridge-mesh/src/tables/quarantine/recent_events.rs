//! Reports and clearings of the last minutes, so that what arrives twice or late changes nothing.

use std::{collections::VecDeque, time::Duration};

use crate::{clock::BootInstant, protocol::RequestDigest};

/// Reports that are remembered, 8 bytes each. Origin not recorded.
const MAX_REPORTS: usize = 512;
/// Cleared requests that are remembered, 32 bytes each. Origin not recorded.
const MAX_CLEARED: usize = 1024;
/// Time for which a cleared request is not quarantined by what other nodes still report of it.
/// Origin not recorded.
const CLEARED_TTL: Duration = Duration::from_secs(60);

/// Crash reports that were counted, by id: a report arrives over several links and counts once.
#[derive(Debug, Default)]
pub(super) struct CountedReports(VecDeque<u64>);

impl CountedReports {
    /// Remembers a report; `false` for one that was counted before.
    pub(super) fn insert(&mut self, id: u64) -> bool {
        if self.0.contains(&id) {
            return false;
        }
        if self.0.len() >= MAX_REPORTS {
            self.0.pop_front();
        }
        self.0.push_back(id);
        true
    }
}

/// Requests that an answer cleared, with the time of it.
#[derive(Debug, Default)]
pub(super) struct ClearedRequests(VecDeque<(RequestDigest, BootInstant)>);

impl ClearedRequests {
    /// Remembers a request that was cleared.
    pub(super) fn insert(&mut self, digest: RequestDigest, now: BootInstant) {
        if self.0.len() >= MAX_CLEARED {
            self.0.pop_front();
        }
        self.0.push_back((digest, now));
    }

    /// Whether a request was cleared within [`CLEARED_TTL`].
    pub(super) fn contains(&self, digest: RequestDigest, now: BootInstant) -> bool {
        self.0.iter().any(|(cleared, at)| {
            *cleared == digest && now.saturating_duration_since(*at) < CLEARED_TTL
        })
    }
}
