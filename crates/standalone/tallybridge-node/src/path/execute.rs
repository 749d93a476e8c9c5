//! A call at the node beside the back end: a slot, the last checks, the back end, the answer.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tallybridge_claims::ClaimRound;
use tallybridge_core::{
    AttemptId, CallToken, Criticality, ErrorKind, Outcome, Refusal, RequestKey, TemplateName,
    TenantName,
};
use tallybridge_overload::{Allowance, Sample, SampleResult};
use tallybridge_wire::CallHead;
use tokio_util::sync::CancellationToken;

use super::{
    CarriedRequest, Executed, WholeAnswer,
    claim::{Settled, claim_run, end_run},
};
use crate::{
    actor::executions::{
        Admit, BackendDraining, Closing, EndExecution, EndedExecution, ReportLoad, Withdraw,
    },
    clock::unix_ms,
    connections::backend::{BackendAnswer, BackendFailure, BackendRequest},
    context::NodeContext,
    systems::admission::Admitted,
    tables::{
        admission::TemplateBounds,
        executions::{Execution, NestedWait},
    },
};

/// Runs a call at the back end beside this node.
///
/// A call that may not be repeated is not cancelled once it is handed over: its answer may still be
/// asked for under its key.
pub async fn serve(
    context: &NodeContext,
    head: CallHead,
    body: Bytes,
    cancelled: CancellationToken,
) -> Executed {
    let execution = match execution_row(&head) {
        Ok(execution) => execution,
        Err(refusal) => return refused(context, &head, refusal).await,
    };
    let deadline = execution.deadline;
    let attempt = match acquire_slot(context, execution, bounds_of(&head), &cancelled).await {
        Ok(attempt) => attempt,
        Err(refusal) => return refused(context, &head, refusal).await,
    };
    let until = tokio::time::Instant::from_std(deadline);
    let round = match claim_run(context, &head, attempt, until).await {
        Ok(round) => round,
        Err(ended) => return end_unrun(context, &head, attempt, ended).await,
    };
    if let Err(refusal) = check_before_hand_over(deadline, round.as_ref(), &cancelled) {
        let ended = end_run(context, &head, round, Err(refusal)).await;
        return end_unrun(context, &head, attempt, ended).await;
    }
    let started = tokio::time::Instant::now();
    let request = backend_request(&head, body, attempt, deadline);
    let stop = if head.idempotent == 0 {
        CancellationToken::new()
    } else {
        cancelled
    };
    let answer = call_backend(context, request, deadline, &stop).await;
    finish(
        context,
        &head,
        Run { attempt, round },
        answer,
        started.elapsed(),
    )
    .await
}

fn execution_row(head: &CallHead) -> Result<Execution, Refusal> {
    let now = tokio::time::Instant::now().into_std();
    let criticality = Criticality::from_wire(head.criticality).ok_or_else(|| {
        Refusal::new(
            ErrorKind::InvalidRequest,
            format!("no criticality has wire value {}", head.criticality),
        )
    })?;
    Ok(Execution {
        request_id: Arc::from(head.request_id.to_string_lossy()),
        key: RequestKey {
            issued_unix_ms: head.key_issued_unix_ms,
            digest: head.key_digest,
        },
        tenant: TenantName::from(head.tenant.to_string_lossy()),
        template: TemplateName::from(head.template.to_string_lossy()),
        criticality,
        depth: head.depth,
        deadline: now + Duration::from_millis(head.remaining_ms.into()),
        started: now,
        allowance: Allowance::root(head.allowance),
        nested: HashMap::new(),
        shared_runs: (head.claim_needed != 0 && head.idempotent != 0).then_some(head.max_runs),
        repeated: head.repeated != 0,
        nested_wait: NestedWait::default(),
    })
}

fn bounds_of(head: &CallHead) -> TemplateBounds {
    TemplateBounds {
        concurrency_limit: (head.concurrency_limit > 0).then_some(head.concurrency_limit),
        reserve: head.reserve,
    }
}

