//! What callers write down.

use serde::Serialize;
use tallybridge_core::Outcome;

/// How one sending of a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "end", rename_all = "kebab-case")]
pub enum SendEnd {
    /// A success came whole.
    Answered {
        /// Digest of the body.
        digest: u64,
        /// Size of the body, in bytes.
        bytes: usize,
        /// Whether it is the right answer to this request.
        right: bool,
    },
    /// A refusal came.
    Refused {
        /// HTTP status.
        status: u16,
        /// The outcome that it tells, by its header name.
        #[serde(serialize_with = "serialize_outcome")]
        outcome: Option<Outcome>,
        /// The kind of error that it tells.
        error: Option<String>,
    },
    /// The caller's own time for the attempt ran out.
    TimedOut,
    /// No connection was made.
    NotConnected,
    /// The connection failed after the request may have been sent.
    ConnectionLost {
        /// The client library's words.
        detail: String,
    },
}

fn serialize_outcome<S: serde::Serializer>(
    outcome: &Option<Outcome>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    match outcome {
        Some(outcome) => serializer.serialize_some(outcome.as_str()),
        None => serializer.serialize_none(),
    }
}

/// One sending of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SendRecord {
    /// Index of the entry node.
    pub entry: usize,
    /// When it was sent, in microseconds since the Unix epoch.
    pub sent_us: u64,
    /// When it ended, in microseconds since the Unix epoch.
    pub ended_us: u64,
    /// How it ended.
    pub end: SendEnd,
}

/// One root request, from its intended send time to the caller's last look.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RequestRecord {
    /// Number within the run.
    pub request: u64,
    /// Index of the kind in the scenario.
    pub kind: usize,
    /// Index of the tenant in the scenario.
    pub tenant: usize,
    /// Intended send time, in microseconds since the Unix epoch.
    pub intended_us: u64,
    /// Intended send time, in microseconds from the start of the first phase.
    pub offset_us: u64,
    /// When the caller stopped, in microseconds since the Unix epoch.
    pub ended_us: u64,
    /// All sendings.
    pub sends: Vec<SendRecord>,
}

impl RequestRecord {
    /// Whether the caller has got the whole right answer.
    #[must_use]
    pub fn is_answered_whole(&self) -> bool {
        self.sends
            .iter()
            .any(|send| matches!(send.end, SendEnd::Answered { right: true, .. }))
    }

    /// Time from the intended send time to the end, in microseconds.
    #[must_use]
    pub const fn latency_us(&self) -> u64 {
        self.ended_us.saturating_sub(self.intended_us)
    }
}
