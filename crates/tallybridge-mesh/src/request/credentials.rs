//! Authentication of a request: finds the tenant that holds the request's key.
//!
//! A request for a route that is not public must carry exactly one key, and a tenant must hold that
//! key. The setting `revoke_within_ms` limits how long a revoked key may work at any node, so a node
//! with an older configuration refuses all such requests. Without the setting, the node trusts a
//! configuration of any age.
//!
//! The age counts from the last read of the configuration ([`Node::read_age`]). Confirmations by the
//! watch do not count, because a watch can fail without an error. Nested calls need a key as well,
//! because a caller could forge the name of a parent attempt.

use std::{sync::Arc, time::Duration};

use tallybridge_core::{ErrorKind, Refusal};

use super::entry::{DEFAULT_RETRY_AFTER, MAX_CONFIGURATION_AGE};
use crate::{
    configuration::{Configuration, Route, tenants::Tenant},
    http::HeaderLines,
    node::Node,
};

/// Fraction of `revoke_within_ms` for which keys are accepted after the last read. The rest covers
/// the rounding of ages that peers report.
const REVOCATION_AGE_FRACTION: f64 = 0.85;

/// Returns the tenant whose key a request carries, or `None` if the request needs no key.
///
/// # Errors
///
/// Refuses a request whose key is missing, unknown or possibly revoked.
pub(super) fn authenticate_tenant(
    node: &Node,
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderLines,
) -> Result<Option<Arc<Tenant>>, Refusal> {
    let Some(tenants) = &configuration.tenants else {
        return Ok(None);
    };
    if route.is_public {
        return Ok(None);
    }
    if !can_trust_keys(node) {
        let detail = "configuration is too old to rule out that the key was revoked";
        let refusal = Refusal::new(ErrorKind::StaleConfiguration, detail);
        return Err(refusal.with_retry_after(DEFAULT_RETRY_AFTER));
    }
    let mut keys = headers.all(node.header_names.credential);
    let tenant = match (keys.next(), keys.next()) {
        (Some(key), None) => tenants.tenant_by_key(key.trim_ascii()),
        _ => None,
    };
    tenant
        .cloned()
        .map(Some)
        .ok_or_else(|| unknown_key_refusal(node))
}

/// Returns whether the configuration contains every revocation that must be in force.
fn can_trust_keys(node: &Node) -> bool {
    let Some(revocation_limit_ms) = node.settings.tenants.revoke_within_ms else {
        return true;
    };
    let max_age = Duration::from_millis(revocation_limit_ms).mul_f64(REVOCATION_AGE_FRACTION);
    node.read_age().is_some_and(|age| age <= max_age)
}

/// Returns the refusal of an unknown key, which is final only if the configuration is fresh: the key
/// may be new.
fn unknown_key_refusal(node: &Node) -> Refusal {
    let has_newer_peer = node.peer_with_newer_configuration().is_some();
    if node.is_configuration_fresh(MAX_CONFIGURATION_AGE) && !has_newer_peer {
        return Refusal::new(
            ErrorKind::UnknownKey,
            "request does not carry exactly one key that a tenant holds",
        );
    }
    let detail = "key is unknown, but the configuration may be out of date";
    Refusal::new(ErrorKind::NoConfiguration, detail).with_retry_after(DEFAULT_RETRY_AFTER)
}
