//! Stores the quarantine in the registry, so that it survives a loss of all nodes.
//!
//! The node whose back end crashed last writes a snapshot of its quarantine table as one entry,
//! under a lease of its own. Other nodes receive the entry with their regular reads of the registry.
//! The node renews the entry while the snapshot is not empty, and writes it again when a crash adds
//! to it. While the store is unavailable, nodes exchange the quarantine over their links.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use super::backoff::{Backoff, count_store_call};
use crate::{
    node::Node,
    platform::StoreError,
    protocol::{QuarantinedRequest, RequestDigest},
};

/// Prefix of the entry names. It sorts after the names of nodes, which begin with a digit or a
/// letter.
pub const QUARANTINE_PREFIX: &str = "~";
/// Time to live of an entry's lease, the longest that the platform's store grants.
const LEASE_TTL: Duration = Duration::from_secs(600);
const RENEWAL_INTERVAL: Duration = Duration::from_secs(240);
/// Wait before a write, which lets one write include all requests of a series of crashes.
const WRITE_DELAY: Duration = Duration::from_millis(150);

/// Registry entry with the quarantine snapshot of one node.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredQuarantine {
    #[serde(rename = "held")]
    requests: Vec<StoredRequest>,
}

/// Stored form of a quarantined or suspect request.
#[derive(Debug, Serialize, Deserialize)]
struct StoredRequest {
    /// 32 hexadecimal digits.
    digest: RequestDigest,
    crashes: u8,
    /// Remaining quarantine at the time of writing, in milliseconds; 0 for a suspect.
    left_ms: u64,
}

impl StoredQuarantine {
    fn from_snapshot(snapshot: &[QuarantinedRequest]) -> Self {
        let requests = snapshot.iter().map(|request| StoredRequest {
            digest: request.digest,
            crashes: request.crashes,
            left_ms: u64::try_from(request.remaining.as_millis()).unwrap_or(u64::MAX),
        });
        Self {
            requests: requests.collect(),
        }
    }

    /// Merges the entry of another node into this node's quarantine. The remaining time counts from
    /// now, so the age of the entry extends each quarantine.
    pub fn merge_into(&self, node: &Node) {
        for request in &self.requests {
            node.merge_quarantined(QuarantinedRequest {
                digest: request.digest,
                crashes: request.crashes,
                remaining: Duration::from_millis(request.left_ms),
            });
        }
    }
}

/// Stores the quarantine whenever a crash of this node's back end adds to it, and renews the entry.
/// Never returns.
pub async fn store_quarantine(node: Arc<Node>) {
    loop {
        node.quarantine_grew().await;
        while let Err(reason) = store_until_empty(&node).await {
            tracing::warn!(%reason, "cannot store the quarantined requests; retrying");
        }
    }
}

async fn store_until_empty(node: &Node) -> Result<(), StoreError> {
    let mut backoff = Backoff::new();
    loop {
        sleep(WRITE_DELAY).await;
        let snapshot = node.quarantine_snapshot();
        if snapshot.is_empty() {
            return Ok(());
        }
        let lease = match store(node, &snapshot).await {
            Ok(lease) => lease,
            Err(reason) => {
                backoff.wait().await;
                return Err(reason);
            }
        };
        // Renews the entry until a crash adds to the snapshot, then writes it again.
        while timeout(RENEWAL_INTERVAL, node.quarantine_grew())
            .await
            .is_err()
        {
            if node.quarantine_snapshot().is_empty() {
                return Ok(());
            }
            count_store_call(node);
            node.platform.renew(lease).await?;
        }
    }
}

async fn store(node: &Node, snapshot: &[QuarantinedRequest]) -> Result<u64, StoreError> {
    count_store_call(node);
    let name = format!("{QUARANTINE_PREFIX}held-{}", node.record.node);
    let registration = node
        .platform
        .register(&name, encode(snapshot), LEASE_TTL, None);
    registration.await
}

fn encode(snapshot: &[QuarantinedRequest]) -> Bytes {
    match serde_json::to_vec(&StoredQuarantine::from_snapshot(snapshot)) {
        Ok(json) => json.into(),
        Err(error) => {
            // Unreachable: numbers and strings always have a JSON form.
            tracing::error!(%error, "cannot encode the quarantined requests; storing an empty entry");
            Bytes::new()
        }
    }
}
