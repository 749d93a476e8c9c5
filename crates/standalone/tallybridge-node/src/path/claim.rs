//! Claims on the path of a call: a run is claimed before the back end sees the call, and what a
//! refusal says about the call's execution is true over all attempts under its key.

use std::time::Duration;

use tallybridge_claims::{ClaimRound, QueryRound, QueryVerdict, key_window, round::Verdict};
use tallybridge_core::{AttemptId, ErrorKind, Outcome, Refusal, RequestKey};
use tallybridge_wire::{CallHead, Message, Text, WireHeader, WireHeaders, claim::StoredAnswer};
use tokio::time::Instant;

use super::WholeAnswer;
use crate::{
    actor::executions::BoundAllowance,
    clock::unix_ms,
    connections::claims::rounds::{entry_of, run_claim, run_query, tell},
    context::NodeContext,
};

/// When to ask again for the answer of a call that runs elsewhere.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Least HTTP status by which a back end says that it failed (RFC 9110 section 15.6).
const FIRST_SERVER_ERROR: u16 = 500;

/// Header of a stored answer that says which request it answers. Never sent to a caller.
const SCOPE_HEADER: &str = "tallybridge-replay-scope";

/// What must be the same for a stored answer to answer a later attempt: a key that a caller uses
/// for two different requests gets neither the answer of the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplayScope(u128);

