//! What a back end writes down of each execution.

use serde::{Deserialize, Serialize};

use super::CallPlace;

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionEnd {
    /// Refused before any work, with 503 and `not-run`: the queue was full.
    Shed,
    /// Refused before any work, with 503 and `not-run`: the deadline passed in the queue.
    ExpiredInQueue,
    /// The connection was closed before any work.
    CancelledInQueue,
    /// Work was done and the whole answer was made.
    Answered,
    /// The deadline passed during the work.
    GaveUp,
    /// The connection was closed during the work.
    Cancelled,
    /// A nested call failed after the own work.
    NestedFailed,
    /// A nested call was answered with the wrong content.
    NestedWrong,
}

impl ExecutionEnd {}

/// One line of a back end's execution log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum ExecutionEvent {
    /// A call arrived.
    Arrived {
        /// Run of the back end process.
        instance: u64,
        /// Number of the call within that run.
        sequence: u64,
        /// Time, in microseconds since the Unix epoch.
        at_us: u64,
        /// Which call it is.
        place: CallPlace,
        /// Call token it came with.
        token: String,
        /// Time it was given, in milliseconds.
        timeout_ms: u64,
        /// Whether the back end was saying then that it leaves.
        draining: bool,
    },
    /// Work on it began.
    Started {
        /// Run of the back end process.
        instance: u64,
        /// Number of the call within that run.
        sequence: u64,
        /// Time, in microseconds since the Unix epoch.
        at_us: u64,
    },
    /// It ended.
    Ended {
        /// Run of the back end process.
        instance: u64,
        /// Number of the call within that run.
        sequence: u64,
        /// Time, in microseconds since the Unix epoch.
        at_us: u64,
        /// How.
        end: ExecutionEnd,
    },
}

/// One call at one back end, put together from the lines of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Execution {
    /// Back end, `service-number`.
    pub backend: String,
    /// Run of the back end process.
    pub instance: u64,
    /// Which call it is.
    pub place: CallPlace,
    /// Call token it came with.
    pub token: String,
    /// Time it was given, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the back end was saying on arrival that it leaves.
    pub draining: bool,
    /// When it arrived, in microseconds since the Unix epoch.
    pub arrived_us: u64,
    /// When work began; absent when none was done.
    pub started_us: Option<u64>,
    /// When it ended; absent when the process was lost first.
    pub ended_us: Option<u64>,
    /// How it ended.
    pub end: Option<ExecutionEnd>,
}

impl Execution {
    /// Whether any work was done on the call.
    #[must_use]
    pub const fn ran(&self) -> bool {
        self.started_us.is_some()
    }
}
