//! What peers say that the back end beside this node announced before this process started.
//!
//! Peers may say it before a health check tells which incarnation runs, so the notices are kept by the
//! id of the back end until then.

use std::collections::VecDeque;

use crate::protocol::BackendNotice;

/// Bounds the memory use.
const MAX_NOTICES: usize = 16;

/// Notices about incarnations that no health check has verified, oldest first.
#[derive(Debug, Default)]
pub struct EarlierNotices(VecDeque<BackendNotice>);

impl EarlierNotices {
    /// Keeps a notice. Of several about one incarnation, the lowest rate limit is kept.
    pub fn record(&mut self, mut notice: BackendNotice) {
        let is_same = |other: &BackendNotice| {
            other.instance == notice.instance && other.started_at_ms == notice.started_at_ms
        };
        if let Some(position) = self.0.iter().position(is_same)
            && let Some(other) = self.0.remove(position)
        {
            let limits = notice.rate_limit.into_iter().chain(other.rate_limit);
            notice.rate_limit = limits.reduce(f64::min);
            notice.is_leaving |= other.is_leaving;
        }
        if self.0.len() == MAX_NOTICES {
            self.0.pop_front();
        }
        self.0.push_back(notice);
    }

    /// Removes and returns the notices about a back end that was verified.
    pub fn take(&mut self, instance: &str) -> Vec<BackendNotice> {
        let (matching, others) = self
            .0
            .drain(..)
            .partition(|notice| notice.instance == instance);
        self.0 = others;
        Vec::from(matching)
    }
}
