//! The entry: a request is routed, admitted or refused, forwarded, and its answer written.
//!
//! Relies on `prepare` for what happens before a call is sent, with `times` and `class` for its
//! deadlines and its class, on [`quota`] for the limit of its tenant, on [`super::forward`] for the call
//! itself, and on `refusal` for the answer of one that is refused. Records what a request cost with
//! the admission control, or with the running call that made it.

mod class;
mod forwarded_head;
mod prepare;
mod refusal;
mod times;

use std::sync::{Arc, atomic::Ordering};

use tallybridge_core::Outcome;

pub(super) use self::{prepare::CONFIGURATION_TRUSTED, refusal::RETRY_AFTER};
use self::{
    prepare::{prepare, rank_of},
    refusal::refusal_answer,
};
use super::{
    execute::Answered,
    forward::{Call, Unanswered, forward},
    quota,
};
use crate::{
    http::{Answer, Request},
    log::decisions::EntryFacts,
    node::{NestedCall, Node},
    protocol::SlotTimes,
    tables::NestedEnd,
};

/// Answers a request of a caller or of the back end beside this node.
pub async fn handle(node: &Arc<Node>, request: Request) -> Answer {
    let _in_flight = node.track_request();
    node.counters.requests.fetch_add(1, Ordering::Relaxed);
    let attempt = request.head.headers.first(node.header_names.attempt);
    let mut nested = attempt.and_then(|attempt| node.begin_nested_call(attempt));
    let parent = nested.as_ref().map(NestedCall::parent);
    let prepared = prepare(node, &request, parent);
    if let (Some(nested), Ok(call)) = (&mut nested, &prepared) {
        nested.sent_to(&call.service);
    }
    let result = match &prepared {
        Ok(call) => forward_within_quota(node, call).await,
        Err(refusal) => Err(Unanswered::untried(refusal.clone())),
    };
    let call = prepared.as_ref().ok();
    match result {
        Ok(answered) => {
            node.counters.answered.fetch_add(1, Ordering::Relaxed);
            let is_success = answered.answer.status < 500;
            record_answer(node, call, nested.as_mut(), is_success, answered.times);
            answered.answer
        }
        Err(unanswered) => {
            if nested.is_none() {
                record_unanswered(node, call);
            }
            node.counters.count_refused(unanswered.refusal.kind);
            log_refusal(node, &request, call, &unanswered);
            refusal_answer(&unanswered.refusal)
        }
    }
}

/// Forwards a call if its tenant's limit admits it. What has not run is given back to the limit.
async fn forward_within_quota(node: &Arc<Node>, call: &Call) -> Result<Answered, Unanswered> {
    let Some(tenant) = &call.tenant else {
        return forward(node, call).await;
    };
    let until = call.wait_until.min(call.deadline);
    let admitted = quota::admit(node, tenant, until).await;
    admitted.map_err(Unanswered::untried)?;
    let result = forward(node, call).await;
    let has_not_run = |unanswered: &Unanswered| unanswered.refusal.outcome == Outcome::NotRun;
    if result.as_ref().is_err_and(has_not_run) {
        node.keep_tokens(tenant, 1);
    }
    result
}

/// Records what an answered request cost: with the running call that made it, or with its route.
fn record_answer(
    node: &Node,
    call: Option<&Call>,
    nested: Option<&mut NestedCall>,
    is_success: bool,
    times: SlotTimes,
) {
    match (nested, call) {
        (Some(nested), _) if is_success => nested.ended(NestedEnd::Succeeded(times)),
        (Some(nested), _) => nested.ended(NestedEnd::Failed(times)),
        (None, Some(call)) => {
            let rank = rank_of(call.tenant.as_deref());
            node.route_answered(&call.route, rank, is_success, &times);
        }
        // Only a call that was prepared is answered.
        (None, None) => {}
    }
}

/// Records with its route that a fresh request was not answered, if it was admitted.
fn record_unanswered(node: &Node, call: Option<&Call>) {
    if let Some(call) = call {
        node.route_unanswered(&call.route, rank_of(call.tenant.as_deref()));
    }
}

fn log_refusal(node: &Node, request: &Request, call: Option<&Call>, unanswered: &Unanswered) {
    let attempt = request.head.headers.text(node.header_names.attempt);
    let version = node
        .configuration()
        .map_or(0, |configuration| configuration.version);
    let facts = EntryFacts {
        // A request without a readable name is logged without one.
        attempt: attempt.unwrap_or_default(),
        route: call.map_or("", |call| &call.route.name),
        service: call.map_or("", |call| &call.service),
        tenant: call
            .and_then(|call| call.tenant.as_ref())
            .map_or("", |tenant| &tenant.name),
        version,
        read_age: node.read_age(),
        tried: unanswered.tried,
        elapsed: request.arrived.elapsed(),
    };
    node.decisions.refused_at_entry(&unanswered.refusal, &facts);
}
