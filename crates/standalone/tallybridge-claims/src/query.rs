//! The executor's query that determines the outcome of a refused request.

use std::collections::BTreeMap;

use tallybridge_core::{AttemptId, NodeId, Outcome, RequestKey};
use tallybridge_wire::claim::{ClaimQuery, ClaimQueryReply, QueryVote, RunState, StoredAnswer};

use crate::{map::PartitionEntry, partition::majority};

/// Result of the replies received so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueryVerdict {
    /// The replies do not determine the outcome yet.
    Undecided,
    /// Another attempt has run the request and returned this answer.
    Replay(StoredAnswer),
    /// The outcome to report to the caller: [`Outcome::NotRun`] or [`Outcome::Unknown`].
    Outcome(Outcome),
}

/// Determines, for an attempt that will never run, whether any other attempt may have run.
///
/// `NotRun` holds for the time at which the first query was sent. A concurrent attempt of the same
/// caller may still run afterwards and has its own outcome.
#[derive(Debug, Clone)]
pub struct QueryRound {
    key: RequestKey,
    attempt: AttemptId,
    epoch: u64,
    replicas: Vec<NodeId>,
    /// Whether a replica reported that no other attempt holds a run; `false` if the replica failed
    /// or abstained. A missing replica is outstanding.
    nothing_held: BTreeMap<NodeId, bool>,
    verdict: QueryVerdict,
}

impl QueryRound {
    /// Creates a query for an attempt that has not claimed a run and never will.
    #[must_use]
    pub fn new(entry: &PartitionEntry, key: RequestKey, attempt: AttemptId) -> Self {
        let replicas: Vec<NodeId> = entry.nodes().collect();
        Self::with_replicas(entry.epoch, &replicas, key, attempt)
    }

    pub(crate) fn with_replicas(
        epoch: u64,
        replicas: &[NodeId],
        key: RequestKey,
        attempt: AttemptId,
    ) -> Self {
        Self {
            key,
            attempt,
            epoch,
            replicas: replicas.to_vec(),
            nothing_held: BTreeMap::new(),
            verdict: QueryVerdict::Undecided,
        }
    }

    pub(crate) fn set_outcome(&mut self, outcome: Outcome) {
        self.verdict = QueryVerdict::Outcome(outcome);
    }

    /// Returns the replicas that have neither replied nor failed.
    #[must_use]
    pub fn targets(&self) -> Vec<NodeId> {
        let replicas = self.replicas.iter().copied();
        replicas
            .filter(|replica| !self.nothing_held.contains_key(replica))
            .collect()
    }

    /// Returns the query to send to each of the [`targets`](Self::targets).
    #[must_use]
    pub fn request(&self) -> ClaimQuery {
        ClaimQuery {
            key: self.key.into(),
            epoch: self.epoch,
            attempt: self.attempt.into(),
        }
    }

    /// Records a reply, and ignores a reply of another epoch.
    pub fn record(&mut self, replica: NodeId, reply: &ClaimQueryReply) -> &QueryVerdict {
        if reply.epoch != self.epoch {
            return &self.verdict;
        }
        if let (QueryVerdict::Undecided, QueryVote::Held(RunState::Finished(answer))) =
            (&self.verdict, &reply.vote)
        {
            self.verdict = QueryVerdict::Replay(answer.clone());
        }
        self.record_vote(replica, reply.vote == QueryVote::NothingHeld)
    }

    /// Records that a replica will not reply.
    pub fn fail(&mut self, replica: NodeId) -> &QueryVerdict {
        self.record_vote(replica, false)
    }

    /// Returns the verdict on the replies received so far.
    #[must_use]
    pub fn verdict(&self) -> &QueryVerdict {
        &self.verdict
    }

    fn record_vote(&mut self, replica: NodeId, nothing_held: bool) -> &QueryVerdict {
        if self.replicas.contains(&replica) {
            self.nothing_held.entry(replica).or_insert(nothing_held);
        }
        if self.verdict == QueryVerdict::Undecided {
            self.update_verdict();
        }
        &self.verdict
    }

    fn update_verdict(&mut self) {
        let required = majority(self.replicas.len());
        let nothing_held_votes = self
            .nothing_held
            .values()
            .filter(|nothing_held| **nothing_held)
            .count();
        let outstanding = self.replicas.len() - self.nothing_held.len();
        if nothing_held_votes >= required {
            self.set_outcome(Outcome::NotRun);
        } else if nothing_held_votes + outstanding < required {
            self.set_outcome(Outcome::Unknown);
        }
    }
}
