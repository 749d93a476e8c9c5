//! Whether a request is within its tenant's rate limit: asks the owner of the limit for a token. The rule:
//! [`tables::quotas`](crate::tables::quotas).

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tallybridge_core::{ErrorKind, Outcome, Refusal};
use tokio::time::{sleep, timeout};

use super::entry::RETRY_AFTER;
use crate::{
    clock::BootInstant,
    configuration::tenants::Tenant,
    link::{Link, Reply},
    node::Node,
    protocol::{QuotaAsk, QuotaGrant},
    tables::{QuotaOwner, quotas::TokenAnswer},
};

/// Longest wait for an owner's answer, which takes about a millisecond, or three across zones
/// (`docs/design/quotas.md`). Origin of the figure not recorded.
const ANSWER_WITHIN: Duration = Duration::from_millis(200);
/// Wait before an owner is asked again that did not answer or does not know that it is the owner: nodes
/// learn of one that comes or goes within some 100 ms of each other. Origin of the figure not recorded.
const ASK_AGAIN: Duration = Duration::from_millis(30);

/// Admits a request of a tenant if its limit allows it; asks until the time `until`.
///
/// # Errors
///
/// A refusal when the tenant is at its limit, or nobody can tell whether it is.
pub(super) async fn admit(
    node: &Arc<Node>,
    tenant: &Tenant,
    until: BootInstant,
) -> Result<(), Refusal> {
    if tenant.limit.is_none() {
        return Ok(());
    }
    let ask = match node.take_held_token(tenant) {
        TokenAnswer::Admitted => return Ok(()),
        TokenAnswer::Spent(wait) => return Err(over_quota(wait)),
        TokenAnswer::Ask {
            ahead,
            spent,
            fleet,
        } => QuotaAsk {
            entry: node.record.process,
            ahead,
            spent,
            fleet,
        },
    };
    loop {
        match ask_owner(node, tenant, ask.clone()).await {
            Some(QuotaGrant::Tokens { tokens, fleet }) => {
                node.tokens_granted(tenant, tokens, &fleet);
                return Ok(());
            }
            Some(QuotaGrant::Spent { wait, fleet }) => {
                node.tenant_at_limit(tenant, wait, &fleet);
                return Err(over_quota(wait));
            }
            Some(QuotaGrant::NotOwner) | None => {}
        }
        if BootInstant::now() + ASK_AGAIN >= until {
            return Err(no_owner());
        }
        sleep(ASK_AGAIN).await;
    }
}

fn over_quota(wait: Duration) -> Refusal {
    Refusal::new(ErrorKind::OverQuota, "tenant is at its limit").with_retry_after(wait)
}

fn no_owner() -> Refusal {
    Refusal::new(ErrorKind::PeerLost, "limit of the tenant can't be asked")
        .with_outcome(Outcome::NotRun)
        .with_retry_after(RETRY_AFTER)
}

/// Asks the tenant's owner for tokens; `None` when it does not answer.
async fn ask_owner(node: &Node, tenant: &Tenant, ask: QuotaAsk) -> Option<QuotaGrant> {
    node.counters.quota_asks.fetch_add(1, Ordering::Relaxed);
    match node.quota_owner(tenant) {
        QuotaOwner::Local => Some(node.grant_as_owner(tenant, ask)),
        QuotaOwner::Peer(link) => ask_peer(&link, tenant, ask, false).await,
        QuotaOwner::Split(parts) => Some(node.grant_share(tenant, parts, ask)),
    }
}

/// Asks a tenant's owner on behalf of another node. That node may reach this one and not the owner,
/// as when a connection between them went silent: its requests would be refused until a new one is
/// open.
pub async fn forward(node: &Node, tenant: &[u8], ask: QuotaAsk) -> QuotaGrant {
    let Some(tenant) = node.tenant_named(tenant) else {
        return QuotaGrant::NotOwner;
    };
    let QuotaOwner::Peer(link) = node.quota_owner(&tenant) else {
        return QuotaGrant::NotOwner;
    };
    let grant = ask_peer(&link, &tenant, ask, true).await;
    grant.unwrap_or(QuotaGrant::NotOwner)
}

/// `None` when the link is lost or no answer comes: the caller asks again, by then perhaps another owner.
async fn ask_peer(
    link: &Arc<Link>,
    tenant: &Tenant,
    ask: QuotaAsk,
    is_forwarded: bool,
) -> Option<QuotaGrant> {
    let mut asked = link.ask_quota(&tenant.name, ask, is_forwarded).ok()?;
    match timeout(ANSWER_WITHIN, asked.reply()).await {
        Ok(Ok(Reply::Quota(grant))) => Some(grant),
        _ => None,
    }
}
