//! What a node believes of the back end beside it.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{departures::Departures, incarnation::Incarnation};
use crate::platform::{InstanceReport, ReportedState};

/// Time after which a back end that could not be reached is tried again.
const RETRY_UNREACHABLE: Duration = Duration::from_millis(400);
/// A start that says that it began before the one that is known, and was never heard of, is believed
/// once it has reported for so long while the known one said nothing: its clock was set back. Reports of
/// an older start that were held up come together, and between those of the one that runs.
const BELIEVE_EARLIER_AFTER: Duration = Duration::from_millis(1000);
/// Starts of an id that are remembered as over.
const REMEMBERED_STARTS: usize = 16;

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
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportEffect {
    /// Nothing that others must know.
    Nothing,
    /// The back end must be asked who it is before it gets work.
    Verify,
    /// The back end's state changed.
    Changed,
    /// The back end has started again under its id: the start before it is over.
    Restarted(Ended),
}

/// A start of the back end that is over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The start.
    pub incarnation: Incarnation,
    /// Whether it had said that it leaves.
    pub had_left: bool,
}

/// Where a report stands to the start that is known.
enum Reporter {
    /// It is of that start, or tells nothing else.
    Known,
    /// It is of a later one under the same id.
    Later,
    /// It is of one that is over, or seems so.
    Earlier,
    /// It is of another id.
    Other,
}

/// A start that says that it began before the one that is known.
#[derive(Debug)]
struct Doubted {
    born: u64,
    since: Instant,
}

/// The back end beside this node.
#[derive(Debug)]
pub struct LocalInstance {
    state: InstanceState,
    current: Option<Incarnation>,
    /// When the current start began, in Unix milliseconds of the back end's clock, if it has told.
    born: Option<u64>,
    /// Starts of the same id that are over, by when they began.
    over: Vec<u64>,
    doubted: Option<Doubted>,
    /// Id and beginning in the last report of a back end that is to be verified.
    announced: Option<(String, Option<u64>)>,
    starts: u64,
    sequence: u64,
    slots: u32,
    cold_until: Option<Instant>,
    leavers: Departures,
}

impl Default for LocalInstance {
    fn default() -> Self {
        Self {
            state: InstanceState::Unknown,
            current: None,
            born: None,
            over: Vec::new(),
            doubted: None,
            announced: None,
            starts: 0,
            sequence: 0,
            slots: 0,
            cold_until: None,
            leavers: Departures::default(),
        }
    }
}

impl LocalInstance {
    /// Its state.
    #[must_use]
    pub fn state(&self) -> InstanceState {
        self.state
    }

