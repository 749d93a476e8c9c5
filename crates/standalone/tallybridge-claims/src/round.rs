//! The executor's side of one claim.

use std::collections::BTreeMap;

use tallybridge_core::{AttemptId, NodeId, Outcome, RequestKey};
use tallybridge_wire::claim::{
    AbstainReason, Claim, ClaimFinish, ClaimRelease, ClaimReply, ClaimVote, RunState, StoredAnswer,
};

use crate::{key_window, map::PartitionEntry, partition::majority, query::QueryRound};

/// What a claim came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// More votes are needed.
    Undecided,
    /// The attempt may run the call, as this run.
    Granted {
        /// Number of the run.
        run: u8,
    },
    /// The request has run; this is its answer.
    Replay(StoredAnswer),
    /// The one run that the request allows is held by another attempt.
    RunningElsewhere,
    /// Every run that the request allows is held by other attempts.
    AllRunsTaken,
    /// The asker's map is out of date; [`ClaimRound::restart`] with the entry of this epoch.
    StaleEpoch {
        /// The replicas' epoch.
        current: u64,
    },
    /// Too few replicas vote.
    NoMajority,
}

/// What to do after a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Wait for more replies.
    Wait,
    /// Send [`ClaimRound::request`] to all [`ClaimRound::targets`]: it asks for the next run.
    Claim,
    /// [`ClaimRound::verdict`] is final.
    Decided,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ballot {
    Granted { other_runs: u8 },
    Held,
    None,
}

/// One attempt's claim on a run of a request: the lowest that a majority gives it.
///
/// An attempt claims, and then either runs the call once, or gives up by [`refuse`](Self::refuse),
/// which takes the round so that it can't claim again.
#[derive(Debug, Clone)]
pub struct ClaimRound {
    key: RequestKey,
    attempt: AttemptId,
    max_runs: u8,
    epoch: u64,
    replicas: Vec<NodeId>,
    run: u8,
    ballots: BTreeMap<NodeId, Ballot>,
    stale: Option<u64>,
    verdict: Verdict,
}

impl ClaimRound {
    /// Starts a claim on the first run. `max_runs` is 1 for a call that must not be repeated.
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
            stale: None,
            verdict: Verdict::Undecided,
        }
    }

    /// Starts again with a newer entry. The attempt stays the same, so what it was granted in the
    /// epoch before does not stand in its way.
    #[must_use]
    pub fn restart(self, entry: &PartitionEntry) -> Self {
        Self::new(entry, self.key, self.attempt, self.max_runs)
    }

    /// The replicas that have not answered yet.
    #[must_use]
    pub fn targets(&self) -> Vec<NodeId> {
        let replicas = self.replicas.iter().copied();
        replicas
            .filter(|replica| !self.ballots.contains_key(replica))
            .collect()
    }

    /// The claim to send to the targets.
    #[must_use]
    pub fn request(&self) -> Claim {
        Claim {
            key: self.key.into(),
            epoch: self.epoch,
            run: self.run,
            attempt: self.attempt.into(),
        }
    }

    /// Takes in a reply. Replies to earlier requests and repeated ones change nothing.
    pub fn record(&mut self, replica: NodeId, reply: &ClaimReply) -> Progress {
        if reply.epoch != self.epoch || reply.run != self.run {
            return self.progress();
        }
        let ballot = match &reply.vote {
            ClaimVote::Granted { other_runs } => Ballot::Granted {
                other_runs: *other_runs,
            },
            ClaimVote::Held { state, .. } => {
                self.replay(state);
                Ballot::Held
            }
            ClaimVote::Abstains(reason) => {
                self.note_stale(*reason);
                Ballot::None
            }
        };
        self.count(replica, ballot)
    }

    /// Notes that no reply will come from a replica.
    pub fn fail(&mut self, replica: NodeId) -> Progress {
        self.count(replica, Ballot::None)
    }

    /// What the replies so far come to.
    #[must_use]
    pub fn verdict(&self) -> &Verdict {
        &self.verdict
    }

    /// Whether the call may be handed to the back end now. Asked right before, as the process may
    /// have been paused since the claim was granted.
    #[must_use]
    pub fn may_run(&self, deadline_unix_ms: u64, now_unix_ms: u64) -> bool {
        matches!(self.verdict, Verdict::Granted { .. })
            && now_unix_ms < deadline_unix_ms
            && key_window::is_open(&self.key, now_unix_ms)
    }

    /// Tells the replicas the answer of the run, for replay.
    #[must_use]
    pub fn finish(&self, answer: StoredAnswer) -> ClaimFinish {
        ClaimFinish {
            key: self.key.into(),
            run: self.run,
            attempt: self.attempt.into(),
            answer,
        }
    }

    /// Every replica, for [`finish`](Self::finish).
    #[must_use]
    pub fn replicas(&self) -> &[NodeId] {
        &self.replicas
    }

    /// Gives up: the attempt has not run and never will.
    ///
    /// Gives what is to be sent to every replica, and the round that finds out what to tell the
    /// caller. That round is decided at once when the votes show that the request can't have run.
    #[must_use]
    pub fn refuse(self) -> (ClaimRelease, QueryRound) {
        let release = ClaimRelease {
            key: self.key.into(),
            attempt: self.attempt.into(),
        };
        let mut query = QueryRound::of(self.epoch, &self.replicas, self.key, self.attempt);
        if self.excludes_others() {
            query.decide(Outcome::NotRun);
        }
        (release, query)
    }

    /// Whether the attempt holds the only run, and the replicas that say so know of no other.
    fn excludes_others(&self) -> bool {
        let alone = self.ballots.values();
        let alone = alone.filter(|ballot| **ballot == Ballot::Granted { other_runs: 0 });
        self.max_runs == 1 && alone.count() >= majority(self.replicas.len())
    }

    fn replay(&mut self, state: &RunState) {
        let decided = self.verdict != Verdict::Undecided;
        if let (false, RunState::Finished(answer)) = (decided, state) {
            self.verdict = Verdict::Replay(answer.clone());
        }
    }

    fn note_stale(&mut self, reason: AbstainReason) {
        if let AbstainReason::StaleEpoch { current } = reason {
            self.stale = self.stale.max(Some(current));
        }
    }

    fn count(&mut self, replica: NodeId, ballot: Ballot) -> Progress {
        if self.replicas.contains(&replica) {
            self.ballots.entry(replica).or_insert(ballot);
        }
        if self.verdict != Verdict::Undecided {
            return Progress::Decided;
        }
        self.decide()
    }

    fn decide(&mut self) -> Progress {
        let needed = majority(self.replicas.len());
        let granted = self.tally(|ballot| matches!(ballot, Ballot::Granted { .. }));
        let votes = self.tally(|ballot| ballot != Ballot::None);
        let outstanding = self.replicas.len() - self.ballots.len();
        if granted >= needed {
            self.verdict = Verdict::Granted { run: self.run };
        } else if votes + outstanding < needed {
            self.verdict = self.no_majority();
        } else if granted + outstanding < needed && votes >= needed {
            return self.next_run();
        }
        self.progress()
    }

    fn next_run(&mut self) -> Progress {
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

    fn no_majority(&self) -> Verdict {
        match self.stale {
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

    fn tally(&self, counts: impl Fn(Ballot) -> bool) -> usize {
        self.ballots
            .values()
            .filter(|ballot| counts(**ballot))
            .count()
    }
}
