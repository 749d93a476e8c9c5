//! How many of the calls dispatched to the back end end badly.
//!
//! **Rule.** The share of calls that end badly is a mean in which each call has the weight [`GAIN`]. Other
//! nodes place calls by it ([`crate::tables::peers`]); here it decides only what the log says.
//!
//! **Inputs.** The end of each call that was dispatched: badly if the back end failed or refused it, broke
//! it off, or let it hang to its deadline. Calls that may have failed for a call of their own are left
//! out. The share changes with calls only: a back end that gets none has shown nothing new.
//!
//! **Why.** A back end that fails at once looks idle, whatever its health check says, and would draw all
//! calls. The node beside it sees all of its calls; a single entry sees too few to notice in time.

/// Weight of the newest call: a back end that recovers is believed to have after some 25 calls. Origin of
/// the figure not recorded.
const GAIN: f64 = 0.08;
/// Share, 0 to 1, above which the log says that the back end fails many calls. Origin not recorded.
const FAILING_ABOVE: f64 = 0.3;
/// Share, 0 to 1, below which the log says that it no longer does. Origin not recorded.
const RECOVERED_BELOW: f64 = 0.1;

/// A change that the log tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureRateChange {
    /// The back end fails many of its calls now.
    Began,
    /// It does not any more.
    Ended,
}

/// Share of the calls dispatched to a back end that ended badly, the newest counting most.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureRate {
    share: f64,
    is_failing: bool,
}

impl FailureRate {
    /// A call ended.
    pub fn ended(&mut self, badly: bool) -> Option<FailureRateChange> {
        let sample = if badly { 1.0 } else { 0.0 };
        self.share += (sample - self.share) * GAIN;
        if !self.is_failing && self.share > FAILING_ABOVE {
            self.is_failing = true;
            return Some(FailureRateChange::Began);
        }
        if self.is_failing && self.share < RECOVERED_BELOW {
            self.is_failing = false;
            return Some(FailureRateChange::Ended);
        }
        None
    }

    /// The share, 0 to 1.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.share
    }
}
