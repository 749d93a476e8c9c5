//! Applies the rate limit of a tenant: asks the owner of the limit for a token.
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
/// Delay before the entry asks again. Nodes detect a change of the owner within about 100 ms of each
/// other.
const ASK_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Admits a request if the tenant's rate limit allows it. Asks the owner until `wait_until` at most.
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
    let ask = match node.take_held_token(tenant) {
        TokenAnswer::Admitted => return Ok(()),
        TokenAnswer::AtLimit(wait) => return Err(over_quota_refusal(wait)),
        TokenAnswer::Ask {
            ahead,
            spent,
            fleet,
        } => QuotaRequest {
            entry: node.record.process,
            extra_tokens: ahead,
            admitted: spent,
            spending: fleet,
        },
    };
    loop {
        match ask_owner(node, tenant, ask.clone()).await {
            Some(QuotaGrant::Tokens {
                tokens,
                spending: fleet,
            }) => {
                node.tokens_granted(tenant, tokens, &fleet);
                return Ok(());
            }
            Some(QuotaGrant::Exhausted {
                wait,
                spending: fleet,
            }) => {
                node.tenant_at_limit(tenant, wait, &fleet);
                return Err(over_quota_refusal(wait));
            }
            Some(QuotaGrant::NotOwner) | None => {}
        }
        if BootInstant::now() + ASK_RETRY_DELAY >= wait_until {
            return Err(no_owner_refusal());
        }
        sleep(ASK_RETRY_DELAY).await;
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

/// Asks the owner of the tenant's limit for tokens; returns `None` if the owner does not answer.
async fn ask_owner(node: &Node, tenant: &Tenant, ask: QuotaRequest) -> Option<QuotaGrant> {
    node.counters.quota_asks.fetch_add(1, Ordering::Relaxed);
    match node.quota_owner(tenant) {
        QuotaOwner::Local => Some(node.grant_as_owner(tenant, ask)),
        QuotaOwner::Peer(link) => ask_peer(&link, tenant, ask, false).await,
        QuotaOwner::Split(parts) => Some(node.grant_share(tenant, parts, ask)),
    }
}

/// Asks the owner of a tenant's limit on behalf of another node, whose own connection to the owner
/// may be unresponsive. Answers [`QuotaGrant::NotOwner`] if no peer owns the limit or the owner does
/// not answer.
pub async fn forward(node: &Node, tenant: &[u8], ask: QuotaRequest) -> QuotaGrant {
    let Some(tenant) = node.tenant_named(tenant) else {
        return QuotaGrant::NotOwner;
    };
    let QuotaOwner::Peer(link) = node.quota_owner(&tenant) else {
        return QuotaGrant::NotOwner;
    };
    let grant = ask_peer(&link, &tenant, ask, true).await;
    grant.unwrap_or(QuotaGrant::NotOwner)
}

/// Asks a peer for tokens; returns `None` if the link closes or no answer arrives in time.
async fn ask_peer(
    link: &Arc<Link>,
    tenant: &Tenant,
    ask: QuotaRequest,
    is_forwarded: bool,
) -> Option<QuotaGrant> {
    let mut pending_ask = link.ask_quota(&tenant.name, ask, is_forwarded).ok()?;
    match timeout(OWNER_ANSWER_TIMEOUT, pending_ask.reply()).await {
        Ok(Ok(Reply::Quota(grant))) => Some(grant),
        _ => None,
    }
}
