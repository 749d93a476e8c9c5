//! At the entry: a request is routed, let in or refused, and its answer written.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use rand::Rng;
use tallybridge_core::{Criticality, ErrorKind, Outcome, Refusal};

use super::execute::Answered;
use super::{
    credentials::tenant_of,
    forward::{Call, Unanswered, forward},
    quota,
};
use crate::{
    clock::BootInstant,
    configuration::{
        Route,
        tenants::{Tenant, TenantRank},
    },
    http::{Answer, Request, head::write_line},
    log::decisions::EntryFacts,
    node::{NestedCall, Node},
    protocol::CallMessage,
    tables::{NestedEnd, Parent},
};

/// Share of the target latency in which a request is refused rather than held.
const REFUSE_WITHIN: f64 = 0.22;
/// Share of the time left that a nested call may wait: the work above it is already paid for.
const NESTED_WAIT: f64 = 0.6;
/// When a caller may come back if nothing better is known.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(250);
/// When a caller may come back whose request was shed at the entry: once load has been adapted.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(900);
/// Age up to which the configuration is trusted to know all routes and keys.
pub(super) const CONFIGURATION_TRUSTED: Duration = Duration::from_secs(6);

/// Answers a request of a caller or of the back end beside this node.
pub async fn handle(node: &Arc<Node>, request: Request) -> Answer {
    let _in_flight = node.request_begins();
    let counters = &node.counters;
    counters.requests.fetch_add(1, Ordering::Relaxed);
    let arrived = request.arrived;
    let attempt = request.head.headers.first(node.names.attempt);
    let mut nested = attempt.and_then(|attempt| node.nested(attempt));
    let parent = nested.as_ref().map(NestedCall::parent);
    let prepared = prepare(node, &request, parent);
    if let (Some(nested), Ok(call)) = (&mut nested, &prepared) {
        nested.sent_to(&call.service);
    }
    let result = match &prepared {
        Ok(call) => forward_within_quota(node, call).await,
        Err(refusal) => Err(Unanswered::untried(refusal.clone())),
    };
    match result {
        Ok(answered) => {
            counters.answered.fetch_add(1, Ordering::Relaxed);
            let well = answered.answer.status < 500;
            match (&mut nested, &prepared) {
                (Some(nested), _) if well => nested.ended(NestedEnd::Succeeded(answered.times)),
                (Some(nested), _) => nested.ended(NestedEnd::Failed(answered.times)),
                (None, Ok(call)) => {
                    let rank = rank_of(call.tenant.as_deref());
                    node.route_answered(&call.route, rank, well, &answered.times);
                }
                _ => {}
            }
            answered.answer
        }
        Err(unanswered) => {
            if let (None, Ok(call)) = (&nested, &prepared) {
                node.route_unanswered(&call.route, rank_of(call.tenant.as_deref()));
            }
            counters.count_refused(unanswered.refusal.kind);
            log_refusal(node, &request, prepared.as_ref().ok(), &unanswered, arrived);
            refusal_answer(&unanswered.refusal)
        }
    }
}

/// Carries a call if its tenant's limit lets it in.
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

fn log_refusal(
    node: &Node,
    request: &Request,
    call: Option<&Call>,
    unanswered: &Unanswered,
    arrived: BootInstant,
) {
    let attempt = request.head.headers.text(node.names.attempt);
    let version = node
        .configuration()
        .map_or(0, |configuration| configuration.version);
    let facts = EntryFacts {
        attempt: attempt.unwrap_or_default(),
        route: call.map_or("", |call| &call.route.name),
        service: call.map_or("", |call| &call.service),
        tenant: call
            .and_then(|call| call.tenant.as_ref())
            .map_or("", |tenant| &tenant.name),
        version,
        read_age: node.read_age(),
        tried: unanswered.tried,
        held: arrived.elapsed(),
    };
    node.decisions.refused_at_entry(&unanswered.refusal, &facts);
}

