//! For which tenant a request is made.

use std::sync::Arc;

use tallybridge_core::{ErrorKind, Refusal};

use super::entry::{CONFIGURATION_TRUSTED, RETRY_AFTER};
use crate::{
    configuration::{Configuration, Route, tenants::Tenant},
    http::HeaderLines,
    node::Node,
};

/// The tenant whose key a request carries; `None` where none is needed. What the request says of its
/// own place in a chain lets it in nowhere: a name can be made up.
///
/// # Errors
///
/// A refusal when the key is unknown, or may have been taken away since the configuration was read.
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
    if !node.knows_revocations() {
        let detail = "configuration is too old to tell whether a key is still good";
        let refusal = Refusal::new(ErrorKind::StaleConfiguration, detail);
        return Err(refusal.with_retry_after(RETRY_AFTER));
    }
    let mut keys = headers.all(node.names.credential);
    let holder = match (keys.next(), keys.next()) {
        (Some(key), None) => tenants.holder(key.trim_ascii()),
        _ => None,
    };
    holder.cloned().map(Some).ok_or_else(|| unknown_key(node))
}

/// A key may be unknown since it is new: only a fresh configuration says that nobody holds it.
fn unknown_key(node: &Node) -> Refusal {
    let is_behind = node.peer_with_newer_configuration().is_some();
    if node.is_configuration_fresh(CONFIGURATION_TRUSTED) && !is_behind {
        return Refusal::new(ErrorKind::UnknownKey, "no key, or one that no tenant holds");
    }
    let detail = "key is unknown, and the configuration may be old";
    Refusal::new(ErrorKind::NoConfiguration, detail).with_retry_after(RETRY_AFTER)
}
