//! The state of one attempt at its executor.

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
    StoredAnswer::new(200, WireHeaders::default(), &body)
        .expect("the answer is below the size limit")
}

fn answer_number(answer: &StoredAnswer) -> u64 {
    u64::from_be_bytes(
        answer
            .body
            .as_slice()
            .try_into()
            .expect("an answer has 8 bytes"),
    )
}

impl Attempt {
    /// Returns the requests for replicas that have not replied.
    pub fn pending_requests(&self) -> Vec<(NodeId, Message)> {
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

    /// Records a reply and returns the messages to send next.
    pub fn record_reply(
        &mut self,
        from: NodeId,
        reply: &Message,
        oracle: &mut Oracle,
    ) -> Vec<(NodeId, Message)> {
        let mut claims_next_run = false;
        match (&mut self.phase, reply) {
            (Phase::Claiming(round), Message::ClaimReply(reply)) => {
                claims_next_run = round.record(from, reply) == Progress::Claim;
            }
            (Phase::Refused { query, .. }, Message::ClaimQueryReply(reply)) => {
                query.record(from, reply);
            }
            _ => {}
        }
        self.report_outcome(oracle);
        if claims_next_run {
            self.pending_requests()
        } else {
            Vec::new()
        }
    }

    /// Marks the first outstanding replica as failed and returns the messages to send next.
    pub fn fail(&mut self, oracle: &mut Oracle) -> Vec<(NodeId, Message)> {
        let mut claims_next_run = false;
        match &mut self.phase {
            Phase::Claiming(round) => {
                if let Some(target) = round.targets().first().copied() {
                    claims_next_run = round.fail(target) == Progress::Claim;
                }
            }
            Phase::Refused { query, .. } => {
                if let Some(target) = query.targets().first().copied() {
                    query.fail(target);
                }
            }
            _ => {}
        }
        self.report_outcome(oracle);
        if claims_next_run {
            self.pending_requests()
        } else {
            Vec::new()
        }
    }

    /// Refuses the attempt and returns the messages to send.
    pub fn refuse(&mut self, oracle: &mut Oracle) -> Vec<(NodeId, Message)> {
        let Phase::Claiming(round) = std::mem::replace(&mut self.phase, Phase::Done) else {
            panic!("only a claiming attempt can be refused");
        };
        let runs_before = oracle.runs(&self.key);
        let replicas = round.replicas().to_vec();
        let (release, query) = round.refuse();
        self.phase = Phase::Refused { query, runs_before };
        self.report_outcome(oracle);
        let mut messages = release_messages(&replicas, &release);
        messages.extend(self.pending_requests());
        messages
    }

    /// Reports a final outcome to the oracle, if there is one.
    fn report_outcome(&mut self, oracle: &mut Oracle) {
        let replayed_answer = match &self.phase {
            Phase::Claiming(round) => match round.verdict() {
                Verdict::Replay(answer) => Some(answer),
                _ => return,
            },
            Phase::Refused { query, runs_before } => match query.verdict() {
                QueryVerdict::Undecided => return,
                QueryVerdict::Replay(answer) => Some(answer),
                QueryVerdict::Outcome(Outcome::NotRun) => {
                    oracle.report_not_run(&self.key, self.id, *runs_before);
                    None
                }
                QueryVerdict::Outcome(_) => None,
            },
            _ => return,
        };
        if let Some(answer) = replayed_answer {
            oracle.check_replay(&self.key, answer_number(answer));
        }
        self.phase = Phase::Done;
    }
}

fn release_messages(replicas: &[NodeId], release: &ClaimRelease) -> Vec<(NodeId, Message)> {
    let message = Message::ClaimRelease(release.clone());
    replicas.iter().map(|to| (*to, message.clone())).collect()
}
