//! What a node knows of the back end beside it, and whether that may be given work.
//!
//! **Rule.** A start of the back end gets work once it has answered a health check as healthy, until it
//! says that it leaves, can't be reached, or another start takes its place. A start that said that it
//! leaves never gets work again.
//!
//! **Inputs.** Reports of the back end, some 1.5 s apart, late or out of order; answers to health checks;
//! connections that it took, refused, or that another instance answered.
//!
//! **Output.** [`LocalInstance::takes_work`], and for reports the [`ReportEffect`] that the node acts on.
//!
//! **Why.** A report alone is no proof, since it may be late or of another start: health checks ask the
//! back end itself. The id alone is none either, as a back end may start again under it (`starts.rs`).
//!
//! It owns the identity of the current start, its state, and its slots as reported last. The node calls
//! it under its lock, and begins health checks and connections itself.

mod departures;
mod starts;
mod state;

use std::time::Duration;

use tokio::time::Instant;

pub use self::state::{EndedStart, InstanceState, ReportEffect};
use self::{
    departures::Departures,
    starts::{Reporter, Starts},
};
use super::incarnation::Incarnation;
use crate::platform::{InstanceReport, ReportedState};

/// Time after which a back end that could not be reached is tried again. Origin not recorded.
const RETRY_UNREACHABLE: Duration = Duration::from_millis(400);

/// A start under another id that has reported and is still to be verified.
#[derive(Debug)]
struct Announced {
    id: String,
    started_at_ms: Option<u64>,
}

/// The back end beside this node.
#[derive(Debug)]
pub struct LocalInstance {
    state: InstanceState,
    starts: Starts,
    announced: Option<Announced>,
    departures: Departures,
    /// Sequence number of the last report of the current start.
    sequence: u64,
    slots: u32,
}

impl Default for LocalInstance {
    fn default() -> Self {
        Self {
            state: InstanceState::Unknown,
            starts: Starts::default(),
            announced: None,
            departures: Departures::default(),
            sequence: 0,
            slots: 0,
        }
    }
}

impl LocalInstance {
    /// Its state.
    #[must_use]
    pub const fn state(&self) -> InstanceState {
        self.state
    }

    /// The start that is known, whatever its state.
    #[must_use]
    pub const fn current(&self) -> Option<&Incarnation> {
        self.starts.current()
    }

    /// Requests that it works on at once; 0 while unknown.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// The start that may be given work now.
    #[must_use]
    pub fn takes_work(&self, now: Instant) -> Option<Incarnation> {
        let takes = match self.state {
            InstanceState::Ready => true,
            InstanceState::Unreachable { retry_at } => now >= retry_at,
            InstanceState::Unknown | InstanceState::Leaving => false,
        };
        self.current().filter(|_| takes).cloned()
    }

    /// Whether the current start said that it leaves.
    #[must_use]
    pub fn has_left(&self, now: Instant) -> bool {
        let current = self.current();
        current.is_some_and(|current| self.is_departed(current.id(), now))
    }

    /// Whether the back end has started again under its id since a start.
    #[must_use]
    pub fn is_restarted_after(&self, incarnation: &Incarnation) -> bool {
        let current = self.current();
        current.is_some_and(|current| current.id() == incarnation.id() && current != incarnation)
    }

    /// Takes in a report. Once a start said that it leaves, no report makes it ready again: reports
    /// may come late and out of order.
    pub fn report(&mut self, report: &InstanceReport, now: Instant) -> ReportEffect {
        let started_at_ms = report.started_at_ms;
        let reporter = self.starts.reporter(&report.instance, started_at_ms, now);
        let ended = match reporter {
            Reporter::Later => self.restart(started_at_ms, now),
            Reporter::Current | Reporter::Earlier | Reporter::Other => None,
        };
        let effect = match (reporter, report.state) {
            (_, ReportedState::Leaving) => self.leave(reporter, report, now),
            (Reporter::Earlier, ReportedState::Ready) => ReportEffect::Nothing,
            (Reporter::Other, ReportedState::Ready) => self.announce(report, now),
            (Reporter::Current | Reporter::Later, ReportedState::Ready) => self.ready(report, now),
        };
        ended.map_or(effect, ReportEffect::Restarted)
    }

