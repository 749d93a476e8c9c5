//! Recently counted crash reports and recently cleared requests, kept to ignore duplicate and late messages.

use std::{collections::VecDeque, time::Duration};

use crate::{clock::BootInstant, protocol::RequestDigest};

/// Bounds memory, at 8 bytes per report.
const MAX_REPORTS: usize = 512;
/// Bounds memory, at 32 bytes per request.
const MAX_CLEARED_REQUESTS: usize = 1024;
/// Time after a clearing during which quarantine records from other nodes are ignored as outdated.
const CLEARED_TTL: Duration = Duration::from_secs(60);

/// Ids of counted crash reports. A report arrives over several links but must count only once.
#[derive(Debug, Default)]
pub(super) struct CountedReports(VecDeque<u64>);

impl CountedReports {
    /// Adds a report id. Returns `false` if the report was already counted.
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

/// Requests cleared by an answer, with the time of the clearing.
#[derive(Debug, Default)]
pub(super) struct ClearedRequests(VecDeque<(RequestDigest, BootInstant)>);

impl ClearedRequests {
    pub(super) fn insert(&mut self, digest: RequestDigest, now: BootInstant) {
        if self.0.len() >= MAX_CLEARED_REQUESTS {
            self.0.pop_front();
        }
        self.0.push_back((digest, now));
    }

    /// Returns whether a request was cleared within [`CLEARED_TTL`].
    pub(super) fn contains(&self, digest: RequestDigest, now: BootInstant) -> bool {
        self.0.iter().any(|(cleared, cleared_at)| {
            *cleared == digest && now.saturating_duration_since(*cleared_at) < CLEARED_TTL
        })
    }
}