async fn acquire_slot(
    context: &NodeContext,
    execution: Execution,
    bounds: TemplateBounds,
    cancelled: &CancellationToken,
) -> Result<AttemptId, Refusal> {
    if context.backend.is_none() {
        return Err(Refusal::new(
            ErrorKind::NoBackend,
            "this node has no back end",
        ));
    }
    match context.ask(Admit { execution, bounds }).await?? {
        Admitted::Granted(attempt) => Ok(attempt),
        Admitted::Queued(ticket, mut granted) => {
            tokio::select! {
                biased;
                reply = &mut granted => reply.unwrap_or_else(|_| Err(cancelled_before_run())),
                () = cancelled.cancelled() => {
                    context.ask(Withdraw(ticket)).await?;
                    // A grant may have crossed the withdrawal; it holds a slot that must be freed.
                    granted.try_recv().unwrap_or_else(|_| Err(cancelled_before_run()))
                }
            }
        }
    }
}

/// The last checks before the point of no return. A process that was paused since it was granted
/// its slot finds here that the deadline has passed.
fn check_before_hand_over(
    deadline: Instant,
    round: Option<&ClaimRound>,
    cancelled: &CancellationToken,
) -> Result<(), Refusal> {
    if cancelled.is_cancelled() {
        return Err(cancelled_before_run());
    }
    let remaining = deadline.saturating_duration_since(tokio::time::Instant::now().into_std());
    let now_unix_ms = unix_ms();
    let deadline_unix_ms = now_unix_ms.saturating_add(remaining.as_millis() as u64);
    let claim_stands = round.is_none_or(|round| round.may_run(deadline_unix_ms, now_unix_ms));
    if remaining.is_zero() || !claim_stands {
        return Err(Refusal::new(
            ErrorKind::DeadlineExceeded,
            "the deadline passed before the call was handed to the back end",
        ));
    }
    Ok(())
}

fn cancelled_before_run() -> Refusal {
    Refusal::new(
        ErrorKind::Cancelled,
        "the caller gave up before the call ran",
    )
    .with_outcome(Outcome::NotRun)
}

fn backend_request(
    head: &CallHead,
    body: Bytes,
    attempt: AttemptId,
    deadline: Instant,
) -> BackendRequest {
    BackendRequest {
        carried: CarriedRequest {
            method: head.method.to_string_lossy(),
            path_and_query: head.path.to_string_lossy(),
            headers: head.headers.clone(),
            body,
        },
        token: CallToken(attempt),
        tenant: head.tenant.to_string_lossy(),
        request_id: head.request_id.to_string_lossy(),
        remaining: deadline.saturating_duration_since(tokio::time::Instant::now().into_std()),
        max_answer_bytes: head.max_answer_bytes as usize,
    }
}

/// Why the back end gave no answer.
enum NoAnswer {
    Failed(BackendFailure),
    TimedOut,
    Cancelled,
}

async fn call_backend(
    context: &NodeContext,
    request: BackendRequest,
    deadline: Instant,
    stop: &CancellationToken,
) -> Result<BackendAnswer, NoAnswer> {
    let Some(backend) = &context.backend else {
        return Err(NoAnswer::Failed(BackendFailure::NotConnected(
            "this node has no back end".to_owned(),
        )));
    };
    tokio::select! {
        biased;
        answer = backend.call(request) => answer.map_err(NoAnswer::Failed),
        () = stop.cancelled() => Err(NoAnswer::Cancelled),
        () = tokio::time::sleep_until(tokio::time::Instant::from_std(deadline)) => {
            Err(NoAnswer::TimedOut)
        }
    }
}

/// An attempt that was handed over, with its claim if it needed one.
struct Run {
    attempt: AttemptId,
    round: Option<ClaimRound>,
}

