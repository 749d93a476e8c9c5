//! Reading the registry: the list in the store of nodes, and behind them of quarantined requests.
//!
//! **Rule.** A small registry is read as a whole. Of a large one a node reads [`ENOUGH_NODES`]
//! behind its own place, as it links to some nodes of each service only.
//!
//! **Why.** Names begin with a hash, so the nodes behind a place are of all zones and services, and
//! each node reads others. Nodes also learn of those that link to them, so these reads only
//! complete the choice.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    backoff::count_store_call,
    stored_quarantine::{QUARANTINE_PREFIX, StoredQuarantine},
};
use crate::{
    log::rate_limit::LogRateLimit, node::Node, platform::StoreError, protocol::NodeRecord,
};

/// Time between reads. Origin of the figure not recorded.
const READ_INTERVAL: Duration = Duration::from_secs(12);
/// The same where the registry is large, so that all reads together are within the store's means. Origin of
/// the figure not recorded.
const READ_INTERVAL_LARGE: Duration = Duration::from_secs(60);
/// Nodes that are read at a time: enough to choose those that are linked to, and about what the store gives
/// in one answer.
const ENOUGH_NODES: usize = 500;
/// Bytes of an unreadable entry that the log shows.
const SHOWN_BYTES: usize = 80;

/// The name under which a node registers: a hash goes before its own.
pub(super) fn registry_name(node: &str) -> String {
    let hash = xxh3_64(node.as_bytes()) >> (u64::BITS - u16::BITS);
    format!("{hash:04x}-{node}")
}

/// Reads the registry, and knows how large it was found.
#[derive(Debug, Default)]
pub(super) struct RegistryReader {
    /// Whether it has more nodes than are read at a time.
    is_large: bool,
}

impl RegistryReader {
    /// Learns of registered nodes: of all in a small registry, of those behind this node's own place in a
    /// large one.
    pub(super) async fn read(&mut self, node: &Arc<Node>) -> Result<(), StoreError> {
        if !self.is_large {
            self.is_large = !read_from(node, "").await?;
        }
        if self.is_large {
            let own = registry_name(&node.record.node);
            self.is_large = !read_from(node, &own).await?;
            // Quarantined requests stand behind all nodes, where a read that ends before does not get.
            read_from(node, QUARANTINE_PREFIX).await?;
        }
        node.registry_read();
        Ok(())
    }

    /// Time until the next read.
    pub(super) const fn interval(&self) -> Duration {
        match self.is_large {
            true => READ_INTERVAL_LARGE,
            false => READ_INTERVAL,
        }
    }
}

/// Reads from a name on and round to it again, until enough nodes are read; `true` when these are all.
async fn read_from(node: &Arc<Node>, start: &str) -> Result<bool, StoreError> {
    let mut after = start.to_owned();
    let mut has_wrapped = start.is_empty();
    let mut read = 0;
    loop {
        count_store_call(node);
        let page = node.platform.registry_page(&after).await?;
        read += page.records.len();
        learn(node, &page.records);
        match page.next_after {
            Some(_) if read >= ENOUGH_NODES => return Ok(false),
            Some(next) if has_wrapped && !start.is_empty() && *next > *start => return Ok(true),
            Some(next) => after = next,
            None if has_wrapped => return Ok(true),
            None => {
                has_wrapped = true;
                after.clear();
            }
        }
    }
}

/// An entry of the registry.
#[derive(Deserialize)]
#[serde(untagged)]
enum Registered {
    Node(NodeRecord),
    Quarantine(StoredQuarantine),
}

fn learn(node: &Arc<Node>, entries: &[Bytes]) {
    let mut nodes = Vec::with_capacity(entries.len());
    for entry in entries {
        match serde_json::from_slice(entry) {
            Ok(Registered::Node(record)) => nodes.push(record),
            Ok(Registered::Quarantine(stored)) => stored.merge_into(node),
            Err(error) => log_unreadable(entry, &error),
        }
    }
    node.learn_records(nodes);
}

/// Logs an entry that another writer made, or that is damaged; the others are used.
fn log_unreadable(entry: &[u8], error: &serde_json::Error) {
    static UNREADABLE: LogRateLimit = LogRateLimit::new();
    if let Some(left_out) = UNREADABLE.admit() {
        let shown = &entry[..entry.len().min(SHOWN_BYTES)];
        let record = String::from_utf8_lossy(shown);
        tracing::warn!(%error, %record, left_out, "a registration can't be read");
    }
}
