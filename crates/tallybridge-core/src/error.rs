//! The closed list of error kinds, and the table that defines the answer to each kind.

use std::{fmt, time::Duration};

use crate::Outcome;

/// Party that caused an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorSource {
    /// The caller sent a request that cannot be served.
    Downstream,
    /// The back end or the path to it failed.
    Upstream,
    /// A limit or a component of tallybridge caused the error.
    Internal,
}

/// Answer to one kind of error, as callers and operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// Name of the kind in headers, logs and problem details.
    pub name: &'static str,
    /// HTTP status code of the refusal.
    pub status: u16,
    /// Party that caused the error.
    pub source: ErrorSource,
    /// Outcome if no earlier attempt was dispatched to a back end.
    pub outcome: Outcome,
    /// Whether the same request can be sent again without the risk that it runs twice.
    pub retry_safe: bool,
    /// Exit code of a command that fails with this error.
    pub exit_code: u8,
    /// Advice to the operator or the caller.
    pub hint: &'static str,
}

macro_rules! error_kinds {
    ($($(#[$meta:meta])* $kind:ident = $wire:literal => {
        $name:literal, $status:literal, $source:ident, $outcome:ident, $retry_safe:literal,
        $exit_code:literal, $hint:literal
    })*) => {
        /// Kind of an error that tallybridge reports to callers and operators.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[repr(u8)]
        pub enum ErrorKind {
            $($(#[$meta])* $kind = $wire,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind),*];

            /// Returns the table row of this kind.
            #[must_use]
            pub const fn answer(self) -> ErrorAnswer {
                match self {
                    $(Self::$kind => ErrorAnswer {
                        name: $name,
                        status: $status,
                        source: ErrorSource::$source,
                        outcome: Outcome::$outcome,
                        retry_safe: $retry_safe,
                        exit_code: $exit_code,
                        hint: $hint,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// A header, the path or the body of the request is malformed.
    InvalidRequest = 1 => {
        "invalid-request", 400, Downstream, NotRun, false, 64,
        "correct the field that the detail names and send the request again"
    }
    /// No service with the requested name exists.
    UnknownService = 2 => {
        "unknown-service", 404, Downstream, NotRun, false, 65,
        "check the service name in the path against `tallybridge status`"
    }
    /// No template matches the call, or the tenant is unknown.
    NoTemplate = 3 => {
        "no-template", 403, Downstream, NotRun, false, 66,
        "add a template for this method and path, or parameters for the tenant"
    }
    /// The request body exceeds the template's limit.
    RequestTooLarge = 4 => {
        "request-too-large", 413, Downstream, NotRun, false, 67,
        "send a smaller body or raise `max_request_bytes` in the template"
    }
    /// The call token identifies an attempt that this node does not run.
    UnknownParent = 5 => {
        "unknown-parent", 409, Downstream, NotRun, false, 68,
        "the parent call has ended or its node was replaced: let the root caller send it again"
    }
    /// The key's timestamp lies outside the window in which keys are remembered.
    KeyOutsideWindow = 6 => {
        "key-outside-window", 422, Downstream, Unknown, false, 69,
        "generate a new UUIDv7 key; for an older key, check with the service whether the request ran"
    }
    /// The request carries no key, or a key that belongs to no tenant.
    UnknownKey = 7 => {
        "unknown-key", 401, Downstream, NotRun, false, 89,
        "send a key that the configuration gives to a tenant"
    }
    /// The back end has reached its limit and sheds the call's class.
    Overloaded = 10 => {
        "overloaded", 503, Internal, NotRun, true, 70,
        "wait for the time in Retry-After; if the overload lasts, add back ends or reduce less critical work"
    }
    /// The deadline passed before the call was dispatched to a back end.
    DeadlineExceeded = 11 => {
        "deadline-exceeded", 504, Internal, NotRun, true, 71,
        "allow more time, or look for the slow hop with `tallybridge explain`"
    }
    /// No back end of the service can run the call.
    NoBackend = 12 => {
        "no-backend", 503, Upstream, NotRun, true, 72,
        "check that the service's back ends are alive with `tallybridge status`"
    }
    /// The back end is leaving and accepts no new calls.
    Leaving = 13 => {
        "leaving", 503, Upstream, NotRun, true, 73,
        "send the request again: another back end will run it"
    }
    /// The request has used up its retry allowance.
    RetryAllowanceSpent = 14 => {
        "retry-allowance-spent", 429, Internal, NotRun, false, 74,
        "give each deliberate repeat its own Idempotency-Key, or raise `retry_allowance`"
    }
    /// The node has no configuration yet.
    NoConfiguration = 15 => {
        "no-configuration", 503, Internal, NotRun, true, 75,
        "check that the node reaches the configuration store or a peer that has a revision"
    }
    /// No majority of the key's claim group could be reached.
    NoQuorum = 16 => {
        "no-quorum", 503, Internal, Unknown, false, 76,
        "send the request again with the same key once the members are reachable"
    }
    /// Another attempt with the same key is running or has run.
    AlreadyClaimed = 17 => {
        "already-claimed", 409, Internal, Unknown, false, 77,
        "send the request again later with the same key: a finished answer is replayed"
    }
    /// The tenant has reached its request limit across the fleet.
    OverQuota = 18 => {
        "over-quota", 429, Downstream, NotRun, true, 90,
        "wait for the time in Retry-After, or raise the tenant's rate and burst"
    }
    /// The configuration is stale, so a key in it may have been revoked.
    StaleConfiguration = 19 => {
        "stale-configuration", 503, Internal, NotRun, true, 91,
        "check that the node, or a peer of it, reaches the configuration store"
    }
    /// The back end was unreachable or closed the connection.
    BackendFailed = 20 => {
        "backend-failed", 502, Upstream, Unknown, false, 78,
        "look at the back end's log for this request id"
    }
    /// The deadline passed while the back end ran the call.
    BackendTimeout = 21 => {
        "backend-timeout", 504, Upstream, Unknown, false, 79,
        "look for the slow back end with `tallybridge explain`"
    }
    /// The back end's answer exceeds the template's limit.
    AnswerTooLarge = 22 => {
        "answer-too-large", 502, Upstream, Unknown, false, 80,
        "raise `max_answer_bytes` in the template or page the answer"
    }
    /// The link to the peer that ran the call closed, or the peer became unresponsive, before an
    /// answer arrived.
    PeerLost = 23 => {
        "peer-lost", 502, Internal, Unknown, false, 81,
        "the node was replaced or cut off: see `tallybridge status`"
    }
    /// The caller closed its connection before the answer was sent.
    Cancelled = 24 => {
        "cancelled", 499, Downstream, Unknown, false, 82,
        "nothing to do: the caller closed its connection"
    }
    /// The back end received the request and reported that the request did not run.
    BackendRefused = 25 => {
        "backend-refused", 503, Upstream, NotRun, true, 88,
        "wait for the time in Retry-After: the back end was full, or the request expired in its queue"
    }
    /// The request is quarantined because it crashed back ends before.
    Quarantined = 26 => {
        "quarantined", 503, Downstream, NotRun, true, 92,
        "wait for the time in Retry-After; find what the request does to its back ends, by its digest"
    }
    /// A bug in tallybridge.
    Internal = 30 => {
        "internal", 500, Internal, Unknown, false, 83,
        "report the log lines of this request id as a defect"
    }
    /// A settings, template or scenario file is invalid (commands only).
    InvalidConfiguration = 40 => {
        "invalid-configuration", 422, Downstream, NotRun, false, 84,
        "correct the fields that the report names"
    }
    /// An edit was based on a revision that is no longer the newest (commands only).
    Conflict = 41 => {
        "conflict", 409, Downstream, NotRun, false, 85,
        "read the difference, take the newest revision and apply the edit again"
    }
    /// The configuration store is unreachable or refuses requests temporarily (commands only).
    StoreUnavailable = 42 => {
        "store-unavailable", 503, Upstream, Unknown, true, 86,
        "run the command again: an apply detects whether an earlier write took effect"
    }
    /// A node is unreachable or did not become ready in time (commands only).
    NodeUnavailable = 43 => {
        "node-unavailable", 503, Upstream, NotRun, true, 87,
        "check the node's address and its log"
    }
}

impl ErrorKind {
    /// Returns the name of the kind in headers, logs and problem details.
    #[must_use]
    pub const fn name(self) -> &'static str {
        self.answer().name
    }

    /// Returns the kind with this wire value, or `None` if no kind has it.
    #[must_use]
    pub fn from_wire(value: u8) -> Option<Self> {
        Self::ALL.iter().copied().find(|kind| *kind as u8 == value)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Refusal or failure of a call, and what is known about its execution.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{kind}: {detail}")]
pub struct Refusal {
    /// Kind that determines the answer.
    pub kind: ErrorKind,
    /// Outcome of the request over all its attempts.
    pub outcome: Outcome,
    /// Human-readable description of the cause.
    pub detail: String,
    /// Time after which the caller may try again, or `None` if unknown.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal with the outcome that the table defines for its kind.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: kind.answer().outcome,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Replaces the outcome of the refusal.
    #[must_use]
    pub fn with_outcome(self, outcome: Outcome) -> Self {
        Self { outcome, ..self }
    }

    /// Sets the time after which the caller may try again.
    #[must_use]
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }
}
