//! Stores the quarantine in the registry, so that it survives a loss of all nodes.
//!
//! The node whose back end crashed writes a snapshot of its quarantine table as one entry, under a
//! lease of its own, and tells its peers which crash counts the store holds. If the store does not
//! serve this node, or the node ends, other nodes write the snapshot after a random delay. Nodes
//! receive the entries with their regular reads of the registry. A node renews its entry while the
//! snapshot is not empty.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, sleep_until};

use super::backoff::{Backoff, count_store_call};
use crate::{
    node::Node,
    platform::{RegistryEntry, StoreError},
    protocol::{QuarantinedRequest, RequestDigest},
};

/// Prefix of the entry names. It sorts after the names of nodes, which begin with a digit or a
/// letter.
pub const QUARANTINE_PREFIX: &str = "~";
/// Time to live of an entry's lease, the longest that the platform's store grants.
const LEASE_TTL: Duration = Duration::from_secs(600);
const RENEWAL_INTERVAL: Duration = Duration::from_secs(240);
/// Minimum time between two writes after crashes of one back end. One write then includes all requests of
/// a series of crashes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(150);
/// Time that the node beside a crashed back end has to store the crash before other nodes do.
const MIN_PEER_WRITE_DELAY: Duration = Duration::from_millis(100);
/// Average time between attempts of different nodes, which bounds the load on the store.
const WRITE_SPACING: Duration = Duration::from_millis(10);

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
            node.merge_stored(QuarantinedRequest {
                digest: request.digest,
                crashes: request.crashes,
                remaining: Duration::from_millis(request.left_ms),
            });
        }
    }
}

/// Entry of this node in the registry.
struct Entry {
    lease: u64,
    written_at: Instant,
}

/// Stores the quarantine whenever crashes add to it, and renews the entry. Never returns.
pub async fn store_quarantine(node: Arc<Node>) {
    let mut entry = None;
    loop {
        let is_renewal = wait_for_work(&node, entry.as_ref()).await;
        entry = match entry {
            Some(entry) if is_renewal => renew(&node, entry).await,
            entry => store_with_retries(&node, entry).await,
        };
    }
}

/// Waits until the snapshot must be written, or until the entry must be renewed, and then returns
/// `true`.
async fn wait_for_work(node: &Node, entry: Option<&Entry>) -> bool {
    let last_written_at = entry.map(|entry| entry.written_at);
    tokio::select! {
        () = own_crash(node, last_written_at) => false,
        () = unstored_crashes_of_peers(node) => false,
        () = sleep(RENEWAL_INTERVAL), if entry.is_some() => true,
    }
}

/// Waits for a crash of the back end beside this node, and until the entry may be written again.
async fn own_crash(node: &Node, last_written_at: Option<Instant>) {
    node.quarantine_grew().await;
    if let Some(written_at) = last_written_at {
        sleep_until(written_at + MIN_WRITE_INTERVAL).await;
    }
}

/// Waits until crashes of other back ends were reported and no node has stored them in time.
async fn unstored_crashes_of_peers(node: &Node) {
    loop {
        if !node.has_unstored_crashes() {
            node.unstored_crashes_reported().await;
        }
        sleep(peer_write_delay(node)).await;
        if node.has_unstored_crashes() {
            return;
        }
    }
}

/// Returns the random time for which a node leaves a write to others. All nodes together make about
/// one attempt per [`WRITE_SPACING`].
fn peer_write_delay(node: &Node) -> Duration {
    let nodes = node.with_peers(|peers| peers.count_nodes(|_| true));
    let spread = WRITE_SPACING * u32::try_from(nodes).unwrap_or(u32::MAX);
    MIN_PEER_WRITE_DELAY + spread.mul_f64(rand::rng().random())
}

/// Writes the snapshot until the store holds it, written by this node or another one. Returns this
/// node's entry, or `None` if there is nothing to store, so that an earlier entry expires.
async fn store_with_retries(node: &Node, entry: Option<Entry>) -> Option<Entry> {
    let mut backoff = Backoff::new();
    loop {
        let snapshot = node.quarantine_snapshot();
        if snapshot.is_empty() {
            return None;
        }
        let written_at = Instant::now();
        match store(node, &snapshot).await {
            Ok(lease) => {
                for request in snapshot {
                    node.merge_stored(request);
                }
                return Some(Entry { lease, written_at });
            }
            Err(reason) => {
                tracing::warn!(%reason, "cannot store the quarantined requests; retrying");
            }
        }
        backoff.wait().await;
        sleep(peer_write_delay(node)).await;
        if !node.has_unstored_crashes() {
            return entry;
        }
    }
}

/// Renews an entry, or writes it again if that fails.
async fn renew(node: &Node, entry: Entry) -> Option<Entry> {
    if node.quarantine_snapshot().is_empty() {
        return None;
    }
    count_store_call(node);
    match node.platform.renew(entry.lease).await {
        Ok(()) => Some(entry),
        Err(reason) => {
            tracing::warn!(%reason, "cannot renew the stored quarantine; writing it again");
            store_with_retries(node, Some(entry)).await
        }
    }
}

async fn store(node: &Node, snapshot: &[QuarantinedRequest]) -> Result<u64, StoreError> {
    count_store_call(node);
    let entry = RegistryEntry {
        name: format!("{QUARANTINE_PREFIX}held-{}", node.record.node),
        value: encode(snapshot),
    };
    node.platform.register(&[entry], LEASE_TTL, None).await
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
