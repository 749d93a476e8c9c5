//! Attempts that the back end beside this node runs.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use tallybridge_core::{AttemptId, Criticality, InstanceId, RequestKey, TemplateName, TenantName};
use tallybridge_limits::retry::Allowance;

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
    /// Time spent waiting for nested calls, which says nothing about this back end's own load.
    pub nested_time: Duration,
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
