//! One attempt: from the entry node to the executing node and back.

use std::time::{Duration, Instant};

use bytes::Bytes;
use tallybridge_core::{ErrorKind, Refusal};
use tallybridge_wire::{CallHead, Text};
use tokio_util::sync::CancellationToken;

use super::{CarriedRequest, Executed, WholeAnswer, execute};
use crate::{
    actor::{calls::CallPlan, executions::Closing},
    connections::peer::{PeerFailure, call::call_peer},
    context::NodeContext,
    systems::retry::{AttemptEnd, Route},
};

/// Taken off the time that the executing node is given, so that its own refusal arrives before the
/// entry node gives up on it.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// An attempt that has ended.
pub struct Attempted {
    /// How, for the tables.
    pub end: AttemptEnd,
    /// The answer, when there is one.
    pub answer: Option<WholeAnswer>,
    /// Whether the outcome takes every attempt under the key into account.
    pub outcome_settled: bool,
}

/// Runs one attempt to its end, at this node or at a peer.
pub async fn run(
    context: &NodeContext,
    plan: &CallPlan,
    route: Route,
    carried: &CarriedRequest,
    cancelled: &CancellationToken,
) -> Attempted {
    let head = call_head(plan, route, carried);
    let deadline = tokio::time::Instant::from_std(plan.call.deadline);
    let executing = async {
        if route.node == context.identity {
            Ok(execute_here(context, head, carried.body.clone()).await)
        } else {
            call_peer(&context.links, route.node, head, &carried.body).await
        }
    };
    tokio::select! {
        biased;
        executed = executing => ended(executed),
        () = cancelled.cancelled() => without_answer(AttemptEnd::Cancelled),
        () = tokio::time::sleep_until(deadline) => {
            context.links.retire(route.node);
            without_answer(AttemptEnd::Lost(timed_out()))
        }
    }
}

/// Runs an attempt at this node, in a task of its own as a peer's call has: when this future is
/// dropped the task is told to cancel, and still gives its slot back.
async fn execute_here(context: &NodeContext, head: CallHead, body: Bytes) -> Executed {
    let cancelled = CancellationToken::new();
    let _cancel_on_drop = cancelled.clone().drop_guard();
    let task_context = context.clone();
    let task = context
        .calls
        .spawn(async move { execute::serve(&task_context, head, body, cancelled).await });
    task.await.unwrap_or_else(|error| Executed {
        result: Err(Refusal::new(ErrorKind::Internal, error.to_string())),
        reached_backend: true,
        outcome_settled: false,
        closing: Closing::default(),
    })
}

fn ended(executed: Result<Executed, PeerFailure>) -> Attempted {
    match executed {
        Ok(executed) => answered(executed),
        Err(PeerFailure::NotSent(reason)) => without_answer(AttemptEnd::NotSent(not_sent(reason))),
        Err(PeerFailure::Lost(reason)) => {
            without_answer(AttemptEnd::Lost(Refusal::new(ErrorKind::PeerLost, reason)))
        }
    }
}

fn answered(executed: Executed) -> Attempted {
    let closing = executed.closing;
    let outcome_settled = executed.outcome_settled;
    let attempted = match executed.result {
        Ok(answer) => Attempted {
            end: AttemptEnd::Answered {
                status: answer.status,
                load: closing.load,
                unused_allowance: closing.unused_allowance,
            },
            answer: Some(answer),
            outcome_settled,
        },
        Err(refusal) => without_answer(AttemptEnd::Refused {
            refusal,
            reached_backend: executed.reached_backend,
            load: closing.load,
            unused_allowance: closing.unused_allowance,
        }),
    };
    Attempted {
        outcome_settled,
        ..attempted
    }
}

const fn without_answer(end: AttemptEnd) -> Attempted {
    Attempted {
        end,
        answer: None,
        outcome_settled: false,
    }
}

fn not_sent(reason: String) -> Refusal {
    Refusal::new(ErrorKind::PeerLost, reason).with_outcome(tallybridge_core::Outcome::NotRun)
}

fn timed_out() -> Refusal {
    Refusal::new(
        ErrorKind::BackendTimeout,
        "no answer came before the deadline",
    )
}

/// What the executing node is told of the call.
pub(super) fn call_head(plan: &CallPlan, route: Route, carried: &CarriedRequest) -> CallHead {
    let policy = &plan.call.policy;
    CallHead {
        key_issued_unix_ms: plan.call.key.issued_unix_ms,
        key_digest: plan.call.key.digest,
        claim_needed: u8::from(plan.is_claimed()),
        max_runs: plan.max_runs(),
        attempt: route.attempt,
        repeated: u8::from(route.repeated),
        depth: plan.call.depth,
        criticality: plan.call.criticality as u8,
        idempotent: u8::from(policy.idempotent),
        allowance: route.allowance,
        remaining_ms: remaining_ms(plan.call.deadline),
        max_answer_bytes: policy.max_answer_bytes,
        concurrency_limit: policy.concurrency_limit.unwrap_or(0),
        reserve: policy.reserve,
        service: Text::new(plan.call.service.as_str()),
        tenant: Text::new(plan.call.tenant.as_str()),
        template: Text::new(policy.template.as_str()),
        request_id: Text::new(&plan.call.request_id),
        method: Text::new(&carried.method),
        path: Text::new(&carried.path_and_query),
        headers: carried.headers.clone(),
        body_length: u32::try_from(carried.body.len()).unwrap_or(u32::MAX),
        body_checksum: crc32fast::hash(&carried.body),
    }
}

fn remaining_ms(deadline: Instant) -> u32 {
    let remaining = deadline
        .saturating_duration_since(tokio::time::Instant::now().into_std())
        .saturating_sub(DEADLINE_MARGIN);
    u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX)
}
