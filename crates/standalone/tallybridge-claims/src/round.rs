//! The executor's side of a claim, which counts the votes of the replicas.

use std::collections::BTreeMap;

use tallybridge_core::{AttemptId, NodeId, Outcome, RequestKey};
use tallybridge_wire::claim::{
    AbstainReason, Claim, ClaimFinish, ClaimRelease, ClaimReply, ClaimVote, RunState, StoredAnswer,
};

use crate::{key_window, map::PartitionEntry, partition::majority, query::QueryRound};

/// Result of the votes received so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The votes do not determine the result yet.
    Undecided,
    /// A majority granted a run to the attempt.
    Granted {
        /// Number of the granted run, from 1.
        run: u8,
    },
    /// Another attempt has run the request and returned this answer.
    Replay(StoredAnswer),
    /// Another attempt holds the only allowed run.
    RunningElsewhere,
    /// Other attempts hold all of several allowed runs.
    AllRunsTaken,
    /// The executor's map is out of date. The executor calls [`ClaimRound::restart`] with a newer
    /// entry.
    StaleEpoch {
        /// Greatest epoch reported by a replica.
        current: u64,
    },
    /// Too few replicas can vote to form a majority.
    NoMajority,
}

/// The executor's next step after a reply or a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Wait for further replies.
    Wait,
    /// Send [`ClaimRound::request`], which now claims the next run, to all [`ClaimRound::targets`].
    Claim,
    /// Act on [`ClaimRound::verdict`], which is final.
    Decided,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ballot {
    Granted { other_runs: u8 },
    Held,
    NoVote,
}

/// The claim of one attempt on the lowest run that a majority grants.
///
/// After the claim, an attempt either runs the call once or calls [`refuse`](Self::refuse), which
/// consumes the round so that the attempt can't claim again.
#[derive(Debug, Clone)]
pub struct ClaimRound {
    key: RequestKey,
    attempt: AttemptId,
    max_runs: u8,
    epoch: u64,
    replicas: Vec<NodeId>,
    run: u8,
    ballots: BTreeMap<NodeId, Ballot>,
    newer_epoch: Option<u64>,
    verdict: Verdict,
}

impl ClaimRound {
    /// Creates a claim on the first run. `max_runs` is 1 for a call that must not be repeated.
    #[must_use]
    pub fn new(entry: &PartitionEntry, key: RequestKey, attempt: AttemptId, max_runs: u8) -> Self {
        Self {
            key,
            attempt,
            max_runs: max_runs.max(1),
            epoch: entry.epoch,
            replicas: entry.nodes().collect(),
            run: 1,
            ballots: BTreeMap::new(),
            newer_epoch: None,
            verdict: Verdict::Undecided,
        }
    }

    /// Creates a new round for the same attempt with a newer entry. Runs granted to the attempt in
    /// the previous epoch do not block the new claim.
    #[must_use]
    pub fn restart(self, entry: &PartitionEntry) -> Self {
        Self::new(entry, self.key, self.attempt, self.max_runs)
    }

    /// Returns the replicas that have neither replied nor failed for the current run.
    #[must_use]
    pub fn targets(&self) -> Vec<NodeId> {
        let replicas = self.replicas.iter().copied();
        replicas
            .filter(|replica| !self.ballots.contains_key(replica))
            .collect()
    }

    /// Returns the claim to send to each of the [`targets`](Self::targets).
    #[must_use]
    pub fn request(&self) -> Claim {
        Claim {
            key: self.key.into(),
            epoch: self.epoch,
            run: self.run,
            attempt: self.attempt.into(),
        }
    }

    /// Records a reply. Ignores duplicates and replies to earlier requests.
    pub fn record(&mut self, replica: NodeId, reply: &ClaimReply) -> Progress {
        if reply.epoch != self.epoch || reply.run != self.run {
            return self.progress();
        }
        let ballot = match &reply.vote {
            ClaimVote::Granted { other_runs } => Ballot::Granted {
                other_runs: *other_runs,
            },
            ClaimVote::Held { state, .. } => {
                self.record_finished_run(state);
                Ballot::Held
            }
            ClaimVote::Abstains(reason) => {
                self.record_stale_epoch(*reason);
                Ballot::NoVote
            }
        };
        self.record_ballot(replica, ballot)
    }

    /// Records that a replica will not reply.
    pub fn fail(&mut self, replica: NodeId) -> Progress {
        self.record_ballot(replica, Ballot::NoVote)
    }

