//! Attempts in flight at one endpoint, by the time they started.

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
    /// Attempts in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Whether no attempt is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Counts an attempt that starts now.
    pub fn start(&mut self, now: Instant) {
        let latest = self.starts.back().copied();
        // A clock that steps back must not break the order.
        self.starts
            .push_back(latest.map_or(now, |latest| latest.max(now)));
    }

    /// Takes out the attempt that started nearest to `latency` ago.
    pub fn finish_after(&mut self, latency: Duration, now: Instant) -> Option<Instant> {
        let start = now.checked_sub(latency).unwrap_or(now);
        let above = self.starts.partition_point(|known| *known < start);
        let nearest = if above == self.starts.len() {
            above.checked_sub(1)?
        } else if above > 0 && start - self.starts[above - 1] < self.starts[above] - start {
            above - 1
        } else {
            above
        };
        self.starts.remove(nearest)
    }

    /// Takes out the oldest attempt, for one that ended without a latency: to take a newer one
    /// would leave a start behind that ages although its attempt has ended.
    pub fn finish_oldest(&mut self) -> Option<Instant> {
        self.starts.pop_front()
    }

    /// The oldest attempt that started at `from` or after.
    #[must_use]
    pub fn oldest_from(&self, from: Option<Instant>) -> Option<Instant> {
        self.starts.get(self.index_from(from)).copied()
    }

    /// Attempts that started at `from` or after.
    #[must_use]
    pub fn count_from(&self, from: Option<Instant>) -> usize {
        self.len() - self.index_from(from)
    }

    /// Attempts that started at `from` or after and before `before`.
    #[must_use]
    pub fn count_between(&self, from: Option<Instant>, before: Instant) -> usize {
        let end = self.starts.partition_point(|start| *start < before);
        end.saturating_sub(self.index_from(from))
    }

    fn index_from(&self, from: Option<Instant>) -> usize {
        from.map_or(0, |from| self.starts.partition_point(|start| *start < from))
    }
}
