//! Tracks the current incarnation of the back end, and finds out which incarnation sent a report.
//!
//! A back end may restart under its id, which invalidates everything that was learned about the previous
//! incarnation. Reports carry the start time of their sender by the clock of the back end, or none, and
//! may arrive late and out of order. Of two incarnations of one id, the one with the later start time is
//! current. An earlier start time is accepted as a restart after a clock rollback if reports with it
//! arrive for [`ROLLBACK_CONFIRMATION_DELAY`] without a report of the current incarnation between them.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::tables::backend::incarnation::Incarnation;

/// Long enough for the late reports of an ended incarnation to have arrived.
const ROLLBACK_CONFIRMATION_DELAY: Duration = Duration::from_millis(1000);
/// Bounds the memory use.
const MAX_ENDED_START_TIMES: usize = 16;

/// The sender of a report, relative to the current incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reporter {
    /// The current incarnation; also assumed for a report without a start time.
    Current,
    /// A newer incarnation of the current id.
    Newer,
    /// An incarnation of the current id that has ended or appears to be older.
    Older,
    /// A back end with another id.
    OtherId,
}

/// An earlier start time than that of the current incarnation, possibly due to a clock that was set back.
#[derive(Debug, Clone, Copy)]
struct PossibleRollback {
    started_at_ms: u64,
    /// Arrival of the first report with this start time since the last report of the current incarnation.
    since: Instant,
}

/// The current incarnation, and the start times of earlier ones of the same id.
#[derive(Debug, Default)]
pub(super) struct IncarnationTracker {
    current: Option<Incarnation>,
    /// Start time of the current incarnation in Unix milliseconds of the back end's clock, if known.
    started_at_ms: Option<u64>,
    /// Start times of ended incarnations of the current id, in the order in which they ended.
    ended_start_times_ms: Vec<u64>,
    possible_rollback: Option<PossibleRollback>,
    /// Number of incarnations of all ids so far.
    incarnation_count: u64,
}

impl IncarnationTracker {
    /// Returns the current incarnation, or `None` before the first health check was answered.
    pub(super) const fn current(&self) -> Option<&Incarnation> {
        self.current.as_ref()
    }

    pub(super) const fn started_at_ms(&self) -> Option<u64> {
        self.started_at_ms
    }

    pub(super) fn is_current_id(&self, id: &str) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.id() == id)
    }

    /// Returns whether an incarnation of the current id with this start time is known to have ended.
    pub(super) fn has_ended(&self, started_at_ms: Option<u64>) -> bool {
        started_at_ms.is_some_and(|started| self.ended_start_times_ms.contains(&started))
    }

    /// Finds out which incarnation sent a report. Adopts the start time of the report if that of the
    /// current incarnation is unknown.
    pub(super) fn identify_reporter(
        &mut self,
        id: &str,
        started_at_ms: Option<u64>,
        now: Instant,
    ) -> Reporter {
        if !self.is_current_id(id) {
            return Reporter::OtherId;
        }
        let Some(started) = started_at_ms else {
            return Reporter::Current;
        };
        let current = *self.started_at_ms.get_or_insert(started);
        if started == current {
            self.possible_rollback = None;
            return Reporter::Current;
        }
        if self.ended_start_times_ms.contains(&started) {
            return Reporter::Older;
        }
        if started > current || self.confirms_rollback(started, now) {
            return Reporter::Newer;
        }
        Reporter::Older
    }

    /// Records an earlier start time, and returns whether it is due to a clock rollback.
    fn confirms_rollback(&mut self, started_at_ms: u64, now: Instant) -> bool {
        let recorded = self.possible_rollback;
        let recorded = recorded.filter(|rollback| rollback.started_at_ms == started_at_ms);
        let rollback = recorded.unwrap_or(PossibleRollback {
            started_at_ms,
            since: now,
        });
        self.possible_rollback = Some(rollback);
        now.saturating_duration_since(rollback.since) >= ROLLBACK_CONFIRMATION_DELAY
    }

    /// Replaces the current incarnation by a new one of the same id, and returns the previous one.
    pub(super) fn restart(&mut self, started_at_ms: Option<u64>) -> Option<Incarnation> {
        let previous = self.current.clone()?;
        if self.ended_start_times_ms.len() == MAX_ENDED_START_TIMES {
            self.ended_start_times_ms.remove(0);
        }
        self.ended_start_times_ms.extend(self.started_at_ms);
        self.set_current(previous.id().into(), started_at_ms);
        Some(previous)
    }

    /// Replaces the current incarnation by one of another id.
    pub(super) fn replace(&mut self, id: &str, started_at_ms: Option<u64>) {
        self.set_current(id.into(), started_at_ms);
        self.ended_start_times_ms.clear();
    }

    fn set_current(&mut self, id: Arc<str>, started_at_ms: Option<u64>) {
        self.incarnation_count += 1;
        self.current = Some(Incarnation::new(id, self.incarnation_count));
        self.started_at_ms = started_at_ms;
        self.possible_rollback = None;
    }
}