async fn finish(
    context: &NodeContext,
    head: &CallHead,
    run: Run,
    answer: Result<BackendAnswer, NoAnswer>,
    latency: Duration,
) -> Executed {
    if answer.as_ref().is_ok_and(|answer| answer.draining) {
        // A failed send means that the node itself is stopping.
        let _ = context.ask(BackendDraining).await;
    }
    let sample = Sample {
        latency,
        result: sample_result(&answer),
        kind: template_kind(head),
    };
    let reached_backend = !matches!(
        answer,
        Err(NoAnswer::Failed(BackendFailure::NotConnected(_)))
    );
    let execution = end_execution(context, head, run.attempt, sample).await;
    let result = into_result(answer, execution.made_calls);
    let ended = end_run(context, head, run.round, result).await;
    Executed {
        result: ended.result,
        reached_backend,
        outcome_settled: ended.outcome_settled,
        closing: execution.closing,
    }
}

async fn end_execution(
    context: &NodeContext,
    head: &CallHead,
    attempt: AttemptId,
    sample: Sample,
) -> EndedExecution {
    let end = EndExecution {
        attempt,
        template: TemplateName::from(head.template.to_string_lossy()),
        sample,
    };
    context.ask(end).await.unwrap_or_default()
}

/// A stable number for the template, by which the limit keeps natural latencies apart.
fn template_kind(head: &CallHead) -> u16 {
    let digest = xxhash_rust::xxh3::xxh3_64(head.template.as_bytes());
    (digest & u64::from(u16::MAX)) as u16
}

fn sample_result(answer: &Result<BackendAnswer, NoAnswer>) -> SampleResult {
    match answer {
        Ok(answer) if answer.refused_unrun => SampleResult::Overload,
        Ok(_) => SampleResult::Success,
        Err(NoAnswer::TimedOut) => SampleResult::Overload,
        Err(NoAnswer::Failed(_) | NoAnswer::Cancelled) => SampleResult::Ignore,
    }
}

/// The result of an attempt. A back end that made nested calls had begun: its refusal is one that it
/// was given for such a call and hands on as its own.
fn into_result(
    answer: Result<BackendAnswer, NoAnswer>,
    made_calls: bool,
) -> Result<WholeAnswer, Refusal> {
    match answer {
        Ok(answer) if answer.refused_unrun && made_calls => Err(Refusal::new(
            ErrorKind::BackendFailed,
            "the back end made calls and then said that it had not run the call",
        )),
        Ok(answer) if answer.refused_unrun && answer.draining => Err(Refusal::new(
            ErrorKind::Leaving,
            "the back end is leaving and refused the call",
        )),
        Ok(answer) if answer.refused_unrun => Err(Refusal::new(
            ErrorKind::Overloaded,
            "the back end shed the call before it did any work",
        )),
        Ok(answer) => Ok(answer.answer),
        Err(NoAnswer::Failed(failure)) => Err(failure.into_refusal()),
        Err(NoAnswer::TimedOut) => Err(Refusal::new(
            ErrorKind::BackendTimeout,
            "the back end did not answer before the deadline",
        )),
        Err(NoAnswer::Cancelled) => Err(Refusal::new(
            ErrorKind::Cancelled,
            "the caller gave up while the back end ran the call",
        )),
    }
}

/// Ends an attempt that holds a slot but is not handed over.
async fn end_unrun(
    context: &NodeContext,
    head: &CallHead,
    attempt: AttemptId,
    ended: Settled,
) -> Executed {
    let sample = crate::systems::admission::ignored_sample();
    Executed {
        result: ended.result,
        reached_backend: false,
        outcome_settled: ended.outcome_settled,
        closing: end_execution(context, head, attempt, sample).await.closing,
    }
}

/// Answers a call that never got a slot; all that it was lent goes back.
async fn refused(context: &NodeContext, head: &CallHead, refusal: Refusal) -> Executed {
    let template = TemplateName::from(head.template.to_string_lossy());
    let load = context.ask(ReportLoad(template)).await.unwrap_or_default();
    Executed {
        result: Err(refusal),
        reached_backend: false,
        outcome_settled: false,
        closing: Closing {
            unused_allowance: head.allowance,
            load,
        },
    }
}