    /// The start that is known, whatever its state.
    #[must_use]
    pub fn current(&self) -> Option<&Incarnation> {
        self.current.as_ref()
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

    /// The start that may be handed work now.
    #[must_use]
    pub fn takes_work(&self, now: Instant) -> Option<Incarnation> {
        let takes = match self.state {
            InstanceState::Ready => true,
            InstanceState::Unreachable { retry_at } => now >= retry_at,
            InstanceState::Unknown | InstanceState::Leaving => false,
        };
        self.current.as_ref().filter(|_| takes).cloned()
    }

    /// Takes in a report. Once a start said that it leaves, no report makes it ready again: reports
    /// may come late and out of order.
    pub fn report(&mut self, report: &InstanceReport, now: Instant) -> ReportEffect {
        let reporter = self.reporter(report, now);
        let ended = match reporter {
            Reporter::Later => self.restart(report.born, now),
            _ => None,
        };
        let effect = match (reporter, report.state) {
            (Reporter::Earlier, ReportedState::Ready) => ReportEffect::Nothing,
            (Reporter::Other, ReportedState::Ready) => self.announce(report, now),
            (_, ReportedState::Ready) => self.ready(report, now),
            (reporter, ReportedState::Leaving) => self.leave(&reporter, report, now),
        };
        ended.map_or(effect, ReportEffect::Restarted)
    }

    fn reporter(&mut self, report: &InstanceReport, now: Instant) -> Reporter {
        if self.current_id() != Some(&*report.instance) {
            return Reporter::Other;
        }
        let Some(born) = report.born else {
            return Reporter::Known;
        };
        let known = *self.born.get_or_insert(born);
        if born == known {
            self.doubted = None;
            return Reporter::Known;
        }
        if self.over.contains(&born) {
            return Reporter::Earlier;
        }
        if born > known || self.is_believed(born, now) {
            return Reporter::Later;
        }
        Reporter::Earlier
    }

    /// Whether a start that says that it began earlier is later all the same.
    fn is_believed(&mut self, born: u64, now: Instant) -> bool {
        let doubted = self.doubted.take().filter(|doubted| doubted.born == born);
        let doubted = doubted.unwrap_or(Doubted { born, since: now });
        let since = doubted.since;
        self.doubted = Some(doubted);
        now.saturating_duration_since(since) >= BELIEVE_EARLIER_AFTER
    }

    /// Another start has the place of the current one, which is over.
    fn restart(&mut self, born: Option<u64>, now: Instant) -> Option<Ended> {
        let before = self.current.clone()?;
        let had_left = self.leavers.have(before.id(), self.born, now);
        if self.over.len() == REMEMBERED_STARTS {
            self.over.remove(0);
        }
        self.over.extend(self.born);
        self.begin(before.id().into(), born);
        self.state = InstanceState::Unknown;
        Some(Ended {
            incarnation: before,
            had_left,
        })
    }

    fn begin(&mut self, id: Arc<str>, born: Option<u64>) {
        self.starts += 1;
        self.current = Some(Incarnation::new(id, self.starts));
        self.born = born;
        self.doubted = None;
        self.sequence = 0;
        self.cold_until = None;
    }

    fn leave(
        &mut self,
        reporter: &Reporter,
        report: &InstanceReport,
        now: Instant,
    ) -> ReportEffect {
        let is_known = matches!(reporter, Reporter::Known | Reporter::Later);
        let born = match is_known {
            true => report.born.or(self.born),
            false => report.born,
        };
        self.leavers.add(&report.instance, born, now);
        // A start that seems to be over may be the one that runs, behind a clock that was set back: it
        // gets no work until the one that is known reports again.
        let is_over = report.born.is_some_and(|born| self.over.contains(&born));
        let is_here = self.current.is_none() || (self.is_current(&report.instance) && !is_over);
        if !is_here || self.state == InstanceState::Leaving {
            return ReportEffect::Nothing;
        }
        self.state = InstanceState::Leaving;
        ReportEffect::Changed
    }

    fn announce(&mut self, report: &InstanceReport, now: Instant) -> ReportEffect {
        if self.leavers.have(&report.instance, report.born, now) {
            return ReportEffect::Nothing;
        }
        self.announced = Some((report.instance.clone(), report.born));
        ReportEffect::Verify
    }

    fn ready(&mut self, report: &InstanceReport, now: Instant) -> ReportEffect {
        if self.leavers.have(&report.instance, self.born, now) {
            return ReportEffect::Nothing;
        }
        if report.sequence < self.sequence {
            return ReportEffect::Nothing;
        }
        self.sequence = report.sequence;
        let slots_before = std::mem::replace(&mut self.slots, report.slots);
        self.cold_until = Some(now + report.cold);
        match self.state {
            InstanceState::Unknown | InstanceState::Leaving => return ReportEffect::Verify,
            InstanceState::Unreachable { .. } => self.state = InstanceState::Ready,
            InstanceState::Ready if slots_before == self.slots => return ReportEffect::Nothing,
            InstanceState::Ready => {}
        }
        ReportEffect::Changed
    }

    /// The back end itself answered a health check. `true` when that changed something.
    pub fn verified(&mut self, id: &str, is_healthy: bool, now: Instant) -> bool {
        let is_other = self.current_id() != Some(id);
        if is_other {
            let announced = self
                .announced
                .take()
                .filter(|(announced, _)| announced == id);
            self.begin(id.into(), announced.and_then(|(_, born)| born));
            self.over.clear();
        }
        let state = if self.leavers.have(id, self.born, now) {
            InstanceState::Leaving
        } else if is_healthy {
            InstanceState::Ready
        } else {
            InstanceState::Unknown
        };
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

    /// Whether the back end has started again under its id since a start.
    #[must_use]
    pub fn is_restarted_after(&self, incarnation: &Incarnation) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.id() == incarnation.id() && current != incarnation)
    }

    /// Whether the current start said that it leaves.
    #[must_use]
    pub fn has_left(&self, now: Instant) -> bool {
        let id = self.current_id();
        id.is_some_and(|id| self.leavers.have(id, self.born, now))
    }

    fn current_id(&self) -> Option<&str> {
        self.current.as_ref().map(Incarnation::id)
    }

    fn is_current(&self, id: &str) -> bool {
        self.current_id() == Some(id)
    }
}
