//! Puts what was decided into the decision log.
//!
//! Every refusal is kept for a while, and everything about the few requests that are sampled. A
//! call that is neither costs a digest of its request id.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tallybridge_core::{Criticality, NodeId, Refusal};
use tallybridge_overload::SampleResult;

use super::{
    begin::{CallRequest, Origin},
    retry::{AttemptEnd, Next, Route},
};
use crate::tables::{
    Tables,
    calls::Call,
    decisions::{Decision, DecisionLog, Phase},
    executions::Execution,
};

/// A request, as far as its decisions need it.
#[derive(Debug, Clone)]
pub struct Subject {
    /// Identity of the whole request.
    pub request_id: Arc<str>,
    /// Class of the call.
    pub criticality: Criticality,
}

impl Subject {
    /// The request of a call.
    #[must_use]
    pub fn of_call(call: &Call) -> Self {
        Self {
            request_id: Arc::clone(&call.request_id),
            criticality: call.criticality,
        }
    }

    /// The request of an attempt.
    #[must_use]
    pub fn of_execution(execution: &Execution) -> Self {
        Self {
            request_id: Arc::clone(&execution.request_id),
            criticality: execution.criticality,
        }
    }

    /// The request of a call that was refused before it had a row; `None` when it names a parent
    /// that does not run here, and so no request.
    fn of_request(tables: &mut Tables, request: &CallRequest) -> Option<Self> {
        match &request.origin {
            Origin::Root { key, .. } => Some(Self {
                request_id: key.to_string().into(),
                criticality: class_of_root(tables, request),
            }),
            Origin::Nested { token, .. } => {
                let parent = tables.executions.get_mut(token.0)?;
                Some(Self {
                    request_id: Arc::clone(&parent.request_id),
                    criticality: parent.criticality,
                })
            }
        }
    }

    fn is_sampled(&self) -> bool {
        DecisionLog::is_sampled(&self.request_id)
    }
}

fn class_of_root(tables: &Tables, request: &CallRequest) -> Criticality {
    let policy = request.tenant.as_ref().and_then(|tenant| {
        let configuration = &tables.configuration;
        configuration.policy(tenant, &request.service, &request.method, &request.path)
    });
    policy.map_or(Criticality::Sheddable, |policy| policy.criticality)
}

/// A call was refused before it had a row.
pub fn refused_at_entry(tables: &mut Tables, request: &CallRequest, refusal: &Refusal) {
    if let Some(subject) = Subject::of_request(tables, request) {
        refused(tables, &subject, Phase::Entry, &describe(refusal));
    }
}

/// A call was refused since no node can take it.
pub fn refused_without_route(tables: &mut Tables, call: &Call, refusal: &Refusal) {
    let subject = Subject::of_call(call);
    refused(tables, &subject, Phase::Entry, &describe(refusal));
}

/// A call was sent to its first node.
pub fn begun(tables: &mut Tables, call: &Call, route: &Route) {
    sampled(tables, &Subject::of_call(call), Phase::Entry, || {
        format!(
            "template {}, class {}, depth {}: attempt {} goes to {}",
            call.policy.template, call.criticality, call.depth, route.attempt, route.node
        )
    });
}

/// How an attempt ended, in words; `None` for an answer, which is told only of sampled calls.
#[must_use]
pub fn describe_end(end: &AttemptEnd) -> Option<String> {
    match end {
        AttemptEnd::Answered { .. } | AttemptEnd::Cancelled => None,
        AttemptEnd::Refused { refusal, .. } => Some(describe(refusal)),
        AttemptEnd::NotSent(refusal) => Some(format!("not sent: {}", describe(refusal))),
        AttemptEnd::Lost(refusal) => Some(format!("lost: {}", describe(refusal))),
    }
}

