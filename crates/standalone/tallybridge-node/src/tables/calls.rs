//! Calls that entered at this node and are not answered yet.

use std::{collections::HashMap, sync::Arc, time::Instant};

use tallybridge_config::CallPolicy;
use tallybridge_core::{AttemptId, Criticality, NodeId, RequestKey, ServiceName, TenantName};
use tallybridge_overload::Allowance;

/// Number of a call at its entry node; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// One call at its entry node.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identity of the whole request, for logs.
    pub request_id: Arc<str>,
    /// Identity over all attempts.
    pub key: RequestKey,
    /// Whether attempts may exist that this node does not know of.
    pub shared_key: bool,
    /// Runs of each position that the root allows, when the attempt that makes this call may run
    /// elsewhere too.
    pub shared_runs: Option<u8>,
    /// Tenant.
    pub tenant: TenantName,
    /// Target service.
    pub service: ServiceName,
    /// How the call is treated.
    pub policy: Arc<CallPolicy>,
    /// Class, with that of the parent taken into account.
    pub criticality: Criticality,
    /// Depth in the chain, from 1.
    pub depth: u8,
    /// When the call must be answered.
    pub deadline: Instant,
    /// The attempt that makes this call; `None` for a root call.
    pub parent: Option<AttemptId>,
    /// Retries left to this call and to what it calls.
    pub allowance: Allowance,
    /// Retries that the parent lent.
    pub lent_by_parent: u8,
    /// Retries lent to the attempt that runs now.
    pub lent_to_attempt: u8,
    /// When the node of the running attempt was chosen.
    pub chosen: Instant,
    /// Attempts so far.
    pub attempts: u16,
    /// Attempts that ended before they were handed to a back end and were sent elsewhere.
    pub reroutes: u8,
    /// Nodes that refused or failed this call.
    pub excluded: Vec<NodeId>,
    /// Whether any attempt may have run.
    pub may_have_run: bool,
}

/// Calls by number.
#[derive(Debug, Default)]
pub struct CallTable {
    rows: HashMap<CallId, Call>,
    last: u64,
}

impl CallTable {
    /// Adds a call and gives it its number.
    pub fn insert(&mut self, call: Call) -> CallId {
        self.last += 1;
        let id = CallId(self.last);
        self.rows.insert(id, call);
        id
    }

    /// The call of a number.
    pub fn get_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.rows.get_mut(&id)
    }

    /// Takes an answered call out.
    pub fn remove(&mut self, id: CallId) -> Option<Call> {
        self.rows.remove(&id)
    }

    /// Number of calls not answered yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no call is waiting for its answer.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
