//! Whether a tenant's limit lets a request in.

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

/// Longest wait for the answer of a tenant's home, many times what a busy node takes.
const ANSWER_WITHIN: Duration = Duration::from_millis(200);
/// Wait before a home is asked for again that another node is taken for: nodes learn of one that
/// comes or goes within some 100 ms of each other.
const ASK_AGAIN: Duration = Duration::from_millis(30);

/// Lets a request of a tenant in, if its limit allows it; tries until a time.
///
/// # Errors
///
/// A refusal when the tenant is at its limit, or its limit can't be asked for.
pub(super) async fn admit(
    node: &Arc<Node>,
    tenant: &Tenant,
    until: BootInstant,
) -> Result<(), Refusal> {
    if tenant.limit.is_none() {
        return Ok(());
    }
    let (ahead, spent, fleet) = match node.take_held_token(tenant) {
        TokenAnswer::Admitted => return Ok(()),
        TokenAnswer::Spent(wait) => return Err(over_quota(wait)),
        TokenAnswer::Ask {
            ahead,
            spent,
            fleet,
        } => (ahead, spent, fleet),
    };
    let ask = QuotaAsk {
        entry: node.record.process,
        ahead,
        spent,
        fleet,
    };
    loop {
        match ask_owner(node, tenant, ask.clone()).await {
            Some(QuotaGrant::Tokens { tokens, fleet }) => {
                node.tokens_granted(tenant, tokens, &fleet);
                return Ok(());
            }
            Some(QuotaGrant::Spent { wait, fleet }) => {
                node.tenant_spent(tenant, wait, &fleet);
                return Err(over_quota(wait));
            }
            Some(QuotaGrant::NotOwner) | None => {}
        }
        if BootInstant::now() + ASK_AGAIN >= until {
            let refusal = Refusal::new(ErrorKind::PeerLost, "limit of the tenant can't be asked");
            let refusal = refusal.with_outcome(Outcome::NotRun);
            return Err(refusal.with_retry_after(RETRY_AFTER));
        }
        sleep(ASK_AGAIN).await;
    }
}

fn over_quota(wait: Duration) -> Refusal {
    Refusal::new(ErrorKind::OverQuota, "tenant is at its limit").with_retry_after(wait)
}

/// Asks the tenant's home for tokens; `None` when it does not answer.
async fn ask_owner(node: &Node, tenant: &Tenant, ask: QuotaAsk) -> Option<QuotaGrant> {
    node.counters.quota_asks.fetch_add(1, Ordering::Relaxed);
    match node.quota_owner(tenant) {
        QuotaOwner::Local => Some(node.grant_own(tenant, ask)),
        QuotaOwner::Peer(link) => ask_peer(&link, tenant, ask, false).await,
        QuotaOwner::Split(parts) => Some(node.grant_part(tenant, parts, ask)),
    }
}

/// Asks the home of a tenant for another node. That one may reach this node and not the home, as when a
/// connection between them has gone silent: its requests would be refused until a new one is open.
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