/// An attempt has ended; `failure` is how, unless it was answered or its caller gave up.
pub fn attempt_ended(
    tables: &mut Tables,
    subject: &Subject,
    node: NodeId,
    failure: Option<String>,
    next: &Next,
) {
    let Some(failure) = failure else {
        sampled(tables, subject, Phase::Entry, || match next {
            Next::Answer => format!("answered by {node}"),
            _ => format!("the caller gave up on the attempt at {node}"),
        });
        return;
    };
    let text = match next {
        Next::Retry(route) => format!(
            "attempt at {node} {failure}; attempt {} goes to {}",
            route.attempt, route.node
        ),
        Next::Wait(delay) => format!(
            "attempt at {node} {failure}; tried again after {} ms",
            delay.as_millis()
        ),
        Next::Refuse(refusal) => format!(
            "attempt at {node} {failure}; not tried again, the call is {}",
            describe(refusal)
        ),
        Next::Answer => return,
    };
    refused(tables, subject, Phase::Entry, &text);
}

/// A call was given a slot at once, or waits for one.
pub fn admitted(tables: &mut Tables, subject: &Subject, is_queued: bool) {
    if !subject.is_sampled() {
        return;
    }
    let verdict = if is_queued { "queued" } else { "given a slot" };
    let text = format!("{verdict}; {}", admission_state(tables));
    sampled(tables, subject, Phase::Admission, || text);
}

/// A call was refused a slot.
pub fn not_admitted(tables: &mut Tables, subject: &Subject, refusal: &Refusal) {
    let text = format!("{}; {}", describe(refusal), admission_state(tables));
    refused(tables, subject, Phase::Admission, &text);
}

/// Calls that waited for a slot were shed: displaced by more critical ones, or out of time.
pub fn evicted(tables: &mut Tables) {
    for evicted in std::mem::take(&mut tables.admission.evicted) {
        let text = format!(
            "taken out of the queue and {}; {}",
            describe(&evicted.refusal),
            admission_state(tables)
        );
        refused(tables, &evicted.subject, Phase::Admission, &text);
    }
}

/// The back end has finished with an attempt.
pub fn executed(tables: &mut Tables, subject: &Subject, result: SampleResult, latency: Duration) {
    let took = latency.as_millis();
    match result {
        SampleResult::Overload => {
            let text = format!("shed by the back end, or not answered in time, after {took} ms");
            refused(tables, subject, Phase::Backend, &text);
        }
        SampleResult::Success | SampleResult::Ignore => {
            sampled(tables, subject, Phase::Backend, || {
                format!("ended after {took} ms: {result:?}")
            });
        }
    }
}

/// The limit and the level in front of the back end.
fn admission_state(tables: &Tables) -> String {
    let admission = &tables.admission;
    let admits = admission.level.admitted_from().map_or_else(
        || "no class is admitted".to_owned(),
        |class| format!("admitted from {class}"),
    );
    format!(
        "{} of {} slots in use, {} waiting, {admits}",
        admission.limit.in_flight(),
        admission.limit.limit(),
        admission.queue.len()
    )
}

fn describe(refusal: &Refusal) -> String {
    let Refusal {
        kind,
        outcome,
        detail,
        ..
    } = refusal;
    format!("refused ({}, {outcome}): {detail}", kind.name())
}

fn refused(tables: &mut Tables, subject: &Subject, phase: Phase, text: &str) {
    let text = format!("class {}: {text}", subject.criticality);
    let decision = decision(tables, subject, phase, text);
    tables.decisions.push_refusal(subject.criticality, decision);
}

fn sampled(tables: &mut Tables, subject: &Subject, phase: Phase, text: impl FnOnce() -> String) {
    if subject.is_sampled() {
        let decision = decision(tables, subject, phase, text());
        tables.decisions.push_sampled(decision);
    }
}

fn decision(tables: &Tables, subject: &Subject, phase: Phase, decision: String) -> Decision {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Decision {
        request_id: Arc::clone(&subject.request_id),
        unix_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        phase,
        decision,
        revision: tables.configuration.revision().0,
    }
}
