//! Queue of the waiting calls of one criticality class.

use std::collections::BTreeSet;
use std::time::Instant;

use super::settings::QueueSettings;

/// Arrival time and ticket number of a waiting call, which sort calls by arrival.
pub(super) type Position = (Instant, u64);

/// Waiting calls of one class in order of arrival.
#[derive(Debug, Clone, Default)]
pub(super) struct ClassQueue {
    positions: BTreeSet<Position>,
    occupied_since: Option<Instant>,
}

impl ClassQueue {
    pub(super) fn insert(&mut self, position: Position, now: Instant) {
        self.occupied_since.get_or_insert(now);
        self.positions.insert(position);
    }

    pub(super) fn remove(&mut self, position: Position) {
        self.positions.remove(&position);
        if self.positions.is_empty() {
            self.occupied_since = None;
        }
    }

    pub(super) fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns `true` if the queue has not been empty for the interval and its oldest call has waited
    /// longer than the target delay.
    ///
    /// A queue that drains regularly absorbs bursts, while a standing queue only adds delay
    /// ("Controlling Queue Delay", Nichols and Jacobson, ACM Queue 2012). The emptiness criterion
    /// follows "Fail at Scale" (Maurer, ACM Queue 2015). The delay criterion keeps a short, rarely
    /// empty queue in arrival order, since serving the newest call first would expire its oldest calls.
    pub(super) fn is_standing(&self, settings: &QueueSettings, now: Instant) -> bool {
        let is_occupied = self
            .occupied_since
            .is_some_and(|since| now.saturating_duration_since(since) >= settings.interval);
        let is_delayed = self.oldest().is_some_and(|(arrived, _)| {
            now.saturating_duration_since(arrived) > settings.target_delay
        });
        is_occupied && is_delayed
    }

    /// Returns the call to run next: the oldest, or the newest in a standing queue because it has the
    /// most time left before its deadline.
    pub(super) fn next(&self, is_standing: bool) -> Option<Position> {
        if is_standing {
            self.positions.last().copied()
        } else {
            self.positions.first().copied()
        }
    }

    /// Returns the last call in serving order.
    pub(super) fn last_served(&self, is_standing: bool) -> Option<Position> {
        self.next(!is_standing)
    }

    pub(super) fn oldest(&self) -> Option<Position> {
        self.positions.first().copied()
    }
}
