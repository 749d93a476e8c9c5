//! The start of a call at its entry node: how it is treated, and what its parent lends it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tallybridge_config::CallPolicy;
use tallybridge_core::{
    AttemptId, CallToken, Criticality, ErrorKind, Outcome, Refusal, RequestKey, ServiceName,
    TenantName,
};
use tallybridge_overload::Allowance;

use crate::{
    systems::admission::overloaded,
    tables::{Tables, calls::Call, executions::Execution},
};

/// What a caller asks for, as far as the tables need it.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Tenant; a nested call may leave it out and has its parent's.
    pub tenant: Option<TenantName>,
    /// Target service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path without query, for the choice of the template.
    pub path: String,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
    /// Time that the caller waits, if it says.
    pub timeout: Option<Duration>,
    /// What makes this call.
    pub origin: Origin,
}

/// Where a call comes from.
#[derive(Debug, Clone)]
pub enum Origin {
    /// From outside, under the caller's own key or one drawn for it.
    Root {
        /// Identity over all attempts.
        key: RequestKey,
        /// Whether the caller gave the key and so may use it elsewhere too.
        caller_key: bool,
    },
    /// From an attempt that the back end beside this node runs.
    Nested {
        /// The token that the back end copied.
        token: CallToken,
        /// Digest of what tells the call from its siblings, to derive its key.
        identity: NestedIdentity,
    },
}

/// What tells nested calls of one parent apart.
#[derive(Debug, Clone)]
pub struct NestedIdentity {
    /// The nested call's own `Idempotency-Key`, if it has one.
    pub explicit_key: Option<String>,
    /// Path and query.
    pub path_and_query: String,
    /// Checksum of the body.
    pub body_digest: [u8; 16],
}

/// What a call inherits from the attempt that makes it, or from nothing.
struct Inheritance {
    key: RequestKey,
    shared_key: bool,
    shared_runs: Option<u8>,
    may_have_run: bool,
    request_id: Arc<str>,
    tenant: TenantName,
    criticality: Criticality,
    depth: u8,
    deadline: Option<Instant>,
    parent: Option<AttemptId>,
}

/// Decides how a call is treated and builds its row.
///
/// # Errors
///
/// A refusal: no configuration, tenant or template, a body above the limit, an unknown parent, or
/// a repeated nested call whose parent has no retry left.
pub fn begin(tables: &mut Tables, request: &CallRequest, now: Instant) -> Result<Call, Refusal> {
    if !tables.configuration.is_loaded() {
        return Err(Refusal::new(
            ErrorKind::NoConfiguration,
            "this node has no configuration yet",
        ));
    }
    if tables.stopping && matches!(request.origin, Origin::Root { .. }) {
        return Err(Refusal::new(
            ErrorKind::Leaving,
            "this node is about to end: send the request to another",
        ));
    }
    let inherited = inherit(tables, request)?;
    let policy = find_policy(tables, &inherited.tenant, request)?;
    if request.body_bytes > policy.max_request_bytes as usize {
        return Err(Refusal::new(
            ErrorKind::RequestTooLarge,
            format!(
                "the body has {} bytes, template {} allows {}",
                request.body_bytes, policy.template, policy.max_request_bytes
            ),
        ));
    }
    let criticality = inherited.criticality.max(policy.criticality);
    refuse_early(tables, &policy, criticality, now)?;
    let deadline = earliest_deadline(&policy, request.timeout, inherited.deadline, now);
    // The claims on a call's runs tell more exactly whether it has run.
    let counted_by_parent = policy.idempotent && inherited.shared_runs.is_none();
    let may_have_run = inherited.may_have_run && counted_by_parent;
    let (allowance, lent_by_parent) = allowance_of(tables, &inherited, &policy, now)?;
    Ok(Call {
        request_id: inherited.request_id,
        key: inherited.key,
        shared_key: inherited.shared_key,
        shared_runs: inherited.shared_runs,
        tenant: inherited.tenant,
        service: request.service.clone(),
        criticality,
        policy,
        depth: inherited.depth,
        deadline,
        parent: inherited.parent,
        allowance,
        lent_by_parent,
        lent_to_attempt: 0,
        chosen: now,
        attempts: 0,
        reroutes: 0,
        excluded: Vec::new(),
        may_have_run,
    })
}

/// Makes the refusal of a call that has no row yet honest: what an earlier attempt of its parent
/// asked for may have run.
pub fn with_parent_outcome(tables: &Tables, request: &CallRequest, refusal: Refusal) -> Refusal {
    let Origin::Nested { token, .. } = &request.origin else {
        return refusal;
    };
    let parent = tables.executions.get(token.0);
    if parent.is_some_and(|parent| parent.repeated) {
        refusal.with_outcome(Outcome::Unknown)
    } else {
        refusal
    }
}

/// The key of a request if attempts may exist under it that this node does not know of.
pub fn shared_key(tables: &mut Tables, request: &CallRequest) -> Option<RequestKey> {
    match &request.origin {
        Origin::Root { key, caller_key } => caller_key.then_some(*key),
        Origin::Nested { token, identity } => {
            let parent = tables.executions.get_mut(token.0)?;
            Some(nested_key(request, identity, parent))
        }
    }
}

