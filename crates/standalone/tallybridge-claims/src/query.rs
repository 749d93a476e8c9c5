//! Whether a refused request is known not to have run.

use std::collections::BTreeMap;

use tallybridge_core::{AttemptId, NodeId, Outcome, RequestKey};
use tallybridge_wire::claim::{ClaimQuery, ClaimQueryReply, QueryVote, RunState, StoredAnswer};

use crate::{map::PartitionEntry, partition::majority};

/// What is known about a refused request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueryVerdict {
    /// More replies are needed.
    Undecided,
    /// The request has run; this is its answer.
    Replay(StoredAnswer),
    /// What to tell the caller: [`Outcome::NotRun`] or [`Outcome::Unknown`].
    Outcome(Outcome),
}

/// Finds out, for an attempt that will never run, whether any other attempt may have run.
///
/// `NotRun` is true of the time at which the first query was sent. Another attempt that the caller
/// has under way at the same time may still run, and has an answer of its own.
#[derive(Debug, Clone)]
pub struct QueryRound {
    key: RequestKey,
    attempt: AttemptId,
    epoch: u64,
    replicas: Vec<NodeId>,
    /// Whether each replica that is done with knows of no other attempt.
    nothing_held: BTreeMap<NodeId, bool>,
    verdict: QueryVerdict,
}

impl QueryRound {
    /// Starts a query for an attempt that has claimed nothing and never will.
    #[must_use]
    pub fn new(entry: &PartitionEntry, key: RequestKey, attempt: AttemptId) -> Self {
        let replicas: Vec<NodeId> = entry.nodes().collect();
        Self::of(entry.epoch, &replicas, key, attempt)
    }

    pub(crate) fn of(epoch: u64, replicas: &[NodeId], key: RequestKey, attempt: AttemptId) -> Self {
        Self {
            key,
            attempt,
            epoch,
            replicas: replicas.to_vec(),
            nothing_held: BTreeMap::new(),
            verdict: QueryVerdict::Undecided,
        }
    }

    pub(crate) fn decide(&mut self, outcome: Outcome) {
        self.verdict = QueryVerdict::Outcome(outcome);
    }

    /// The replicas that have not answered yet.
    #[must_use]
    pub fn targets(&self) -> Vec<NodeId> {
        let replicas = self.replicas.iter().copied();
        replicas
            .filter(|replica| !self.nothing_held.contains_key(replica))
            .collect()
    }

    /// The query to send to the targets.
    #[must_use]
    pub fn request(&self) -> ClaimQuery {
        ClaimQuery {
            key: self.key.into(),
            epoch: self.epoch,
            attempt: self.attempt.into(),
        }
    }

    /// Takes in a reply.
    pub fn record(&mut self, replica: NodeId, reply: &ClaimQueryReply) -> &QueryVerdict {
        if reply.epoch != self.epoch {
            return &self.verdict;
        }
        if let (QueryVerdict::Undecided, QueryVote::Held(RunState::Finished(answer))) =
            (&self.verdict, &reply.vote)
        {
            self.verdict = QueryVerdict::Replay(answer.clone());
        }
        self.count(replica, reply.vote == QueryVote::NothingHeld)
    }

    /// Notes that no reply will come from a replica.
    pub fn fail(&mut self, replica: NodeId) -> &QueryVerdict {
        self.count(replica, false)
    }

    /// What the replies so far come to.
    #[must_use]
    pub fn verdict(&self) -> &QueryVerdict {
        &self.verdict
    }

    fn count(&mut self, replica: NodeId, nothing_held: bool) -> &QueryVerdict {
        if self.replicas.contains(&replica) {
            self.nothing_held.entry(replica).or_insert(nothing_held);
        }
        if self.verdict == QueryVerdict::Undecided {
            self.tally();
        }
        &self.verdict
    }

    fn tally(&mut self) {
        let needed = majority(self.replicas.len());
        let nothing_held = self
            .nothing_held
            .values()
            .filter(|nothing| **nothing)
            .count();
        let outstanding = self.replicas.len() - self.nothing_held.len();
        if nothing_held >= needed {
            self.decide(Outcome::NotRun);
        } else if nothing_held + outstanding < needed {
            self.decide(Outcome::Unknown);
        }
    }
}
