//! Attempts that the back end beside this node runs.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use tallybridge_core::{AttemptId, Criticality, InstanceId, RequestKey, TemplateName, TenantName};
use tallybridge_overload::Allowance;

/// One attempt that holds a slot of the back end.
#[derive(Debug, Clone)]
pub struct Execution {
    /// Identity of the whole request, for logs.
    pub request_id: Arc<str>,
    /// Identity over all attempts.
    pub key: RequestKey,
    /// Tenant.
    pub tenant: TenantName,
    /// Template that covers the call.
    pub template: TemplateName,
    /// Class.
    pub criticality: Criticality,
    /// Depth in the chain, from 1.
    pub depth: u8,
    /// When the attempt must be answered.
    pub deadline: Instant,
    /// When the slot was taken.
    pub started: Instant,
    /// Retries that nested calls may still spend.
    pub allowance: Allowance,
    /// Nested calls made so far: how often each was made.
    pub nested: HashMap<RequestKey, u16>,
    /// Runs that the request allows at each position of its chain, when attempts of the caller
    /// elsewhere may run this call too; its nested calls are then counted over all of them.
    pub shared_runs: Option<u8>,
    /// Whether an earlier attempt of this call, or of one above it, may have run and made the same
    /// nested calls.
    pub repeated: bool,
    /// Time spent waiting for nested calls.
    pub nested_wait: NestedWait,
}

/// Time in which an attempt had at least one nested call open. It is taken off the latency that the
/// concurrency limit learns from: a slow service behind a back end says nothing about its own load.
#[derive(Debug, Clone, Copy, Default)]
pub struct NestedWait {
    open: u16,
    opened: Option<Instant>,
    ended: Duration,
}

impl NestedWait {
    /// A nested call begins.
    pub fn begin(&mut self, now: Instant) {
        if self.open == 0 {
            self.opened = Some(now);
        }
        self.open = self.open.saturating_add(1);
    }

    /// A nested call ends.
    pub fn end(&mut self, now: Instant) {
        self.open = self.open.saturating_sub(1);
        if self.open == 0
            && let Some(opened) = self.opened.take()
        {
            self.ended += now.saturating_duration_since(opened);
        }
    }

    /// The time so far.
    #[must_use]
    pub fn total(&self, now: Instant) -> Duration {
        let open = self.opened.map_or(Duration::ZERO, |opened| {
            now.saturating_duration_since(opened)
        });
        self.ended + open
    }
}

/// Attempts by identity.
#[derive(Debug)]
pub struct ExecutionTable {
    instance: InstanceId,
    rows: HashMap<AttemptId, Execution>,
    last: u64,
}

impl ExecutionTable {
    /// An empty table of one run of a node.
    #[must_use]
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            rows: HashMap::new(),
            last: 0,
        }
    }

    /// Adds an attempt and gives it its identity.
    pub fn insert(&mut self, execution: Execution) -> AttemptId {
        self.last += 1;
        let attempt = AttemptId {
            instance: self.instance,
            sequence: self.last,
        };
        self.rows.insert(attempt, execution);
        attempt
    }

    /// The attempt of an identity, if it still runs.
    pub fn get_mut(&mut self, attempt: AttemptId) -> Option<&mut Execution> {
        self.rows.get_mut(&attempt)
    }

    /// The attempt of an identity, if it still runs.
    #[must_use]
    pub fn get(&self, attempt: AttemptId) -> Option<&Execution> {
        self.rows.get(&attempt)
    }

    /// Takes a finished attempt out.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Execution> {
        self.rows.remove(&attempt)
    }

    /// Number of attempts that run.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether nothing runs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
