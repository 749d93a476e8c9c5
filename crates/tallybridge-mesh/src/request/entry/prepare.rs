//! What happens to a request before it is forwarded: it is routed, gets its times and its class, and is
//! admitted or refused.
//!
//! The order of the checks decides which refusal a caller gets: what is wrong with the request, then
//! this node's stop, then quarantine, then overload. A quarantined request must not get the short time
//! to come back of one that is shed. Whether a fresh request is shed is decided in
//! [`crate::tables::admission`].

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tallybridge_core::{ErrorKind, Refusal};

use super::{
    class::CallClass,
    forwarded_head::forwarded_head,
    refusal::{RETRY_AFTER, SHED_RETRY_AFTER},
    times::CallTimes,
};
use crate::{
    configuration::{
        Route,
        tenants::{Tenant, TenantRank},
    },
    http::Request,
    node::Node,
    protocol::CallMessage,
    request::{credentials::tenant_of, forward::Call},
    tables::Parent,
};

/// Age up to which the configuration is trusted to know all routes and keys, counted from when the
/// store last confirmed it. Origin of the figure not recorded.
pub(in crate::request) const CONFIGURATION_TRUSTED: Duration = Duration::from_secs(6);

/// Where a request goes, and for whom it is made.
struct Routed {
    route: Arc<Route>,
    service: Arc<str>,
    tenant: Option<Arc<Tenant>>,
    /// The caller's name of the attempt.
    attempt: Bytes,
}

/// Finds the route of a request and makes the call that is sent.
///
/// # Errors
///
/// A refusal, always as not run: nothing was sent.
pub(super) fn prepare(
    node: &Arc<Node>,
    request: &Request,
    parent: Option<Parent>,
) -> Result<Call, Refusal> {
    let routed = route(node, request)?;
    if node.refuses_work() && parent.is_none() {
        let refusal = Refusal::new(ErrorKind::Leaving, "node is about to end");
        return Err(refusal.with_retry_after(RETRY_AFTER));
    }
    let call = call(node, request, routed, parent);
    node.refuse_quarantined(&call.message)?;
    if parent.is_some() {
        node.record_called_service(&call.service);
    } else {
        refuse_shed(node, &call)?;
    }
    Ok(call)
}

fn route(node: &Node, request: &Request) -> Result<Routed, Refusal> {
    let head = &request.head;
    let Some(configuration) = node.configuration() else {
        let detail = "no configuration yet";
        return Err(Refusal::new(ErrorKind::NoConfiguration, detail));
    };
    // A request without a host is one for a host that no route has.
    let host = head.headers.text("host").unwrap_or_default();
    let Some(route) = configuration.route(host, &head.target) else {
        return Err(no_route(node));
    };
    let Some(attempt) = head.headers.first(node.header_names.attempt) else {
        let detail = format!("header {} is missing", node.header_names.attempt);
        return Err(Refusal::new(ErrorKind::InvalidRequest, detail));
    };
    let Some(service) = route.next_service() else {
        return Err(Refusal::new(ErrorKind::NoBackend, "route has no service"));
    };
    Ok(Routed {
        service: service.clone(),
        tenant: tenant_of(node, &configuration, route, &head.headers)?,
        route: route.clone(),
        attempt: Bytes::copy_from_slice(attempt),
    })
}

/// A route may be missing since the configuration is old: only a fresh one says that there is none.
fn no_route(node: &Node) -> Refusal {
    if node.is_configuration_fresh(CONFIGURATION_TRUSTED) {
        return Refusal::new(ErrorKind::UnknownService, "no route for this host and path");
    }
    let detail = "no route, and the configuration may be old";
    Refusal::new(ErrorKind::NoConfiguration, detail).with_retry_after(RETRY_AFTER)
}

fn call(node: &Node, request: &Request, routed: Routed, parent: Option<Parent>) -> Call {
    let Routed {
        route,
        service,
        tenant,
        attempt,
    } = routed;
    let head = &request.head;
    let patience_ms = head.headers.text(node.header_names.deadline_ms);
    let times = CallTimes::of(request.arrived, patience_ms, &route, parent.is_some());
    let orders_by_priority = node.settings.policy.order_by_priority;
    let class = CallClass::of(
        &route,
        rank_of(tenant.as_deref()),
        parent,
        orders_by_priority,
    );
    let message = CallMessage {
        // Both times are filled in at each attempt.
        remaining_ms: 0,
        wait_ms: 0,
        criticality: class.criticality as u8,
        kind: route.number(),
        is_idempotent: route.kind.is_idempotent(),
        is_urgent: class.is_urgent,
        is_retry: parent.is_some_and(|parent| parent.is_retry),
        is_head_request: head.method == "HEAD",
        attempt,
        head: forwarded_head(node, request, tenant.as_deref()).into(),
        body: request.body.clone(),
    };
    Call {
        route,
        service,
        tenant,
        message,
        deadline: times.deadline,
        wait_until: times.wait_until,
    }
}

/// Refuses a fresh request where a service that it needs is full.
fn refuse_shed(node: &Node, call: &Call) -> Result<(), Refusal> {
    let rank = rank_of(call.tenant.as_deref());
    if node.admits(&call.route, &call.service, rank) {
        return Ok(());
    }
    let detail = "a service that the request needs is full";
    let refusal = Refusal::new(ErrorKind::Overloaded, detail);
    Err(refusal.with_retry_after(SHED_RETRY_AFTER))
}

/// The rank of a request; without a tenant none goes before another.
pub(super) fn rank_of(tenant: Option<&Tenant>) -> TenantRank {
    tenant.map_or_else(TenantRank::default, |tenant| tenant.rank)
}
