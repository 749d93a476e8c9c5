//! Applies the rate limit of a tenant: requests tokens from the owner of the limit.
//! [`tables::quotas`](crate::tables::quotas) describes the algorithm.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tallybridge_core::{ErrorKind, Outcome, Refusal};
use tokio::time::{sleep, timeout};

use super::entry::DEFAULT_RETRY_AFTER;
use crate::{
    clock::BootInstant,
    configuration::tenants::Tenant,
    link::{Link, Reply},
    node::Node,
    protocol::{QuotaGrant, QuotaRequest},
    tables::{QuotaOwner, quotas::TokenAnswer},
};

/// Maximum wait for the answer of an owner, which takes a few milliseconds even across zones.
const OWNER_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before the entry requests tokens again. Nodes detect a change of the owner within about
/// 100 ms of each other.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Admits a request if the tenant's rate limit allows it. Requests tokens until `wait_until` at
/// most.
///
/// # Errors
///
/// Refuses the request if the tenant has reached its limit or if no owner answers in time.
pub(super) async fn admit(
    node: &Arc<Node>,
    tenant: &Tenant,
    wait_until: BootInstant,
) -> Result<(), Refusal> {
    if tenant.limit.is_none() {
        return Ok(());
    }
    let request = match node.take_held_token(tenant) {
        TokenAnswer::Admitted => return Ok(()),
        TokenAnswer::AtLimit(wait) => return Err(over_quota_refusal(wait)),
        TokenAnswer::RequestTokens {
            extra_tokens,
            admitted,
            spending,
        } => QuotaRequest {
            entry: node.record.process,
            extra_tokens,
            admitted,
            spending,
        },
    };
    loop {
        match request_tokens(node, tenant, request.clone()).await {
            Some(QuotaGrant::Tokens { tokens, spending }) => {
                node.tokens_granted(tenant, tokens, &spending);
                return Ok(());
            }
            Some(QuotaGrant::Exhausted { wait, spending }) => {
                node.tenant_at_limit(tenant, wait, &spending);
                return Err(over_quota_refusal(wait));
            }
            Some(QuotaGrant::NotOwner) | None => {}
        }
        if BootInstant::now() + OWNER_RETRY_DELAY >= wait_until {
            return Err(no_owner_refusal());
        }
        sleep(OWNER_RETRY_DELAY).await;
    }
}

fn over_quota_refusal(wait: Duration) -> Refusal {
    Refusal::new(ErrorKind::OverQuota, "tenant has reached its rate limit").with_retry_after(wait)
}

fn no_owner_refusal() -> Refusal {
    Refusal::new(
        ErrorKind::PeerLost,
        "no owner of the tenant's rate limit answered",
    )
    .with_outcome(Outcome::NotRun)
    .with_retry_after(DEFAULT_RETRY_AFTER)
}

/// Requests tokens from the owner of the tenant's limit. Returns `None` if the owner does not
/// answer.
async fn request_tokens(node: &Node, tenant: &Tenant, request: QuotaRequest) -> Option<QuotaGrant> {
    node.counters.quota_asks.fetch_add(1, Ordering::Relaxed);
    match node.quota_owner(tenant) {
        QuotaOwner::Local => Some(node.grant_as_owner(tenant, request)),
        QuotaOwner::Peer(link) => request_from_peer(&link, tenant, request, false).await,
        QuotaOwner::Split(parts) => Some(node.grant_share(tenant, parts, request)),
    }
}

/// Requests tokens from the owner of a tenant's limit on behalf of another node, whose own link to
/// the owner may be unresponsive. Answers [`QuotaGrant::NotOwner`] if no peer owns the limit or the
/// owner does not answer.
pub async fn forward(node: &Node, tenant: &[u8], request: QuotaRequest) -> QuotaGrant {
    let Some(tenant) = node.tenant_named(tenant) else {
        return QuotaGrant::NotOwner;
    };
    let QuotaOwner::Peer(link) = node.quota_owner(&tenant) else {
        return QuotaGrant::NotOwner;
    };
    let grant = request_from_peer(&link, &tenant, request, true).await;
    grant.unwrap_or(QuotaGrant::NotOwner)
}

/// Requests tokens from a peer. Returns `None` if the link closes or no answer arrives in time.
async fn request_from_peer(
    link: &Arc<Link>,
    tenant: &Tenant,
    request: QuotaRequest,
    is_forwarded: bool,
) -> Option<QuotaGrant> {
    let mut pending_request = link
        .request_tokens(&tenant.name, request, is_forwarded)
        .ok()?;
    match timeout(OWNER_ANSWER_TIMEOUT, pending_request.reply()).await {
        Ok(Ok(Reply::Quota(grant))) => Some(grant),
        _ => None,
    }
}
