//! Stores the quarantine in the registry, so that it outlasts the loss of all nodes.
//!
//! The node beside the back end that crashed last writes the snapshot of its table as one entry,
//! under its own lease and behind the entries of the nodes. Whoever reads the registry reads it
//! too, so a node that starts needs no call of its own to the store. The entry is renewed while the
//! snapshot is not empty and written anew when a crash adds to it. While the store is down, peers
//! pass the quarantine on.

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

/// First character of the names of these entries: it sorts after those of nodes, which begin with a
/// digit or a letter.
pub const QUARANTINE_PREFIX: &str = "~";
/// Lease of an entry, the longest that the platform's store grants.
const LEASE: Duration = Duration::from_secs(600);
/// Time between renewals: two fit into a lease. Origin not recorded.
const RENEWAL: Duration = Duration::from_secs(240);
/// Wait before an entry is written, so that one write has all requests of a series of crashes.
/// Origin not recorded.
const GATHER: Duration = Duration::from_millis(150);

/// An entry of the registry: the snapshot of one node.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredQuarantine {
    #[serde(rename = "held")]
    requests: Vec<StoredRequest>,
}

/// A quarantined request, or a suspect, in its stored form.
#[derive(Debug, Serialize, Deserialize)]
struct StoredRequest {
    /// 32 hexadecimal digits.
    digest: RequestDigest,
    crashes: u8,
    /// Time left of the quarantine when the entry was written, in milliseconds; 0 for a suspect.
    left_ms: u64,
}

impl StoredQuarantine {
    fn of(snapshot: &[QuarantinedRequest]) -> Self {
        let requests = snapshot.iter().map(|request| StoredRequest {
            digest: request.digest,
            crashes: request.crashes,
            left_ms: u64::try_from(request.remaining.as_millis()).unwrap_or(u64::MAX),
        });
        Self {
            requests: requests.collect(),
        }
    }

    /// Merges the entry of another node. The time left counts from now, so a quarantine lasts
    /// longer here by the age of the entry.
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

/// Stores the quarantine whenever a crash of the own back end adds to it, and renews the entry.
pub async fn store_quarantine(node: Arc<Node>) {
    loop {
        node.quarantine_grew().await;
        while let Err(reason) = store_until_empty(&node).await {
            tracing::warn!(%reason, "quarantined requests are not stored, peers refuse them meanwhile");
        }
    }
}

async fn store_until_empty(node: &Node) -> Result<(), StoreError> {
    let mut backoff = Backoff::new();
    loop {
        sleep(GATHER).await;
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
        // Renewed until a crash adds to the snapshot, then written anew.
        while timeout(RENEWAL, node.quarantine_grew()).await.is_err() {
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
    let registering = node.platform.register(&name, encode(snapshot), LEASE, None);
    registering.await
}

fn encode(snapshot: &[QuarantinedRequest]) -> Bytes {
    match serde_json::to_vec(&StoredQuarantine::of(snapshot)) {
        Ok(json) => json.into(),
        Err(error) => {
            // Numbers and texts always have a JSON form.
            tracing::error!(%error, "quarantine can't be encoded, an empty entry is stored");
            Bytes::new()
        }
    }
}
