//! Ids of back ends that reported to this node as members of its service.
//!
//! A health check answers with an id but no service. After the back end beside the node has ended, its
//! address may be reused by a back end of another service, whose health check also succeeds.

use std::collections::VecDeque;

/// Bounds the memory use.
const MAX_REPORTED_IDS: usize = 16;

/// The most recently reported ids, oldest first.
#[derive(Debug, Default)]
pub(super) struct ReportedIds(VecDeque<String>);

impl ReportedIds {
    pub(super) fn record(&mut self, id: &str) {
        if self.0.back().is_some_and(|last| last == id) {
            return;
        }
        self.0.retain(|reported| reported != id);
        if self.0.len() == MAX_REPORTED_IDS {
            self.0.pop_front();
        }
        self.0.push_back(id.to_owned());
    }

    pub(super) fn contains(&self, id: &str) -> bool {
        self.0.iter().any(|reported| reported == id)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
