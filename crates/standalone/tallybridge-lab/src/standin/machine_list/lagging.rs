//! A list that shows each change only after a lag.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

use super::machine::Machine;

/// A list that was put and has not shown up yet.
#[derive(Debug)]
struct Pending {
    shown_at: Instant,
    machines: Vec<Machine>,
}

/// The machines shown and those still to be shown.
#[derive(Debug)]
pub struct LaggingList {
    lag: Duration,
    shown: Vec<Machine>,
    pending: VecDeque<Pending>,
}

impl LaggingList {
    /// An empty list.
    pub const fn new(lag: Duration) -> Self {
        Self {
            lag,
            shown: Vec::new(),
            pending: VecDeque::new(),
        }
    }

    /// Replaces the list, to show up after the lag.
    pub fn put(&mut self, machines: Vec<Machine>, now: Instant) {
        self.pending.push_back(Pending {
            shown_at: now + self.lag,
            machines,
        });
    }

    /// The machines shown now.
    pub fn shown(&mut self, now: Instant) -> &[Machine] {
        while self
            .pending
            .front()
            .is_some_and(|next| next.shown_at <= now)
        {
            if let Some(pending) = self.pending.pop_front() {
                self.shown = pending.machines;
            }
        }
        &self.shown
    }
}
