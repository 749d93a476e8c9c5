//! A call at its entry node: attempts until there is an answer or a refusal.

use tallybridge_core::Refusal;
use tokio_util::sync::CancellationToken;

use super::{CallEnd, CarriedRequest, WholeAnswer, attempt};
use crate::{
    actor::calls::{BeginCall, CallPlan, ChooseNext, EndAttempt},
    context::NodeContext,
    systems::{begin::CallRequest, retry::Next},
    telemetry,
};

/// Carries a call to its end.
///
/// When `cancelled` fires the running attempt is cancelled down the chain.
pub async fn carry(
    context: &NodeContext,
    request: CallRequest,
    carried: CarriedRequest,
    cancelled: CancellationToken,
) -> CallEnd {
    let entered = tokio::time::Instant::now();
    let plan = match context.ask(BeginCall(request)).await {
        Ok(Ok(plan)) => plan,
        Ok(Err(refusal)) | Err(refusal) => return refused_at_once(refusal),
    };
    let result = attempts(context, &plan, &carried, &cancelled).await;
    log_end(&plan, &result);
    match &result {
        Ok(_) => telemetry::call_answered(&plan.policy, entered.elapsed()),
        Err(refusal) => telemetry::call_refused(Some(&plan.policy), refusal),
    }
    CallEnd {
        request_id: Some(plan.request_id),
        result,
    }
}

async fn attempts(
    context: &NodeContext,
    plan: &CallPlan,
    carried: &CarriedRequest,
    cancelled: &CancellationToken,
) -> Result<WholeAnswer, Refusal> {
    let mut route = plan.route;
    loop {
        let attempted = attempt::run(context, plan, route, carried, cancelled).await;
        let next = context
            .ask(EndAttempt {
                call: plan.id,
                node: route.node,
                end: attempted.end,
            })
            .await?;
        match (next, attempted.answer) {
            (Next::Answer, Some(answer)) => return Ok(answer),
            (Next::Retry(next_route), _) => route = next_route,
            (Next::Wait(delay), _) => {
                tokio::time::sleep(delay).await;
                route = context.ask(ChooseNext(plan.id)).await??;
            }
            (Next::Refuse(refusal), _) => return Err(refusal),
            (Next::Answer, None) => unreachable!("only an answered attempt ends with an answer"),
        }
    }
}

fn refused_at_once(refusal: Refusal) -> CallEnd {
    telemetry::call_refused(None, &refusal);
    tracing::info!(
        decision = "refused",
        reason = refusal.kind.name(),
        detail = refusal.detail,
        "call refused at its entry"
    );
    CallEnd {
        request_id: None,
        result: Err(refusal),
    }
}

fn log_end(plan: &CallPlan, result: &Result<WholeAnswer, Refusal>) {
    match result {
        Ok(answer) => tracing::debug!(
            request_id = &*plan.request_id,
            tenant = plan.tenant.as_str(),
            template = plan.policy.template.as_str(),
            decision = "completed",
            status = answer.status,
            "call answered"
        ),
        Err(refusal) => tracing::info!(
            request_id = &*plan.request_id,
            tenant = plan.tenant.as_str(),
            template = plan.policy.template.as_str(),
            decision = "refused",
            reason = refusal.kind.name(),
            outcome = refusal.outcome.as_str(),
            detail = refusal.detail,
            "call refused"
        ),
    }
}