/// Finds the route of a request and makes the message that is sent.
fn prepare(node: &Arc<Node>, request: &Request, parent: Option<Parent>) -> Result<Call, Refusal> {
    let names = &node.names;
    let head = &request.head;
    let Some(configuration) = node.configuration() else {
        let detail = "no configuration yet";
        return Err(Refusal::new(ErrorKind::NoConfiguration, detail));
    };
    let host = head.headers.text("host").unwrap_or_default();
    let Some(route) = configuration.route(host, &head.target) else {
        return Err(no_route(node));
    };
    let Some(attempt) = head.headers.first(names.attempt) else {
        let detail = format!("header {} is missing", names.attempt);
        return Err(Refusal::new(ErrorKind::InvalidRequest, detail));
    };
    let Some(service) = route.next_service() else {
        return Err(Refusal::new(ErrorKind::NoBackend, "route has no service"));
    };
    let tenant = tenant_of(node, &configuration, route, &head.headers)?;
    let patience = head.headers.text(names.deadline_ms).and_then(patience_of);
    let allowed = patience.map_or(route.timeout, |patience| patience.min(route.timeout));
    let is_nested = parent.is_some();
    if node.refuses_work() && !is_nested {
        let refusal = Refusal::new(ErrorKind::Leaving, "node is about to end");
        return Err(refusal.with_retry_after(RETRY_AFTER));
    }
    let rank = rank_of(tenant.as_deref());
    let is_first = route.priority == 0 && rank.before == 0;
    let is_urgent = parent.map_or(is_first, |parent| parent.is_urgent)
        && node.settings.policy.order_by_priority;
    let wait = if is_nested {
        allowed.mul_f64(NESTED_WAIT)
    } else {
        route.target_latency.mul_f64(REFUSE_WITHIN)
    };
    let message = CallMessage {
        remaining_ms: 0,
        wait_ms: 0,
        criticality: criticality(route, rank, is_nested, is_urgent) as u8,
        kind: route.number(),
        is_idempotent: route.kind.is_idempotent(),
        is_urgent,
        is_retry: parent.is_some_and(|parent| parent.is_retry),
        is_head_request: head.method == "HEAD",
        attempt: Bytes::copy_from_slice(attempt),
        head: forwarded_head(node, request, tenant.as_deref()).into(),
        body: request.body.clone(),
    };
    // Before what is shed for load: a request that is held back must not return in a second.
    node.refuse_quarantined(&message)?;
    if is_nested {
        node.back_end_called(service);
    } else if !node.admits(route, service, rank) {
        let detail = "a service that the request needs is full";
        let refusal = Refusal::new(ErrorKind::Overloaded, detail);
        return Err(refusal.with_retry_after(SHED_RETRY_AFTER));
    }
    Ok(Call {
        service: service.clone(),
        route: route.clone(),
        tenant,
        message,
        deadline: request.arrived + allowed,
        wait_until: request.arrived + wait.min(allowed),
    })
}

/// The time that a sender will wait; `None` when it tells none that can be read.
fn patience_of(milliseconds: &str) -> Option<Duration> {
    let milliseconds: f64 = milliseconds.parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1000.0).ok()
}

/// A route may be missing since the configuration is old: only a fresh one says that there is none.
fn no_route(node: &Node) -> Refusal {
    if node.is_configuration_fresh(CONFIGURATION_TRUSTED) {
        return Refusal::new(ErrorKind::UnknownService, "no route for this host and path");
    }
    let detail = "no route, and the configuration may be old";
    Refusal::new(ErrorKind::NoConfiguration, detail).with_retry_after(RETRY_AFTER)
}

/// The rank of a request; without a tenant none goes before another.
fn rank_of(tenant: Option<&Tenant>) -> TenantRank {
    tenant.map_or_else(TenantRank::default, |tenant| tenant.rank)
}

/// Urgent chains go first, and nested calls before fresh requests: the work above them is already
/// paid for. Of fresh requests those of tenants that go before others come next, whatever their
/// routes, and those of routes that do where all tenants are alike.
fn criticality(route: &Route, rank: TenantRank, is_nested: bool, is_urgent: bool) -> Criticality {
    let are_alike = rank == TenantRank::default();
    let is_ahead = match are_alike {
        true => route.priority <= 1,
        false => rank.before == 0,
    };
    match (is_urgent, is_nested, is_ahead) {
        (true, _, _) => Criticality::CriticalPlus,
        (false, true, _) => Criticality::Critical,
        (false, false, true) => Criticality::SheddablePlus,
        (false, false, false) => Criticality::Sheddable,
    }
}

/// The request line and header lines that the back end gets, without those that the executor adds.
fn forwarded_head(node: &Node, request: &Request, tenant: Option<&Tenant>) -> Vec<u8> {
    let names = &node.names;
    let head = &request.head;
    let mut bytes = Vec::with_capacity(512);
    bytes.extend_from_slice(head.method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(head.target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    let replaced = [
        names.deadline_ms,
        names.expected_instance,
        names.caller_service,
        names.credential,
        names.tenant,
        "expect",
    ];
    head.headers.write_end_to_end(&replaced, &mut bytes);
    let service = node.settings.backend.service.as_bytes();
    write_line(names.caller_service, service, &mut bytes);
    if let Some(tenant) = tenant {
        write_line(names.tenant, tenant.name.as_bytes(), &mut bytes);
    }
    let had_body = head.headers.first("content-length").is_some()
        || head.headers.first("transfer-encoding").is_some();
    if had_body {
        let length = request.body.len().to_string();
        write_line("Content-Length", length.as_bytes(), &mut bytes);
    }
    bytes
}

/// The answer of a refusal. What has not run is told as such, with the time to come back.
fn refusal_answer(refusal: &Refusal) -> Answer {
    let row = refusal.kind.answer();
    let status = match refusal.outcome {
        Outcome::NotRun if row.status >= 500 => 503,
        Outcome::Unknown if row.status == 503 || row.status == 429 => 502,
        _ => row.status,
    };
    let answer = Answer::new(status, format!("{}\n", row.name));
    let answer = answer.with_header("Tallybridge-Error", row.name);
    if status != 503 && status != 429 {
        return answer;
    }
    let after = refusal.retry_after.unwrap_or(RETRY_AFTER);
    let spread = rand::rng().random_range(0.8..1.4);
    let seconds = format!("{:.3}", after.mul_f64(spread).as_secs_f64());
    answer.with_header("Retry-After", &seconds)
}