fn inherit(tables: &mut Tables, request: &CallRequest) -> Result<Inheritance, Refusal> {
    match &request.origin {
        Origin::Root { key, caller_key } => root(request, *key, *caller_key),
        Origin::Nested { token, identity } => {
            let parent = tables
                .executions
                .get_mut(token.0)
                .ok_or_else(unknown_parent)?;
            nested(request, *token, identity, parent)
        }
    }
}

fn root(request: &CallRequest, key: RequestKey, caller_key: bool) -> Result<Inheritance, Refusal> {
    let tenant = request.tenant.clone().ok_or_else(|| {
        Refusal::new(
            ErrorKind::InvalidRequest,
            "header tallybridge-tenant is missing: name the tenant",
        )
    })?;
    Ok(Inheritance {
        key,
        shared_key: caller_key,
        shared_runs: None,
        may_have_run: false,
        request_id: key.to_string().into(),
        tenant,
        criticality: Criticality::Sheddable,
        depth: 1,
        deadline: None,
        parent: None,
    })
}

/// Deepest chain that is carried; a deeper one is taken for a loop.
const MAX_DEPTH: u8 = 64;

fn nested(
    request: &CallRequest,
    token: CallToken,
    identity: &NestedIdentity,
    parent: &Execution,
) -> Result<Inheritance, Refusal> {
    if parent.depth >= MAX_DEPTH {
        return Err(Refusal::new(
            ErrorKind::InvalidRequest,
            format!("the chain is deeper than {MAX_DEPTH} calls"),
        ));
    }
    Ok(Inheritance {
        key: nested_key(request, identity, parent),
        // The parent may run again elsewhere and make this call under the same key.
        shared_key: true,
        shared_runs: parent.shared_runs,
        may_have_run: parent.repeated,
        request_id: parent.request_id.clone(),
        tenant: request
            .tenant
            .clone()
            .unwrap_or_else(|| parent.tenant.clone()),
        criticality: parent.criticality,
        depth: parent.depth + 1,
        deadline: Some(parent.deadline),
        parent: Some(token.0),
    })
}

fn nested_key(request: &CallRequest, identity: &NestedIdentity, parent: &Execution) -> RequestKey {
    let call = tallybridge_core::key::NestedCall {
        method: &request.method,
        path: &identity.path_and_query,
        body: &identity.body_digest,
    };
    parent.key.nested(
        request.service.as_str(),
        identity.explicit_key.as_deref(),
        &call,
    )
}

fn unknown_parent() -> Refusal {
    Refusal::new(
        ErrorKind::UnknownParent,
        "the token names no attempt that runs here",
    )
}

fn find_policy(
    tables: &Tables,
    tenant: &TenantName,
    request: &CallRequest,
) -> Result<Arc<CallPolicy>, Refusal> {
    tables
        .configuration
        .policy(tenant, &request.service, &request.method, &request.path)
        .ok_or_else(|| {
            Refusal::new(
                ErrorKind::NoTemplate,
                format!(
                    "no template covers {} {} of service {} for tenant {tenant}",
                    request.method, request.path, request.service
                ),
            )
        })
}

/// Refuses what every executing node that answered lately refuses, before it costs a hop.
fn refuse_early(
    tables: &mut Tables,
    policy: &CallPolicy,
    criticality: Criticality,
    now: Instant,
) -> Result<(), Refusal> {
    let refused =
        tables
            .early_refusal
            .should_refuse(&policy.template, criticality, now, &mut tables.rng);
    if refused {
        return Err(overloaded(
            "every back end of the service sheds this class now",
        ));
    }
    Ok(())
}

fn earliest_deadline(
    policy: &CallPolicy,
    timeout: Option<Duration>,
    parent: Option<Instant>,
    now: Instant,
) -> Instant {
    let by_template = now + Duration::from_millis(policy.deadline_ms.into());
    let by_caller = timeout.map_or(by_template, |timeout| now + timeout);
    let by_parent = parent.unwrap_or(by_template);
    by_template.min(by_caller).min(by_parent)
}

/// The retries of a call: the template's for a root, a part of what its parent has left for a
/// nested one. A nested call made before is a retry by the back end and costs its parent one.
fn allowance_of(
    tables: &mut Tables,
    inherited: &Inheritance,
    policy: &CallPolicy,
    now: Instant,
) -> Result<(Allowance, u8), Refusal> {
    let Some(parent) = inherited.parent else {
        return Ok((Allowance::root(policy.retry_allowance), 0));
    };
    let parent = tables
        .executions
        .get_mut(parent)
        .ok_or_else(unknown_parent)?;
    let times_made = parent.nested.entry(inherited.key).or_default();
    if *times_made > 0 && !parent.allowance.spend() {
        return Err(Refusal::new(
            ErrorKind::RetryAllowanceSpent,
            "this nested call was made before and the request has no retry left",
        )
        .with_outcome(Outcome::Unknown));
    }
    *times_made = times_made.saturating_add(1);
    parent.nested_wait.begin(now);
    let lent = parent.allowance.lend();
    Ok((Allowance::root(lent), lent))
}
