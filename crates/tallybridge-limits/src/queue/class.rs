//! The waiting calls of one class.

use std::collections::BTreeSet;
use std::time::Instant;

use super::settings::QueueSettings;

/// Arrival and ticket number of a waiting call.
pub(super) type Position = (Instant, u64);

/// The waiting calls of one class in order of arrival.
#[derive(Debug, Clone, Default)]
pub(super) struct ClassQueue {
    order: BTreeSet<Position>,
    occupied_since: Option<Instant>,
}

impl ClassQueue {
    /// Adds a call.
    pub(super) fn insert(&mut self, position: Position, now: Instant) {
        self.occupied_since.get_or_insert(now);
        self.order.insert(position);
    }

    /// Removes a call.
    pub(super) fn remove(&mut self, position: Position) {
        self.order.remove(&position);
        if self.order.is_empty() {
            self.occupied_since = None;
        }
    }

    /// Number of calls.
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether the queue has not been empty for the interval and its oldest call waited longer than
    /// the target delay.
    ///
    /// A queue that empties from time to time absorbs a burst; one that does not is too long
    /// ("Controlling Queue Delay", Nichols and Jacobson, ACM Queue 2012; the test for emptiness
    /// is that of "Fail at Scale", Maurer, ACM Queue 2015). The second condition keeps a short
    /// queue that is seldom empty in order: newest first would let its oldest calls expire.
    pub(super) fn is_standing(&self, settings: &QueueSettings, now: Instant) -> bool {
        let is_occupied = self
            .occupied_since
            .is_some_and(|since| now.saturating_duration_since(since) >= settings.interval);
        let is_late = self.oldest().is_some_and(|(arrived, _)| {
            now.saturating_duration_since(arrived) > settings.target_delay
        });
        is_occupied && is_late
    }

    /// The call to run next: the earliest, or the newest under a standing queue, which still has
    /// the most of its time left.
    pub(super) fn next(&self, standing: bool) -> Option<Position> {
        if standing {
            self.order.last().copied()
        } else {
            self.order.first().copied()
        }
    }

    /// The call that would run last.
    pub(super) fn least(&self, standing: bool) -> Option<Position> {
        self.next(!standing)
    }

    /// The call that waited longest.
    pub(super) fn oldest(&self) -> Option<Position> {
        self.order.first().copied()
    }
}
