//! Which start of the back end is the current one, and from which a report comes.
//!
//! **Rule.** Of two starts under one id the later one counts, by the time at which each says that it
//! began. A start that says that it began before the current one is believed to be later once it has
//! reported for [`BELIEVE_EARLIER_AFTER`] while the current one said nothing, as its clock was set back.
//!
//! **Inputs.** Id of each report, and when its start began, in Unix milliseconds of the back end's clock
//! or unknown. Reports may come late and out of order.
//!
//! **Output.** [`Reporter`].
//!
//! **Why.** A back end may start again under its id, and what was learned of the start before, or was
//! dispatched to it, no longer holds. Comparing times alone would make a start look old for ever once
//! its clock was set back; counting lost connections takes a back end that is back within 5 ms for the
//! same start.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::tables::backend::incarnation::Incarnation;

/// Time after which a start that says that it began earlier is believed to be later. Late reports of an
/// older start come together, and between those of the current one. Origin of the figure not recorded.
const BELIEVE_EARLIER_AFTER: Duration = Duration::from_millis(1000);
/// Starts of the current id that are remembered as over: bounds the memory. Origin not recorded.
const REMEMBERED: usize = 16;

/// Where a report comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reporter {
    /// The current start, as far as the report says.
    Current,
    /// A later start under the same id.
    Later,
    /// A start under the same id that is over, or seems so.
    Earlier,
    /// Another id.
    Other,
}

/// A start that says that it began before the current one.
#[derive(Debug, Clone, Copy)]
struct Doubted {
    started_at_ms: u64,
    /// When its first report came since the current start last reported.
    since: Instant,
}

/// The current start of the back end, and those under its id that are over.
#[derive(Debug, Default)]
pub(super) struct Starts {
    current: Option<Incarnation>,
    /// When the current start began, in Unix milliseconds of the back end's clock, if known.
    started_at_ms: Option<u64>,
    /// When each start of the same id that is over began, the oldest first.
    over: Vec<u64>,
    doubted: Option<Doubted>,
    /// Starts so far, of all ids.
    count: u64,
}

impl Starts {
    /// The current start, if a back end has ever been verified.
    pub(super) const fn current(&self) -> Option<&Incarnation> {
        self.current.as_ref()
    }

    /// When the current start began, in Unix milliseconds of the back end's clock, if known.
    pub(super) const fn started_at_ms(&self) -> Option<u64> {
        self.started_at_ms
    }

    /// Whether the current start has this id.
    pub(super) fn is_current(&self, id: &str) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.id() == id)
    }

    /// Whether a start of the current id is known to be over.
    pub(super) fn is_over(&self, started_at_ms: Option<u64>) -> bool {
        started_at_ms.is_some_and(|started| self.over.contains(&started))
    }

    /// From which start a report comes; learns when the current one began.
    pub(super) fn reporter(
        &mut self,
        id: &str,
        started_at_ms: Option<u64>,
        now: Instant,
    ) -> Reporter {
        if !self.is_current(id) {
            return Reporter::Other;
        }
        let Some(started) = started_at_ms else {
            return Reporter::Current;
        };
        let current = *self.started_at_ms.get_or_insert(started);
        if started == current {
            self.doubted = None;
            return Reporter::Current;
        }
        if self.over.contains(&started) {
            return Reporter::Earlier;
        }
        if started > current || self.is_believed(started, now) {
            return Reporter::Later;
        }
        Reporter::Earlier
    }

    /// Whether a start that says that it began earlier is later all the same.
    fn is_believed(&mut self, started_at_ms: u64, now: Instant) -> bool {
        let known = self.doubted;
        let known = known.filter(|doubted| doubted.started_at_ms == started_at_ms);
        let doubted = known.unwrap_or(Doubted {
            started_at_ms,
            since: now,
        });
        self.doubted = Some(doubted);
        now.saturating_duration_since(doubted.since) >= BELIEVE_EARLIER_AFTER
    }

    /// Another start under the same id takes the place of the current one, which is over and is
    /// returned.
    pub(super) fn restart(&mut self, started_at_ms: Option<u64>) -> Option<Incarnation> {
        let before = self.current.clone()?;
        if self.over.len() == REMEMBERED {
            self.over.remove(0);
        }
        self.over.extend(self.started_at_ms);
        self.begin(before.id().into(), started_at_ms);
        Some(before)
    }

    /// A start under another id takes the place of the current one.
    pub(super) fn replace(&mut self, id: &str, started_at_ms: Option<u64>) {
        self.begin(id.into(), started_at_ms);
        self.over.clear();
    }

    fn begin(&mut self, id: Arc<str>, started_at_ms: Option<u64>) {
        self.count += 1;
        self.current = Some(Incarnation::new(id, self.count));
        self.started_at_ms = started_at_ms;
        self.doubted = None;
    }
}
