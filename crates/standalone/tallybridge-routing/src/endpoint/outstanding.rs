//! Start times of the attempts in flight at one endpoint.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Start times of the attempts in flight, oldest first.
#[derive(Debug, Clone, Default)]
pub struct Outstanding {
    starts: VecDeque<Instant>,
}

impl Outstanding {
    /// Returns the number of attempts in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Returns whether no attempt is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Records an attempt that starts at `now`.
    pub fn start(&mut self, now: Instant) {
        let latest = self.starts.back().copied();
        // Keeps the start times sorted if a caller passes an earlier time than before.
        self.starts
            .push_back(latest.map_or(now, |latest| latest.max(now)));
    }

    /// Removes the attempt that started nearest to `latency` ago and returns its start.
    pub fn finish_after(&mut self, latency: Duration, now: Instant) -> Option<Instant> {
        let start = now.checked_sub(latency).unwrap_or(now);
        let next_index = self.starts.partition_point(|other| *other < start);
        let nearest_index = if next_index == self.starts.len() {
            next_index.checked_sub(1)?
        } else if next_index > 0
            && start - self.starts[next_index - 1] < self.starts[next_index] - start
        {
            next_index - 1
        } else {
            next_index
        };
        self.starts.remove(nearest_index)
    }

    /// Removes the oldest attempt and returns its start. Callers use it when the latency is
    /// unknown: removing a newer attempt could leave the start of a finished one, which would
    /// become overdue.
    pub fn finish_oldest(&mut self) -> Option<Instant> {
        self.starts.pop_front()
    }

    /// Returns the start of the oldest attempt that started at or after `since`. With `None`, all
    /// attempts count.
    #[must_use]
    pub fn oldest_since(&self, since: Option<Instant>) -> Option<Instant> {
        self.starts.get(self.index_since(since)).copied()
    }

    /// Counts the attempts that started at or after `since`. With `None`, all attempts count.
    #[must_use]
    pub fn count_since(&self, since: Option<Instant>) -> usize {
        self.len() - self.index_since(since)
    }

    /// Counts the attempts that started at or after `since` and before `before`. With `None` as
    /// `since`, there is no lower bound.
    #[must_use]
    pub fn count_between(&self, since: Option<Instant>, before: Instant) -> usize {
        let end = self.starts.partition_point(|start| *start < before);
        end.saturating_sub(self.index_since(since))
    }

    fn index_since(&self, since: Option<Instant>) -> usize {
        since.map_or(0, |since| {
            self.starts.partition_point(|start| *start < since)
        })
    }
}
