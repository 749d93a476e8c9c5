//! Failure rate of the calls dispatched to the back end.
//!
//! The rate is an exponentially weighted mean over calls. A call counts as failed if the back end failed
//! or refused it, closed its connection, or did not answer before the deadline. Callers leave out calls
//! that may have failed because of a nested call. The rate does not decay with time.
//!
//! A back end that fails at once looks idle and would attract all calls, whatever its health check says.
//! Other nodes place calls by this rate ([`crate::tables::peers`]); this node only logs its changes.

/// Weight of the newest call in the mean.
const NEWEST_CALL_WEIGHT: f64 = 0.08;
/// Failure rate, 0 to 1, above which a warning is logged.
const HIGH_FAILURE_RATE: f64 = 0.3;
/// Failure rate, 0 to 1, below which the recovery is logged; lower than [`HIGH_FAILURE_RATE`] so that the
/// log does not alternate between the two.
const RECOVERED_FAILURE_RATE: f64 = 0.1;

/// A change of the failure rate that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureRateChange {
    /// The failure rate rose above 0.3.
    BecameHigh,
    /// The failure rate fell below 0.1 again.
    Recovered,
}

/// Failure rate of the calls dispatched to a back end, weighted towards recent calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureRate {
    rate: f64,
    is_high: bool,
}

impl FailureRate {
    /// Records the end of a call, and returns a change that the caller should log.
    pub fn record(&mut self, has_failed: bool) -> Option<FailureRateChange> {
        let sample = if has_failed { 1.0 } else { 0.0 };
        self.rate += (sample - self.rate) * NEWEST_CALL_WEIGHT;
        if !self.is_high && self.rate > HIGH_FAILURE_RATE {
            self.is_high = true;
            return Some(FailureRateChange::BecameHigh);
        }
        if self.is_high && self.rate < RECOVERED_FAILURE_RATE {
            self.is_high = false;
            return Some(FailureRateChange::Recovered);
        }
        None
    }

    /// Returns the failure rate, 0 to 1.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.rate
    }
}
