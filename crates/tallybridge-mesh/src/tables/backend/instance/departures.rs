//! Starts of back ends that said that they leave, so that a late report can't bring one back.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Departures that are remembered: bounds the memory. Origin not recorded.
const REMEMBERED: usize = 64;
/// Time for which an id that left stays out if its reports don't say when a start began, so that a new
/// start can't be told from a late report of the one that left. Many times as long as reports are late,
/// and as back ends serve on after their notice. Origin of the figure not recorded.
const UNIDENTIFIED_FOR: Duration = Duration::from_secs(60);

/// A start that left.
#[derive(Debug)]
struct Departure {
    id: String,
    /// When it began, in Unix milliseconds of the back end's clock, if known.
    started_at_ms: Option<u64>,
    /// When it said that it leaves.
    at: Instant,
}

/// The last starts that left, the oldest first.
#[derive(Debug, Default)]
pub(super) struct Departures(VecDeque<Departure>);

impl Departures {
    /// A start of an id said that it leaves.
    pub(super) fn add(&mut self, id: &str, started_at_ms: Option<u64>, now: Instant) {
        let is_same = |left: &Departure| left.id == id && left.started_at_ms == started_at_ms;
        self.0.retain(|left| !is_same(left));
        self.0.push_back(Departure {
            id: id.to_owned(),
            started_at_ms,
            at: now,
        });
        if self.0.len() > REMEMBERED {
            self.0.pop_front();
        }
    }

    /// Whether a start of an id has left. If it is unknown when either of two starts of one id began,
    /// they count as the same for a while.
    pub(super) fn contain(&self, id: &str, started_at_ms: Option<u64>, now: Instant) -> bool {
        self.0.iter().any(|left| {
            let are_identified = left.started_at_ms.is_some() && started_at_ms.is_some();
            let is_same = if are_identified {
                left.started_at_ms == started_at_ms
            } else {
                now.saturating_duration_since(left.at) < UNIDENTIFIED_FOR
            };
            left.id == id && is_same
        })
    }
}
