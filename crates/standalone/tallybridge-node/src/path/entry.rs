//! A call at its entry node: attempts until there is an answer or a refusal.

use std::time::Duration;

use tallybridge_core::{Outcome, Refusal};
use tokio_util::sync::CancellationToken;

use super::{
    CallEnd, CarriedRequest, WholeAnswer, attempt,
    claim::{ReplayScope, settle_refusal},
};
use crate::{
    actor::calls::{AbandonCall, BeginCall, CallPlan, ChooseNext, EndAttempt, RefusedCall},
    context::NodeContext,
    systems::{
        begin::CallRequest,
        retry::{Next, Route},
    },
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
        Ok(Err(refused)) => return refused_at_once(context, refused).await,
        Err(refusal) => return log_refused(Err(refusal)),
    };
    let mut route = plan.route;
    let result = match attempts(context, &plan, &mut route, &carried, &cancelled).await {
        Err(refused) => settle(context, &plan, &carried, refused).await,
        Ok(answer) => Ok(answer),
    };
    log_end(&plan, route, &result);
    match &result {
        Ok(_) => telemetry::call_answered(&plan.call.policy, entered.elapsed()),
        Err(refusal) => telemetry::call_refused(Some(&plan.call.policy), refusal),
    }
    CallEnd {
        request_id: Some(plan.call.request_id),
        result,
    }
}

async fn attempts(
    context: &NodeContext,
    plan: &CallPlan,
    route: &mut Route,
    carried: &CarriedRequest,
    cancelled: &CancellationToken,
) -> Result<WholeAnswer, FinalRefusal> {
    loop {
        let attempted = attempt::run(context, plan, *route, carried, cancelled).await;
        let next = context
            .ask(EndAttempt {
                call: plan.id,
                node: route.node,
                end: attempted.end,
            })
            .await?;
        match (next, attempted.answer) {
            (Next::Answer, Some(answer)) => return Ok(answer),
            (Next::Retry(next_route), _) => *route = next_route,
            (Next::Wait(delay), _) => {
                *route = wait_and_choose(context, plan, delay, cancelled).await?;
            }
            (Next::Refuse(refusal), _) => {
                return Err(FinalRefusal {
                    refusal,
                    outcome_settled: attempted.outcome_settled,
                });
            }
            (Next::Answer, None) => unreachable!("only an answered attempt ends with an answer"),
        }
    }
}

/// Waits before another attempt and chooses its node; a caller that gives up ends the wait.
async fn wait_and_choose(
    context: &NodeContext,
    plan: &CallPlan,
    delay: Duration,
    cancelled: &CancellationToken,
) -> Result<Route, Refusal> {
    tokio::select! {
        biased;
        () = cancelled.cancelled() => Err(context.ask(AbandonCall(plan.id)).await?),
        () = tokio::time::sleep(delay) => context.ask(ChooseNext(plan.id)).await?,
    }
}

/// The refusal that a call ends with.
struct FinalRefusal {
    refusal: Refusal,
    /// Whether its outcome takes every attempt under the key into account.
    outcome_settled: bool,
}

impl From<Refusal> for FinalRefusal {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            outcome_settled: false,
        }
    }
}

/// Makes the refusal of a call with a shared key true over all attempts under that key.
async fn settle(
    context: &NodeContext,
    plan: &CallPlan,
    carried: &CarriedRequest,
    refused: FinalRefusal,
) -> Result<WholeAnswer, Refusal> {
    let FinalRefusal {
        refusal,
        outcome_settled,
    } = refused;
    if outcome_settled || !plan.is_claimed() || refusal.outcome != Outcome::NotRun {
        return Err(refusal);
    }
    let scope = ReplayScope::of(&attempt::call_head(plan, plan.route, carried));
    settle_refusal(context, plan.call.key, Some(scope), refusal).await
}

async fn refused_at_once(context: &NodeContext, refused: RefusedCall) -> CallEnd {
    let RefusedCall {
        refusal,
        shared_key,
    } = refused;
    log_refused(match shared_key {
        Some(key) => settle_refusal(context, key, None, refusal).await,
        None => Err(refusal),
    })
}

fn log_refused(result: Result<WholeAnswer, Refusal>) -> CallEnd {
    if let Err(refusal) = &result {
        telemetry::call_refused(None, refusal);
        tracing::info!(
            decision = "refused",
            reason = refusal.kind.name(),
            outcome = refusal.outcome.as_str(),
            detail = refusal.detail,
            "call refused at its entry"
        );
    }
    CallEnd {
        request_id: None,
        result,
    }
}

fn log_end(plan: &CallPlan, route: Route, result: &Result<WholeAnswer, Refusal>) {
    match result {
        Ok(answer) => tracing::debug!(
            request_id = &*plan.call.request_id,
            attempt = route.attempt,
            service = plan.call.service.as_str(),
            tenant = plan.call.tenant.as_str(),
            template = plan.call.policy.template.as_str(),
            decision = "completed",
            status = answer.status,
            "call answered"
        ),
        Err(refusal) => tracing::info!(
            request_id = &*plan.call.request_id,
            attempt = route.attempt,
            service = plan.call.service.as_str(),
            tenant = plan.call.tenant.as_str(),
            template = plan.call.policy.template.as_str(),
            decision = "refused",
            reason = refusal.kind.name(),
            outcome = refusal.outcome.as_str(),
            detail = refusal.detail,
            "call refused"
        ),
    }
}
