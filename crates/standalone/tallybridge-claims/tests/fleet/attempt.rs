//! One attempt as the node that executes it sees it.

use tallybridge_claims::{ClaimRound, Progress, QueryRound, QueryVerdict, Verdict};
use tallybridge_core::{AttemptId, NodeId, Outcome, RequestKey};
use tallybridge_wire::{
    Message, WireHeaders,
    claim::{ClaimRelease, StoredAnswer},
};

use super::oracle::Oracle;

pub enum Phase {
    Claiming(ClaimRound),
    Running(ClaimRound, u64),
    Refused {
        query: QueryRound,
        runs_before: usize,
    },
    Done,
}

pub struct Attempt {
    pub id: AttemptId,
    pub executor: NodeId,
    pub key: RequestKey,
    pub deadline_unix_ms: u64,
    pub phase: Phase,
}

pub fn answer(number: u64) -> StoredAnswer {
    let body = number.to_be_bytes();
    StoredAnswer::new(200, WireHeaders::default(), &body).expect("small")
}

fn number(answer: &StoredAnswer) -> u64 {
    u64::from_be_bytes(answer.body.as_slice().try_into().expect("8 bytes"))
}

impl Attempt {
    /// What this attempt has to send to replicas that have not answered.
    pub fn pending(&self) -> Vec<(NodeId, Message)> {
        match &self.phase {
            Phase::Claiming(round) if *round.verdict() == Verdict::Undecided => {
                let message = Message::Claim(round.request());
                round
                    .targets()
                    .into_iter()
                    .map(|to| (to, message.clone()))
                    .collect()
            }
            Phase::Refused { query, .. } if *query.verdict() == QueryVerdict::Undecided => {
                let message = Message::ClaimQuery(query.request());
                query
                    .targets()
                    .into_iter()
                    .map(|to| (to, message.clone()))
                    .collect()
            }
            _ => Vec::new(),
        }
    }

    /// Takes in a reply. Gives what to send next.
    pub fn reply(
        &mut self,
        from: NodeId,
        reply: &Message,
        oracle: &mut Oracle,
    ) -> Vec<(NodeId, Message)> {
        let mut asks_further = false;
        match (&mut self.phase, reply) {
            (Phase::Claiming(round), Message::ClaimReply(reply)) => {
                asks_further = round.record(from, reply) == Progress::Claim;
            }
            (Phase::Refused { query, .. }, Message::ClaimQueryReply(reply)) => {
                query.record(from, reply);
            }
            _ => {}
        }
        self.conclude(oracle);
        if asks_further {
            self.pending()
        } else {
            Vec::new()
        }
    }

    /// No reply will come from the first replica that has not answered.
    pub fn fail(&mut self, oracle: &mut Oracle) -> Vec<(NodeId, Message)> {
        let mut asks_further = false;
        match &mut self.phase {
            Phase::Claiming(round) => {
                if let Some(target) = round.targets().first().copied() {
                    asks_further = round.fail(target) == Progress::Claim;
                }
            }
            Phase::Refused { query, .. } => {
                if let Some(target) = query.targets().first().copied() {
                    query.fail(target);
                }
            }
            _ => {}
        }
        self.conclude(oracle);
        if asks_further {
            self.pending()
        } else {
            Vec::new()
        }
    }

    /// Gives up. Gives what to send.
    pub fn refuse(&mut self, oracle: &mut Oracle) -> Vec<(NodeId, Message)> {
        let Phase::Claiming(round) = std::mem::replace(&mut self.phase, Phase::Done) else {
            panic!("only a claiming attempt can be refused");
        };
        let runs_before = oracle.runs(&self.key);
        let replicas = round.replicas().to_vec();
        let (release, query) = round.refuse();
        self.phase = Phase::Refused { query, runs_before };
        self.conclude(oracle);
        let mut messages = release_all(&replicas, &release);
        messages.extend(self.pending());
        messages
    }

    /// Tells the caller when there is something to tell.
    fn conclude(&mut self, oracle: &mut Oracle) {
        let replayed = match &self.phase {
            Phase::Claiming(round) => match round.verdict() {
                Verdict::Replay(answer) => Some(answer),
                _ => return,
            },
            Phase::Refused { query, runs_before } => match query.verdict() {
                QueryVerdict::Undecided => return,
                QueryVerdict::Replay(answer) => Some(answer),
                QueryVerdict::Outcome(Outcome::NotRun) => {
                    oracle.tell_not_run(&self.key, self.id, *runs_before);
                    None
                }
                QueryVerdict::Outcome(_) => None,
            },
            _ => return,
        };
        if let Some(answer) = replayed {
            oracle.replay(&self.key, number(answer));
        }
        self.phase = Phase::Done;
    }
}

fn release_all(replicas: &[NodeId], release: &ClaimRelease) -> Vec<(NodeId, Message)> {
    let message = Message::ClaimRelease(release.clone());
    replicas.iter().map(|to| (*to, message.clone())).collect()
}
