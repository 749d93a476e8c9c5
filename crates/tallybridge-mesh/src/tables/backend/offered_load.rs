//! How much work is offered to a back end, what is refused included.
//!
//! **Rule.** Work offered, in slots, is the rate of arrivals times the mean time that calls hold a slot.
//! A call that is cut short counts with the time until then, so a slow back end looks less offered.

use std::time::Duration;

use tokio::time::Instant;

/// Time over which the rate of arrivals is taken. Origin of the figure not recorded.
const ARRIVAL_SPAN: Duration = Duration::from_millis(300);
/// Time over which the mean time that calls hold a slot is taken. The mean of the last twenty calls said
/// 30 or 75 ms by chance where calls of 30 and of 480 ms are mixed, so admission swung. A mean over
/// a second, together with nested calls going first, raised a recorded day from 0.769 to 0.867 of the value
/// of its requests, one run each (`docs/DECISIONS.md`).
const HELD_SPAN: Duration = Duration::from_millis(1000);
/// Sum of the faded counts of ended calls below which that mean says nothing. Origin not recorded.
const LEAST_ENDED: f64 = 0.5;

/// A sum that shrinks to a third in `span`, so that the newest of what was added counts most.
#[derive(Debug)]
struct DecayingSum {
    span: Duration,
    sum: f64,
    at: Option<Instant>,
}

impl DecayingSum {
    const fn over(span: Duration) -> Self {
        Self {
            span,
            sum: 0.0,
            at: None,
        }
    }

    fn add(&mut self, amount: f64, now: Instant) {
        self.sum = self.get(now) + amount;
        self.at = Some(now);
    }

    fn get(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let silent = now.saturating_duration_since(at);
        self.sum * (-silent.as_secs_f64() / self.span.as_secs_f64()).exp()
    }
}

/// The work offered to a back end.
#[derive(Debug)]
pub struct OfferedLoad {
    arrived: DecayingSum,
    ended: DecayingSum,
    held_seconds: DecayingSum,
}

impl Default for OfferedLoad {
    fn default() -> Self {
        Self {
            arrived: DecayingSum::over(ARRIVAL_SPAN),
            ended: DecayingSum::over(HELD_SPAN),
            held_seconds: DecayingSum::over(HELD_SPAN),
        }
    }
}

impl OfferedLoad {
    /// A call arrived, whatever becomes of it.
    pub fn arrived(&mut self, now: Instant) {
        self.arrived.add(1.0, now);
    }

    /// A call ended that held a slot for some time.
    pub fn ended(&mut self, took: Duration, now: Instant) {
        self.ended.add(1.0, now);
        self.held_seconds.add(took.as_secs_f64(), now);
    }

    /// Slots that the arriving calls would hold; 0 while too few calls have ended in the last second.
    #[must_use]
    pub fn slots(&self, now: Instant) -> f64 {
        let ended = self.ended.get(now);
        if ended < LEAST_ENDED {
            return 0.0;
        }
        let per_second = self.arrived.get(now) / ARRIVAL_SPAN.as_secs_f64();
        per_second * self.held_seconds.get(now) / ended
    }
}