impl ReplayScope {
    /// The scope of a call.
    #[must_use]
    pub fn of(head: &CallHead) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for field in [&head.tenant, &head.service, &head.method, &head.path] {
            hasher.update(&(field.as_bytes().len() as u64).to_be_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(&head.body_checksum.to_be_bytes());
        Self(hasher.digest128())
    }

    fn header(self) -> WireHeader {
        WireHeader {
            name: Text::new(SCOPE_HEADER),
            value: Text::new(&format!("{:032x}", self.0)),
        }
    }
}

/// The end of a call as far as its outcome is known over all attempts under its key.
#[derive(Debug, Clone)]
pub struct Settled {
    /// The answer or the refusal.
    pub result: Result<WholeAnswer, Refusal>,
    /// Whether the outcome takes every attempt under the key into account.
    pub outcome_settled: bool,
}

impl Settled {
    fn refused(refusal: Refusal) -> Self {
        Self {
            result: Err(refusal),
            outcome_settled: true,
        }
    }
}

/// Claims a run for an attempt that holds a slot.
///
/// # Errors
///
/// How the call ends when no run was granted: a replay or a refusal.
pub async fn claim_run(
    context: &NodeContext,
    head: &CallHead,
    attempt: AttemptId,
    deadline: Instant,
) -> Result<Option<ClaimRound>, Settled> {
    if head.claim_needed == 0 {
        return Ok(None);
    }
    let key = RequestKey {
        issued_unix_ms: head.key_issued_unix_ms,
        digest: head.key_digest,
    };
    if !key_window::is_open(&key, unix_ms()) {
        return Err(Settled::refused(outside_window()));
    }
    let Some(entry) = entry_of(context, &key).await else {
        return Err(Settled::refused(no_quorum(
            "this node has no partition map yet",
        )));
    };
    let round = ClaimRound::new(&entry, key, attempt, head.max_runs);
    let round = run_claim(context, &key, round, deadline).await;
    let refusal = match round.verdict() {
        Verdict::Granted { run } => {
            count_earlier_runs(context, head, attempt, *run).await;
            return Ok(Some(round));
        }
        Verdict::Replay(answer) => {
            let answer = answer.clone();
            release(context, round).await;
            return Err(replayed(&answer, ReplayScope::of(head)));
        }
        Verdict::RunningElsewhere => already_claimed(),
        Verdict::AllRunsTaken => all_runs_taken(head.max_runs),
        Verdict::Undecided | Verdict::StaleEpoch { .. } | Verdict::NoMajority => {
            no_quorum("no majority of the key's replicas voted")
        }
    };
    release(context, round).await;
    Err(Settled::refused(refusal))
}

/// Takes the runs before this one off the retries that the attempt was lent: other entry nodes, or
/// the same one for an earlier call under the key, have spent them.
async fn count_earlier_runs(context: &NodeContext, head: &CallHead, attempt: AttemptId, run: u8) {
    if head.idempotent == 0 || run <= 1 {
        return;
    }
    let retries = head.max_runs.saturating_sub(run);
    // Fails only when the node is stopping.
    let _ = context.ask(BoundAllowance { attempt, retries }).await;
}

/// Gives up what was claimed, without a question about others.
async fn release(context: &NodeContext, round: ClaimRound) {
    let replicas = round.replicas().to_vec();
    let (release, _) = round.refuse();
    tell(context, &replicas, &Message::ClaimRelease(release)).await;
}

/// Ends an attempt that was granted a run: its answer is kept for replay; a run that did not take
/// place is given back.
pub async fn end_run(
    context: &NodeContext,
    head: &CallHead,
    round: Option<ClaimRound>,
    result: Result<WholeAnswer, Refusal>,
) -> Settled {
    let Some(round) = round else {
        return Settled {
            result,
            outcome_settled: false,
        };
    };
    match result {
        Ok(answer) => {
            keep_answer(context, head, &round, &answer).await;
            Settled {
                result: Ok(answer),
                outcome_settled: true,
            }
        }
        Err(refusal) if refusal.outcome == Outcome::NotRun => {
            give_up(context, head, round, refusal).await
        }
        Err(refusal) => Settled::refused(refusal),
    }
}

async fn keep_answer(
    context: &NodeContext,
    head: &CallHead,
    round: &ClaimRound,
    answer: &WholeAnswer,
) {
    if !is_kept(head, answer) {
        return;
    }
    let mut headers: Vec<_> = answer.headers.iter().cloned().collect();
    headers.push(ReplayScope::of(head).header());
    let headers = WireHeaders::new(headers);
    if let Some(stored) = StoredAnswer::new(answer.status, headers, &answer.body) {
        let finish = Message::ClaimFinish(round.finish(stored));
        tell(context, round.replicas(), &finish).await;
    }
}

/// Whether an answer stands for all later attempts. The failure of a call that may be repeated does
/// not: the caller repeats it to have it done.
fn is_kept(head: &CallHead, answer: &WholeAnswer) -> bool {
    head.idempotent == 0 || answer.status < FIRST_SERVER_ERROR
}

async fn give_up(
    context: &NodeContext,
    head: &CallHead,
    round: ClaimRound,
    refusal: Refusal,
) -> Settled {
    let replicas = round.replicas().to_vec();
    let (release, query) = round.refuse();
    tell(context, &replicas, &Message::ClaimRelease(release)).await;
    let query = run_query(context, query).await;
    settled(query.verdict(), refusal, Some(ReplayScope::of(head)))
}

/// Settles a refusal of a call whose key other attempts may have, before it is answered.
pub async fn settle_refusal(
    context: &NodeContext,
    key: RequestKey,
    scope: Option<ReplayScope>,
    refusal: Refusal,
) -> Result<WholeAnswer, Refusal> {
    if refusal.outcome != Outcome::NotRun {
        return Err(refusal);
    }
    let Some(entry) = entry_of(context, &key).await else {
        return Err(refusal.with_outcome(Outcome::Unknown));
    };
    // Sequence numbers count from 1, so no attempt of this node has this identity.
    let asker = AttemptId {
        instance: context.identity.instance,
        sequence: 0,
    };
    let query = run_query(context, QueryRound::new(&entry, key, asker)).await;
    settled(query.verdict(), refusal, scope).result
}

fn settled(verdict: &QueryVerdict, refusal: Refusal, scope: Option<ReplayScope>) -> Settled {
    match (verdict, scope) {
        (QueryVerdict::Outcome(outcome), _) => Settled::refused(refusal.with_outcome(*outcome)),
        (QueryVerdict::Replay(answer), Some(scope)) => match replay(answer, scope) {
            Some(answer) => Settled {
                result: Ok(answer),
                outcome_settled: true,
            },
            None => Settled::refused(refusal.with_outcome(Outcome::Unknown)),
        },
        (QueryVerdict::Replay(_) | QueryVerdict::Undecided, _) => {
            Settled::refused(refusal.with_outcome(Outcome::Unknown))
        }
    }
}

fn replayed(answer: &StoredAnswer, scope: ReplayScope) -> Settled {
    match replay(answer, scope) {
        Some(answer) => Settled {
            result: Ok(answer),
            outcome_settled: true,
        },
        None => Settled::refused(Refusal::new(
            ErrorKind::AlreadyClaimed,
            "another request has run under this key",
        )),
    }
}

/// The stored answer, if it answers this very request.
fn replay(answer: &StoredAnswer, scope: ReplayScope) -> Option<WholeAnswer> {
    let own = scope.header();
    if !answer.headers.iter().any(|header| *header == own) {
        return None;
    }
    let headers = answer
        .headers
        .iter()
        .filter(|header| header.name != own.name);
    Some(WholeAnswer {
        status: answer.status,
        headers: WireHeaders::new(headers.cloned().collect()),
        body: answer.body.clone().into(),
    })
}

fn outside_window() -> Refusal {
    Refusal::new(
        ErrorKind::KeyOutsideWindow,
        "the key's date is outside the window in which keys are remembered",
    )
}

fn no_quorum(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::NoQuorum, detail).with_retry_after(RETRY_AFTER)
}

fn already_claimed() -> Refusal {
    Refusal::new(
        ErrorKind::AlreadyClaimed,
        "another attempt under this key runs or has run",
    )
    .with_retry_after(RETRY_AFTER)
}

fn all_runs_taken(max_runs: u8) -> Refusal {
    Refusal::new(
        ErrorKind::RetryAllowanceSpent,
        format!("the request has been run {max_runs} times, as often as it may"),
    )
    .with_outcome(Outcome::Unknown)
    .with_retry_after(RETRY_AFTER)
}
