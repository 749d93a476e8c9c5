//! Held requests in the store, so that they outlive the loss of all nodes.
//!
//! The node beside a back end whose crash made a request held, or all but held, writes all such requests into
//! the register, behind the nodes. Whoever reads the register learns of them, so a node that starts needs no
//! call of its own.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use super::backoff::{Backoff, count_store_call};
use crate::{
    node::Node,
    platform::StoreError,
    protocol::{QuarantinedRequest, RequestDigest},
};

/// Begins the names under which holds are registered: after those of nodes, which begin with a digit or
/// a letter.
pub const HOLDS_PREFIX: &str = "~";
/// Life of an entry without renewal: the longest that the store grants.
const LEASE: Duration = Duration::from_secs(600);
/// Time between renewals.
const RENEWAL: Duration = Duration::from_secs(240);
/// Time in which further holds of one series of crashes are written with the first.
const GATHER: Duration = Duration::from_millis(150);

/// A held request, or a suspect, as it is stored.
#[derive(Debug, Serialize, Deserialize)]
struct StoredRequest {
    digest: RequestDigest,
    crashes: u8,
    left_ms: u64,
}

/// An entry of the register.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredQuarantine {
    held: Vec<StoredRequest>,
}

impl StoredQuarantine {
    fn of(held: &[QuarantinedRequest]) -> Self {
        let held = held.iter().map(|held| StoredRequest {
            digest: held.digest,
            crashes: held.crashes,
            left_ms: u64::try_from(held.left.as_millis()).unwrap_or(u64::MAX),
        });
        Self {
            held: held.collect(),
        }
    }

    /// Takes in what another node stored. A hold that was stored a while ago is counted from its reading,
    /// so it lasts longer here by that time.
    pub fn take_in(&self, node: &Node) {
        for hold in &self.held {
            node.learn_quarantined(QuarantinedRequest {
                digest: hold.digest,
                crashes: hold.crashes,
                left: Duration::from_millis(hold.left_ms),
            });
        }
    }
}

/// Stores what is held whenever a crash of the own back end adds to it, and renews that.
pub async fn store_quarantine(node: Arc<Node>) {
    loop {
        node.quarantine_grew().await;
        while let Err(reason) = store_until_over(&node).await {
            tracing::warn!(%reason, "held requests are not stored, peers hold them back meanwhile");
        }
    }
}

async fn store_until_over(node: &Node) -> Result<(), StoreError> {
    let mut backoff = Backoff::new();
    loop {
        sleep(GATHER).await;
        let held = node.suspects_worth_keeping();
        if held.is_empty() {
            return Ok(());
        }
        let lease = match store(node, &held).await {
            Ok(lease) => lease,
            Err(reason) => {
                backoff.wait().await;
                return Err(reason);
            }
        };
        // Written anew when there is more, renewed until then.
        while timeout(RENEWAL, node.quarantine_grew()).await.is_err() {
            if node.suspects_worth_keeping().is_empty() {
                return Ok(());
            }
            count_store_call(node);
            node.platform.renew(lease).await?;
        }
    }
}

async fn store(node: &Node, held: &[QuarantinedRequest]) -> Result<u64, StoreError> {
    count_store_call(node);
    let name = format!("{HOLDS_PREFIX}held-{}", node.record.node);
    // Plain fields always have a JSON form.
    let entry = serde_json::to_vec(&StoredQuarantine::of(held)).unwrap_or_default();
    let registering = node.platform.register(&name, entry.into(), LEASE, None);
    registering.await
}
