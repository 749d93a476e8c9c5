//! A guarantee that did not hold.

use serde::{Deserialize, Serialize};

/// The guarantees that are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Guarantee {
    /// Retries of one request stay within a bound over the whole chain.
    RetryBound,
    /// The most critical requests are shed last.
    CriticalShedFirst,
    /// A caller gets the whole answer to its own request.
    WrongAnswer,
    /// A request refused as not run ran nowhere.
    FalseNotRun,
    /// A call that may not be repeated runs at most once.
    RanTwice,
    /// A leaving back end gets no new work.
    WorkAfterLeave,
    /// A planned stop cuts off no request in flight.
    CutInFlight,
    /// Accepted configuration is in force soon and never goes back.
    ConfigReverted,
}

/// One violation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which guarantee did not hold.
    pub guarantee: Guarantee,
    /// Request that shows it, if one does.
    pub request: Option<u64>,
    /// What happened.
    pub detail: String,
}

impl Violation {
    /// A violation that one request shows.
    #[must_use]
    pub fn of_request(guarantee: Guarantee, request: u64, detail: String) -> Self {
        Self {
            guarantee,
            request: Some(request),
            detail,
        }
    }
}