    /// Returns the verdict on the replies received so far.
    #[must_use]
    pub fn verdict(&self) -> &Verdict {
        &self.verdict
    }

    /// Returns whether the executor may hand the call to its back end at the given time.
    ///
    /// Callers must check immediately before the dispatch, because the process may have been paused
    /// since the grant.
    #[must_use]
    pub fn may_run(&self, deadline_unix_ms: u64, now_unix_ms: u64) -> bool {
        matches!(self.verdict, Verdict::Granted { .. })
            && now_unix_ms < deadline_unix_ms
            && key_window::is_open(&self.key, now_unix_ms)
    }

    /// Returns the message that stores the answer of the run at the [`replicas`](Self::replicas).
    #[must_use]
    pub fn finish(&self, answer: StoredAnswer) -> ClaimFinish {
        ClaimFinish {
            key: self.key.into(),
            run: self.run,
            attempt: self.attempt.into(),
            answer,
        }
    }

    /// Returns all replicas of the round, including those that have replied.
    #[must_use]
    pub fn replicas(&self) -> &[NodeId] {
        &self.replicas
    }

    /// Ends the claim of an attempt that has not run and never will.
    ///
    /// Returns the release to send to every replica, and the query round that determines the
    /// outcome. The query round is already decided if the votes prove that the request has not run.
    #[must_use]
    pub fn refuse(self) -> (ClaimRelease, QueryRound) {
        let release = ClaimRelease {
            key: self.key.into(),
            attempt: self.attempt.into(),
        };
        let mut query =
            QueryRound::with_replicas(self.epoch, &self.replicas, self.key, self.attempt);
        if self.holds_only_run() {
            query.set_outcome(Outcome::NotRun);
        }
        (release, query)
    }

    /// Returns whether a majority granted the only allowed run and reported no other held run.
    fn holds_only_run(&self) -> bool {
        let sole_grants = self.ballots.values();
        let sole_grants =
            sole_grants.filter(|ballot| **ballot == Ballot::Granted { other_runs: 0 });
        self.max_runs == 1 && sole_grants.count() >= majority(self.replicas.len())
    }

    fn record_finished_run(&mut self, state: &RunState) {
        let is_decided = self.verdict != Verdict::Undecided;
        if let (false, RunState::Finished(answer)) = (is_decided, state) {
            self.verdict = Verdict::Replay(answer.clone());
        }
    }

    fn record_stale_epoch(&mut self, reason: AbstainReason) {
        if let AbstainReason::StaleEpoch { current } = reason {
            self.newer_epoch = self.newer_epoch.max(Some(current));
        }
    }

    fn record_ballot(&mut self, replica: NodeId, ballot: Ballot) -> Progress {
        if self.replicas.contains(&replica) {
            self.ballots.entry(replica).or_insert(ballot);
        }
        if self.verdict != Verdict::Undecided {
            return Progress::Decided;
        }
        self.update_verdict()
    }

    fn update_verdict(&mut self) -> Progress {
        let required = majority(self.replicas.len());
        let granted = self.count_ballots(|ballot| matches!(ballot, Ballot::Granted { .. }));
        let votes = self.count_ballots(|ballot| ballot != Ballot::NoVote);
        let outstanding = self.replicas.len() - self.ballots.len();
        if granted >= required {
            self.verdict = Verdict::Granted { run: self.run };
        } else if votes + outstanding < required {
            self.verdict = self.no_majority_verdict();
        } else if granted + outstanding < required && votes >= required {
            return self.claim_next_run();
        }
        self.progress()
    }

    fn claim_next_run(&mut self) -> Progress {
        if self.run < self.max_runs {
            self.run += 1;
            self.ballots.clear();
            return Progress::Claim;
        }
        self.verdict = match self.max_runs {
            1 => Verdict::RunningElsewhere,
            _ => Verdict::AllRunsTaken,
        };
        Progress::Decided
    }

    fn no_majority_verdict(&self) -> Verdict {
        match self.newer_epoch {
            Some(current) => Verdict::StaleEpoch { current },
            None => Verdict::NoMajority,
        }
    }

    fn progress(&self) -> Progress {
        match self.verdict {
            Verdict::Undecided => Progress::Wait,
            _ => Progress::Decided,
        }
    }

    fn count_ballots(&self, is_counted: impl Fn(Ballot) -> bool) -> usize {
        self.ballots
            .values()
            .filter(|ballot| is_counted(**ballot))
            .count()
    }
}
