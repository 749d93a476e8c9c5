//! What was decided for single requests lately, for `tallybridge explain`.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};
use tallybridge_core::Criticality;

/// Refusals kept of each class, least critical first. A flood of one class pushes out none of
/// another.
const REFUSALS: [usize; Criticality::ALL.len()] = [1_024, 1_024, 2_048, 2_048];
/// Decisions kept about sampled requests.
const SAMPLED: usize = 2_048;
/// Of so many requests one is followed whatever becomes of it.
const SAMPLE_EVERY: u64 = 64;
/// Longest text of a decision, in bytes.
const MAX_TEXT: usize = 512;

/// The part of a node that decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The entry node: treatment, choice of a back end, retries.
    Entry,
    /// The node beside the back end, in front of it.
    Admission,
    /// The back end.
    Backend,
}

/// One decision about one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Identity of the whole request.
    pub request_id: Arc<str>,
    /// When, in milliseconds since the Unix epoch by the node's clock.
    pub unix_ms: u64,
    /// The part that decided.
    pub phase: Phase,
    /// What was decided, by which limit and why.
    pub decision: String,
    /// Configuration revision it was decided by.
    pub revision: u64,
}

/// The newest decisions, in bounded memory.
#[derive(Debug, Default)]
pub struct DecisionLog {
    refusals: [VecDeque<Decision>; Criticality::ALL.len()],
    sampled: VecDeque<Decision>,
}

impl DecisionLog {
    /// Whether a request is followed from end to end. All nodes choose the same requests.
    #[must_use]
    pub fn is_sampled(request_id: &str) -> bool {
        xxhash_rust::xxh3::xxh3_64(request_id.as_bytes()).is_multiple_of(SAMPLE_EVERY)
    }

    /// Adds a refusal of a call or of an attempt; the oldest of the class goes when there are too
    /// many.
    pub fn push_refusal(&mut self, class: Criticality, decision: Decision) {
        let index = class.index();
        push(&mut self.refusals[index], REFUSALS[index], decision);
    }

    /// Adds a decision about a sampled request.
    pub fn push_sampled(&mut self, decision: Decision) {
        push(&mut self.sampled, SAMPLED, decision);
    }

    /// Decisions about one request, in order of time.
    #[must_use]
    pub fn of_request(&self, request_id: &str) -> Vec<Decision> {
        let rows = self.refusals.iter().chain([&self.sampled]).flatten();
        let mut found: Vec<Decision> = rows
            .filter(|decision| &*decision.request_id == request_id)
            .cloned()
            .collect();
        found.sort_by_key(|decision| decision.unix_ms);
        found
    }
}

fn push(rows: &mut VecDeque<Decision>, capacity: usize, mut decision: Decision) {
    let text = &mut decision.decision;
    let cut = (0..=MAX_TEXT).rev().find(|end| text.is_char_boundary(*end));
    text.truncate(cut.unwrap_or(0));
    if rows.len() == capacity {
        rows.pop_front();
    }
    rows.push_back(decision);
}
