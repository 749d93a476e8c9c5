//! Log lines about single requests, bounded for each kind of refusal.
//!
//! A refusal is told with the inputs that decided it, at the node that decided. The entry's and the
//! executor's lines of one request share its attempt. A flood of one kind is cut to a few lines a
//! second, and the next line of that kind says how many were left out.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tallybridge_core::{ErrorKind, Refusal};
use tokio::time::Instant;

use crate::protocol::Load;

/// Lines of one kind and place in each span of time.
const LINES_PER_SPAN: u32 = 5;
/// That span.
const SPAN: Duration = Duration::from_secs(1);

/// Where a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Place {
    /// Where it entered.
    Entry,
    /// Beside the back end.
    Executor,
}

/// What a refusal at the entry was decided on.
#[derive(Debug)]
pub struct EntryFacts<'a> {
    /// The caller's name of the attempt.
    pub attempt: &'a str,
    /// The route; empty when none was found.
    pub route: &'a str,
    /// The service that was to answer; empty when not known yet.
    pub service: &'a str,
    /// The tenant; empty when none was found or needed.
    pub tenant: &'a str,
    /// Version of the configuration; 0 for none.
    pub version: u64,
    /// Time since the configuration was asked for that was last read; `None` for never.
    pub read_age: Option<Duration>,
    /// Executors that were tried.
    pub tried: usize,
    /// Time since the request was read.
    pub held: Duration,
}

/// What a refusal at the executor was decided on.
#[derive(Debug)]
pub struct ExecutorFacts<'a> {
    /// The caller's name of the attempt.
    pub attempt: &'a str,
    /// How busy the back end is.
    pub load: Load,
    /// Time since the call came.
    pub held: Duration,
    /// Time that was left when it came, in milliseconds.
    pub remaining_ms: u32,
    /// Time that it could wait for a slot, in milliseconds.
    pub wait_ms: u32,
}

#[derive(Debug)]
struct Span {
    began: Instant,
    lines: u32,
    left_out: u64,
}

/// Bounds the lines of each kind.
#[derive(Debug, Default)]
pub struct DecisionLog(Mutex<HashMap<(Place, ErrorKind), Span>>);

impl DecisionLog {
    /// Whether a line may be written, with the number of those that were left out before it.
    #[must_use]
    pub fn admit(&self, place: Place, kind: ErrorKind, now: Instant) -> Option<u64> {
        let mut spans = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let span = spans.entry((place, kind)).or_insert(Span {
            began: now,
            lines: 0,
            left_out: 0,
        });
        if now.saturating_duration_since(span.began) >= SPAN {
            span.began = now;
            span.lines = 0;
        }
        if span.lines >= LINES_PER_SPAN {
            span.left_out += 1;
            return None;
        }
        span.lines += 1;
        Some(std::mem::take(&mut span.left_out))
    }

    /// Tells of a refusal at the entry.
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

    /// Tells of a refusal at the executor.
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
