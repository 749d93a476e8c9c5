//! Log lines about single refused requests.
//!
//! The node that refuses a request logs the inputs of its decision. The lines of one request at its
//! entry and at its executor have the same attempt id, by which `tallybridge explain` joins them.
//! Lines are limited for each kind of refusal and place, so that a flood of one kind does not
//! suppress the others.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tallybridge_core::{ErrorKind, Refusal};
use tokio::time::Instant;

use super::rate_limit::{LineRate, LineWindow};
use crate::protocol::Load;

/// Rate of lines for each kind of refusal and place.
const REFUSAL_LINE_RATE: LineRate = LineRate {
    lines: 5,
    window: Duration::from_secs(1),
};

/// Writes the refusal lines of one node within their rate limits.
#[derive(Debug, Default)]
pub struct DecisionLog(Mutex<HashMap<(Place, ErrorKind), LineWindow>>);

/// The role of the node that refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Place {
    /// The node that received the request from the caller.
    Entry,
    /// The node beside the back end.
    Executor,
}

/// Inputs of a refusal at the entry.
#[derive(Debug, Default)]
pub struct EntryFacts<'a> {
    /// Attempt id set by the caller.
    pub attempt: &'a str,
    /// Name of the route; empty if no route matched.
    pub route: &'a str,
    /// Service of the route; empty if it is not known yet.
    pub service: &'a str,
    /// Name of the tenant; empty if none was found or needed.
    pub tenant: &'a str,
    /// Version of the configuration; 0 for none.
    pub version: u64,
    /// Age of the last read of the configuration from the store; `None` before the first read.
    pub read_age: Option<Duration>,
    /// Number of executors tried.
    pub tried: usize,
    /// Time since the request was read.
    pub elapsed: Duration,
}

/// Inputs of a refusal at the executor.
#[derive(Debug)]
pub struct ExecutorFacts<'a> {
    /// Attempt id set by the caller.
    pub attempt: &'a str,
    /// Load of the back end at the time of the refusal.
    pub load: Load,
    /// Time since the call arrived.
    pub elapsed: Duration,
    /// Time from the call's arrival to its deadline, in milliseconds.
    pub remaining_ms: u32,
    /// Maximum time that the call may wait for a slot, in milliseconds.
    pub wait_ms: u32,
}

impl DecisionLog {
    /// Returns the number of lines of a kind and place left out since the last written one, or
    /// `None` if a line must not be written now.
    #[must_use]
    pub fn admit(&self, place: Place, kind: ErrorKind, now: Instant) -> Option<u64> {
        let mut windows = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        windows
            .entry((place, kind))
            .or_default()
            .admit(REFUSAL_LINE_RATE, now)
    }

    /// Logs a refusal at the entry, within the rate limit.
    pub fn refused_at_entry(&self, refusal: &Refusal, facts: &EntryFacts<'_>) {
        let Some(left_out) = self.admit(Place::Entry, refusal.kind, Instant::now()) else {
            return;
        };
        tracing::info!(
            attempt = facts.attempt,
            route = facts.route,
            service = facts.service,
            tenant = facts.tenant,
            version = facts.version,
            read_age_ms = facts.read_age.map(|age| age.as_millis() as u64),
            tried = facts.tried,
            held_ms = facts.elapsed.as_millis() as u64,
            reason = refusal.kind.name(),
            outcome = refusal.outcome.as_str(),
            detail = refusal.detail,
            left_out,
            "request refused at its entry"
        );
    }

    /// Logs a refusal at the executor, within the rate limit.
    pub fn refused_at_executor(&self, refusal: &Refusal, facts: &ExecutorFacts<'_>) {
        let Some(left_out) = self.admit(Place::Executor, refusal.kind, Instant::now()) else {
            return;
        };
        let load = facts.load;
        tracing::info!(
            attempt = facts.attempt,
            limit = load.limit,
            in_flight = load.in_flight,
            queued = load.queued,
            wait_ms = load.wait_ms,
            held_ms = facts.elapsed.as_millis() as u64,
            could_wait_ms = facts.wait_ms,
            remaining_ms = facts.remaining_ms,
            reason = refusal.kind.name(),
            outcome = refusal.outcome.as_str(),
            detail = refusal.detail,
            left_out,
            "call refused at its executor"
        );
    }
}