    fn restart(&mut self, started_at_ms: Option<u64>, now: Instant) -> Option<EndedStart> {
        let had_left = self.has_left(now);
        let incarnation = self.starts.restart(started_at_ms)?;
        self.sequence = 0;
        self.state = InstanceState::Unknown;
        Some(EndedStart {
            incarnation,
            had_left,
        })
    }

    fn leave(&mut self, reporter: Reporter, report: &InstanceReport, now: Instant) -> ReportEffect {
        let started_at_ms = match reporter {
            Reporter::Current | Reporter::Later => {
                report.started_at_ms.or(self.starts.started_at_ms())
            }
            Reporter::Earlier | Reporter::Other => report.started_at_ms,
        };
        self.departures.add(&report.instance, started_at_ms, now);
        if !self.may_be_here(report) || self.state == InstanceState::Leaving {
            return ReportEffect::Nothing;
        }
        self.state = InstanceState::Leaving;
        ReportEffect::Changed
    }

    /// Whether the start that reports may be the one that runs. One that seems older than the current
    /// start may be, behind a clock that was set back: the back end then gets no work until the current
    /// start reports again.
    fn may_be_here(&self, report: &InstanceReport) -> bool {
        let is_over = self.starts.is_over(report.started_at_ms);
        self.current().is_none() || (self.starts.is_current(&report.instance) && !is_over)
    }

    fn announce(&mut self, report: &InstanceReport, now: Instant) -> ReportEffect {
        let InstanceReport {
            instance,
            started_at_ms,
            ..
        } = report;
        if self.departures.contain(instance, *started_at_ms, now) {
            return ReportEffect::Nothing;
        }
        self.announced = Some(Announced {
            id: instance.clone(),
            started_at_ms: *started_at_ms,
        });
        ReportEffect::Verify
    }

    fn ready(&mut self, report: &InstanceReport, now: Instant) -> ReportEffect {
        if self.is_departed(&report.instance, now) || report.sequence < self.sequence {
            return ReportEffect::Nothing;
        }
        self.sequence = report.sequence;
        let slots_before = std::mem::replace(&mut self.slots, report.slots);
        match self.state {
            InstanceState::Unknown | InstanceState::Leaving => return ReportEffect::Verify,
            InstanceState::Unreachable { .. } => self.state = InstanceState::Ready,
            InstanceState::Ready if slots_before == self.slots => return ReportEffect::Nothing,
            InstanceState::Ready => {}
        }
        ReportEffect::Changed
    }

    /// The back end itself answered a health check under an id. Returns whether that changed its
    /// state or which instance it is.
    pub fn verified(&mut self, id: &str, is_healthy: bool, now: Instant) -> bool {
        let is_other = !self.starts.is_current(id);
        if is_other {
            self.replace(id);
        }
        let state = if self.is_departed(id, now) {
            InstanceState::Leaving
        } else if is_healthy {
            InstanceState::Ready
        } else {
            InstanceState::Unknown
        };
        let has_changed = is_other || self.state != state;
        self.state = state;
        has_changed
    }

    /// Another instance has the place of the current one.
    fn replace(&mut self, id: &str) {
        let announced = self.announced.take();
        let announced = announced.filter(|announced| announced.id == id);
        let started_at_ms = announced.and_then(|announced| announced.started_at_ms);
        self.starts.replace(id, started_at_ms);
        self.sequence = 0;
    }

    /// The back end could not be reached. Returns whether it was ready before.
    pub fn unreachable(&mut self, now: Instant) -> bool {
        let was_ready = self.state == InstanceState::Ready;
        if was_ready || matches!(self.state, InstanceState::Unreachable { .. }) {
            let retry_at = now + RETRY_UNREACHABLE;
            self.state = InstanceState::Unreachable { retry_at };
        }
        was_ready
    }

    /// The back end took a connection. Returns whether it was unreachable before.
    pub fn reached(&mut self) -> bool {
        let was_unreachable = matches!(self.state, InstanceState::Unreachable { .. });
        if was_unreachable {
            self.state = InstanceState::Ready;
        }
        was_unreachable
    }

    /// Another instance answered in the place of this one: it is verified anew.
    pub fn misdirected(&mut self) {
        if self.state != InstanceState::Leaving {
            self.state = InstanceState::Unknown;
        }
    }

    /// Whether the start that is current, if it has this id, said that it leaves.
    fn is_departed(&self, id: &str, now: Instant) -> bool {
        self.departures
            .contain(id, self.starts.started_at_ms(), now)
    }
}
