//! The entry: routes a request, admits or refuses it, forwards it and writes the answer.
//!
//! `prepare` routes and admits a request and builds its call, [`quota`] applies the tenant's rate
//! limit, [`super::forward`] sends the call to executors, and `refusal` answers a refused request.
//! The entry records the slot times of each request: with the parent call for a nested call, and with
//! the route for a fresh request.

mod class;
mod forwarded_head;
mod prepare;
mod refusal;
mod times;

use std::sync::{Arc, atomic::Ordering};

use tallybridge_core::{ErrorKind, Outcome, Refusal};

pub(super) use self::{prepare::MAX_CONFIGURATION_AGE, refusal::DEFAULT_RETRY_AFTER};
use self::{
    prepare::{prepare, tenant_rank},
    refusal::refusal_answer,
};
use super::{
    MEMORY_RETRY_AFTER,
    execute::ExecutedCall,
    forward::{Call, ForwardError, forward},
    quota,
};
use crate::{
    http::{Request, Response},
    log::decisions::EntryFacts,
    node::{NestedCall, Node},
    protocol::SlotTimes,
    tables::NestedEnd,
};

/// Answers a request of a caller, or a nested call of the back end beside this node.
pub async fn handle(node: &Arc<Node>, request: Request) -> Response {
    node.counters.requests.fetch_add(1, Ordering::Relaxed);
    let attempt = request.head.headers.first(node.header_names.attempt);
    let mut nested = attempt.and_then(|attempt| node.begin_nested_call(attempt));
    let parent = nested.as_ref().map(NestedCall::parent);
    let prepared = prepare(node, &request, parent);
    if let (Some(nested), Ok(call)) = (&mut nested, &prepared) {
        nested.record_service(&call.service);
    }
    let result = match &prepared {
        Ok(call) => forward_within_quota(node, call).await,
        Err(refusal) => Err(ForwardError::not_sent(refusal.clone())),
    };
    let call = prepared.as_ref().ok();
    match result {
        Ok(executed) => {
            node.counters.answered.fetch_add(1, Ordering::Relaxed);
            let is_success = executed.answer.status < 500;
            record_answer(node, call, nested.as_mut(), is_success, executed.times);
            executed.answer
        }
        Err(error) => {
            if nested.is_none() {
                record_unanswered(node, call);
            }
            node.counters.count_refused(error.refusal.kind);
            log_refusal(node, &request, call, &error);
            refusal_answer(&error.refusal)
        }
    }
}

/// Returns the answer to a request that was not read completely because the node has no memory for it.
pub fn refuse_for_memory(node: &Node) -> Response {
    node.counters.requests.fetch_add(1, Ordering::Relaxed);
    node.counters.refused.fetch_add(1, Ordering::Relaxed);
    node.counters.out_of_memory.fetch_add(1, Ordering::Relaxed);
    let detail = "no memory for the request, which was not read completely";
    let refusal = Refusal::new(ErrorKind::Overloaded, detail);
    let refusal = refusal.with_retry_after(MEMORY_RETRY_AFTER);
    node.decisions
        .refused_at_entry(&refusal, &EntryFacts::default());
    refusal_answer(&refusal)
}

/// Forwards a call if its tenant's rate limit admits it. Keeps the token of a call that has not run.
async fn forward_within_quota(node: &Arc<Node>, call: &Call) -> Result<ExecutedCall, ForwardError> {
    let Some(tenant) = &call.tenant else {
        return forward(node, call).await;
    };
    let wait_until = call.wait_until.min(call.deadline);
    let admission = quota::admit(node, tenant, wait_until).await;
    admission.map_err(ForwardError::not_sent)?;
    let result = forward(node, call).await;
    let is_not_run = |error: &ForwardError| error.refusal.outcome == Outcome::NotRun;
    if result.as_ref().is_err_and(is_not_run) {
        node.keep_tokens(tenant, 1);
    }
    result
}

/// Records the slot times of an answered request: with the parent call, or with the request's route.
fn record_answer(
    node: &Node,
    call: Option<&Call>,
    nested: Option<&mut NestedCall>,
    is_success: bool,
    times: SlotTimes,
) {
    match (nested, call) {
        (Some(nested), _) if is_success => nested.record_end(NestedEnd::Succeeded(times)),
        (Some(nested), _) => nested.record_end(NestedEnd::Failed(times)),
        (None, Some(call)) => {
            let rank = tenant_rank(call.tenant.as_deref());
            node.route_answered(&call.route, rank, is_success, &times);
        }
        // A request without a prepared call is always refused.
        (None, None) => {}
    }
}

/// Records with the route that an admitted fresh request got no answer.
fn record_unanswered(node: &Node, call: Option<&Call>) {
    if let Some(call) = call {
        node.route_unanswered(&call.route, tenant_rank(call.tenant.as_deref()));
    }
}

fn log_refusal(node: &Node, request: &Request, call: Option<&Call>, error: &ForwardError) {
    let attempt = request.head.headers.text(node.header_names.attempt);
    let version = node
        .configuration()
        .map_or(0, |configuration| configuration.version);
    let facts = EntryFacts {
        // An attempt name that is missing or not UTF-8 is logged as empty.
        attempt: attempt.unwrap_or_default(),
        route: call.map_or("", |call| &call.route.name),
        service: call.map_or("", |call| &call.service),
        tenant: call
            .and_then(|call| call.tenant.as_ref())
            .map_or("", |tenant| &tenant.name),
        version,
        read_age: node.read_age(),
        tried: error.executors_tried,
        elapsed: request.arrived.elapsed(),
    };
    node.decisions.refused_at_entry(&error.refusal, &facts);
}
