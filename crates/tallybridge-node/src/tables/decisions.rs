//! What was decided for single requests lately, for `tallybridge explain`.

use std::{collections::VecDeque, sync::Arc};

use serde::Serialize;
use tallybridge_core::Criticality;

/// Decisions kept; older ones go first.
const CAPACITY: usize = 8_192;

/// One decision about one request.
#[derive(Debug, Clone, Serialize)]
pub struct Decision {
    /// Identity of the whole request.
    pub request_id: Arc<str>,
    /// When, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The part that decided: `entry`, `admission`, `backend`.
    pub phase: &'static str,
    /// What was decided.
    pub decision: String,
    /// Configuration revision it was decided by.
    pub revision: u64,
    /// Class of the call.
    #[serde(skip)]
    pub criticality: Criticality,
}

/// The newest decisions, in order.
#[derive(Debug, Default)]
pub struct DecisionLog {
    rows: VecDeque<Decision>,
}

impl DecisionLog {
    /// Adds a decision; the oldest goes when the log is full.
    pub fn push(&mut self, decision: Decision) {
        if self.rows.len() == CAPACITY {
            self.rows.pop_front();
        }
        self.rows.push_back(decision);
    }

    /// Decisions about one request, in order.
    #[must_use]
    pub fn of_request(&self, request_id: &str) -> Vec<Decision> {
        self.rows
            .iter()
            .filter(|decision| &*decision.request_id == request_id)
            .cloned()
            .collect()
    }
}
