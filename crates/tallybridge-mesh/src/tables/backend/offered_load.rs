//! Load offered to a back end, in slots, including the calls that are refused.
//!
//! By Little's law, the offered load is the rate of arrivals times the mean time that a call holds a slot.
//! A call that is cut short counts with the time until then, so the load of a slow back end is
//! underestimated.

use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the arrival rate.
const ARRIVAL_RATE_WINDOW: Duration = Duration::from_millis(300);
/// Time constant of the mean hold time. A shorter window lets the mean swing where short and long calls
/// are mixed.
const HOLD_TIME_WINDOW: Duration = Duration::from_millis(1000);
/// Decayed number of ended calls below which the mean hold time is not used.
const MIN_ENDED_CALLS: f64 = 0.5;

/// A sum that decays exponentially with time.
#[derive(Debug)]
struct DecayingSum {
    time_constant: Duration,
    sum: f64,
    updated_at: Option<Instant>,
}

impl DecayingSum {
    const fn new(time_constant: Duration) -> Self {
        Self {
            time_constant,
            sum: 0.0,
            updated_at: None,
        }
    }

    fn add(&mut self, amount: f64, now: Instant) {
        self.sum = self.get(now) + amount;
        self.updated_at = Some(now);
    }

    fn get(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let elapsed = now.saturating_duration_since(updated_at);
        self.sum * (-elapsed.as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }
}

#[derive(Debug)]
pub struct OfferedLoad {
    arrivals: DecayingSum,
    ended_calls: DecayingSum,
    hold_seconds: DecayingSum,
}

impl Default for OfferedLoad {
    fn default() -> Self {
        Self {
            arrivals: DecayingSum::new(ARRIVAL_RATE_WINDOW),
            ended_calls: DecayingSum::new(HOLD_TIME_WINDOW),
            hold_seconds: DecayingSum::new(HOLD_TIME_WINDOW),
        }
    }
}

impl OfferedLoad {
    /// Records the arrival of a call, including one that is refused later.
    pub fn record_arrival(&mut self, now: Instant) {
        self.arrivals.add(1.0, now);
    }

    /// Records the end of a call that held a slot for `hold_time`.
    pub fn record_end(&mut self, hold_time: Duration, now: Instant) {
        self.ended_calls.add(1.0, now);
        self.hold_seconds.add(hold_time.as_secs_f64(), now);
    }

    /// Returns the rate of arrivals, in calls per second.
    #[must_use]
    pub fn arrivals_per_second(&self, now: Instant) -> f64 {
        self.arrivals.get(now) / ARRIVAL_RATE_WINDOW.as_secs_f64()
    }

    /// Returns the number of slots that the arriving calls would hold, or 0 while too few calls have ended
    /// recently.
    #[must_use]
    pub fn slots(&self, now: Instant) -> f64 {
        let ended_calls = self.ended_calls.get(now);
        if ended_calls < MIN_ENDED_CALLS {
            return 0.0;
        }
        self.arrivals_per_second(now) * self.hold_seconds.get(now) / ended_calls
    }
}
