//! For which tenant a request is made, by the key that it carries.
//!
//! **Rule.** A request of a route that is not public needs exactly one key that a tenant holds, and the
//! configuration must be young enough to tell that the key was not removed.
//!
//! **Inputs.** The request's key; the configuration in force; the time since it was read from the
//! store ([`Node::read_age`]) and since it was confirmed ([`Node::is_configuration_fresh`]);
//! `revoke_within_ms` of the settings, without which a configuration of any age is trusted.
//!
//! **Output.** The tenant, or a refusal: the configuration is stale (503), or the key is unknown (401; 503
//! while it may just be new here).
//!
//! **Why.** A removed key must stop working everywhere within `revoke_within_ms`, also at nodes
//! that are cut off. Reads count and confirmations don't, as these rest on a watch that may be lost
//! in silence. What a request says of its place in a chain of calls admits it nowhere: a name can
//! be made up. What was weighed: `docs/design/quotas.md`.

use std::{sync::Arc, time::Duration};

use tallybridge_core::{ErrorKind, Refusal};

use super::entry::{CONFIGURATION_TRUSTED, RETRY_AFTER};
use crate::{
    configuration::{Configuration, Route, tenants::Tenant},
    http::HeaderLines,
    node::Node,
};

/// Part of `revoke_within_ms` for which a node honours keys without the configuration being read anew. The
/// rest covers the rounding of times that peers report. Origin of the figure not recorded.
const REVOKE_PART: f64 = 0.85;

/// The tenant whose key a request carries; `None` where none is needed.
///
/// # Errors
///
/// A refusal when the key is unknown, or may have been removed since the configuration was read.
pub(super) fn tenant_of(
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
    if !knows_revocations(node) {
        let detail = "configuration is too old to tell whether a key is still good";
        let refusal = Refusal::new(ErrorKind::StaleConfiguration, detail);
        return Err(refusal.with_retry_after(RETRY_AFTER));
    }
    let mut keys = headers.all(node.header_names.credential);
    let holder = match (keys.next(), keys.next()) {
        (Some(key), None) => tenants.holder(key.trim_ascii()),
        _ => None,
    };
    holder.cloned().map(Some).ok_or_else(|| unknown_key(node))
}

/// Whether the configuration is young enough that no key in it can have been removed for longer than
/// `revoke_within_ms`.
fn knows_revocations(node: &Node) -> bool {
    let Some(within_ms) = node.settings.tenants.revoke_within_ms else {
        return true;
    };
    let bound = Duration::from_millis(within_ms).mul_f64(REVOKE_PART);
    node.read_age().is_some_and(|age| age <= bound)
}

/// A key may be unknown because it is new: only a fresh configuration tells that nobody holds it.
fn unknown_key(node: &Node) -> Refusal {
    let is_behind = node.peer_with_newer_configuration().is_some();
    if node.is_configuration_fresh(CONFIGURATION_TRUSTED) && !is_behind {
        return Refusal::new(ErrorKind::UnknownKey, "no key, or one that no tenant holds");
    }
    let detail = "key is unknown, and the configuration may be old";
    Refusal::new(ErrorKind::NoConfiguration, detail).with_retry_after(RETRY_AFTER)
}
