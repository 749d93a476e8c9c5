//! What a node believes of the back end beside it.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::seam::{InstanceReport, ReportedState};

/// Instances that have left and are remembered, so that a late report can't revive them.
const REMEMBERED_LEAVERS: usize = 64;
/// Time after which a back end that could not be reached is tried again.
const RETRY_UNREACHABLE: Duration = Duration::from_millis(400);

/// Whether the back end takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// Not known yet: it is verified before it gets work.
    Unknown,
    /// It takes work.
    Ready,
    /// It is about to end: it gets no work.
    Leaving,
    /// It could not be reached.
    Unreachable {
        /// When it is tried again.
        retry_at: Instant,
    },
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportEffect {
    /// Nothing that others must know.
    Nothing,
    /// The back end must be asked who it is before it gets work.
    Verify,
    /// The back end's state changed.
    Changed,
}

/// The back end beside this node.
#[derive(Debug)]
pub struct LocalInstance {
    state: InstanceState,
    id: Option<Arc<str>>,
    sequence: u64,
    slots: u32,
    cold_until: Option<Instant>,
    left: VecDeque<String>,
}

impl Default for LocalInstance {
    fn default() -> Self {
        Self {
            state: InstanceState::Unknown,
            id: None,
            sequence: 0,
            slots: 0,
            cold_until: None,
            left: VecDeque::new(),
        }
    }
}

impl LocalInstance {
    /// Its state.
    #[must_use]
    pub fn state(&self) -> InstanceState {
        self.state
    }

    /// The instance that is known, whatever its state.
    #[must_use]
    pub fn id(&self) -> Option<&Arc<str>> {
        self.id.as_ref()
    }

    /// Requests that it works on at once; 0 while unknown.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Whether it is slow since it has just started.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// The instance that may be handed work now.
    #[must_use]
    pub fn takes_work(&self, now: Instant) -> Option<Arc<str>> {
        let takes = match self.state {
            InstanceState::Ready => true,
            InstanceState::Unreachable { retry_at } => now >= retry_at,
            InstanceState::Unknown | InstanceState::Leaving => false,
        };
        self.id.as_ref().filter(|_| takes).cloned()
    }

    /// Takes in a report. Once an instance said that it leaves, no report makes it ready again:
    /// reports may come late and out of order.
    pub fn report(&mut self, report: &InstanceReport, now: Instant) -> ReportEffect {
        match report.state {
            ReportedState::Leaving => self.leave(&report.instance),
            ReportedState::Ready => self.ready(report, now),
        }
    }

    fn leave(&mut self, instance: &str) -> ReportEffect {
        if !self.has_left(instance) {
            self.left.push_back(instance.to_owned());
            if self.left.len() > REMEMBERED_LEAVERS {
                self.left.pop_front();
            }
        }
        let is_current = self.id.as_deref().is_none_or(|id| id == instance);
        if !is_current || self.state == InstanceState::Leaving {
            return ReportEffect::Nothing;
        }
        self.state = InstanceState::Leaving;
        ReportEffect::Changed
    }

    fn ready(&mut self, report: &InstanceReport, now: Instant) -> ReportEffect {
        if self.has_left(&report.instance) {
            return ReportEffect::Nothing;
        }
        if self.id.as_deref() != Some(&report.instance) || self.state == InstanceState::Unknown {
            return ReportEffect::Verify;
        }
        if report.sequence < self.sequence {
            return ReportEffect::Nothing;
        }
        self.sequence = report.sequence;
        let before = (self.state, self.slots);
        self.slots = report.slots;
        self.cold_until = Some(now + report.cold);
        if matches!(self.state, InstanceState::Unreachable { .. }) {
            self.state = InstanceState::Ready;
        }
        if before == (self.state, self.slots) {
            return ReportEffect::Nothing;
        }
        ReportEffect::Changed
    }

    /// The back end itself answered a health check. `true` when that changed something.
    pub fn verified(&mut self, instance: &str, is_healthy: bool) -> bool {
        let state = if self.has_left(instance) {
            InstanceState::Leaving
        } else if is_healthy {
            InstanceState::Ready
        } else {
            InstanceState::Unknown
        };
        let is_other = self.id.as_deref() != Some(instance);
        if is_other {
            self.id = Some(instance.into());
            self.sequence = 0;
            self.cold_until = None;
        }
        let changed = is_other || self.state != state;
        self.state = state;
        changed
    }

    /// The back end could not be reached. `true` when that is news.
    pub fn unreachable(&mut self, now: Instant) -> bool {
        let is_news = self.state == InstanceState::Ready;
        if is_news || matches!(self.state, InstanceState::Unreachable { .. }) {
            let retry_at = now + RETRY_UNREACHABLE;
            self.state = InstanceState::Unreachable { retry_at };
        }
        is_news
    }

    /// The back end took a connection. `true` when that is news.
    pub fn reached(&mut self) -> bool {
        let is_news = matches!(self.state, InstanceState::Unreachable { .. });
        if is_news {
            self.state = InstanceState::Ready;
        }
        is_news
    }

    /// Another instance answered in the place of this one: it is verified anew.
    pub fn misdirected(&mut self) {
        if self.state != InstanceState::Leaving {
            self.state = InstanceState::Unknown;
        }
    }

    /// Whether an instance said that it leaves.
    #[must_use]
    pub fn has_left(&self, instance: &str) -> bool {
        self.left.iter().any(|left| left == instance)
    }
}
