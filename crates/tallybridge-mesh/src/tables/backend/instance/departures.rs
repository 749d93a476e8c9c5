//! Incarnations that announced that they leave. A late report must not make one of them ready again.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Bounds the memory use.
const MAX_DEPARTURES: usize = 64;
/// Time for which an id stays excluded after its departure if a start time is unknown, because a new
/// incarnation then cannot be distinguished from a late report of the old one.
const EXCLUSION_WITHOUT_START_TIME: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Departure {
    id: String,
    /// Start time in Unix milliseconds of the back end's clock, if known.
    started_at_ms: Option<u64>,
    announced_at: Instant,
}

/// The most recent departures, oldest first.
#[derive(Debug, Default)]
pub(super) struct Departures(VecDeque<Departure>);

impl Departures {
    /// Records that an incarnation announced that it leaves.
    pub(super) fn record(&mut self, id: &str, started_at_ms: Option<u64>, now: Instant) {
        let is_same =
            |departure: &Departure| departure.id == id && departure.started_at_ms == started_at_ms;
        self.0.retain(|departure| !is_same(departure));
        self.0.push_back(Departure {
            id: id.to_owned(),
            started_at_ms,
            announced_at: now,
        });
        if self.0.len() > MAX_DEPARTURES {
            self.0.pop_front();
        }
    }

    /// Returns whether an incarnation has announced that it leaves. Incarnations of one id count as the
    /// same for [`EXCLUSION_WITHOUT_START_TIME`] if the start time of either is unknown.
    pub(super) fn contains(&self, id: &str, started_at_ms: Option<u64>, now: Instant) -> bool {
        self.0.iter().any(|departure| {
            let start_times_known = departure.started_at_ms.is_some() && started_at_ms.is_some();
            let is_same = if start_times_known {
                departure.started_at_ms == started_at_ms
            } else {
                now.saturating_duration_since(departure.announced_at) < EXCLUSION_WITHOUT_START_TIME
            };
            departure.id == id && is_same
        })
    }
}
