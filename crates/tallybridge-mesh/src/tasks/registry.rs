//! Reads the registry, which lists the nodes and, after them, the quarantined requests.
//!
//! A small registry is read as a whole. A node reads about [`ENTRIES_PER_READ`] entries of a large
//! one, starting after its own entry, because it links to only some nodes of each service. Entry
//! names begin with a hash, so each node reads a different mix of zones and services.

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

const READ_INTERVAL: Duration = Duration::from_secs(12);
/// Time between reads of a large registry. It is longer to limit the total load on the store.
const LARGE_REGISTRY_READ_INTERVAL: Duration = Duration::from_secs(60);
/// Number of entries after which a read stops and the registry counts as large. It is about one page
/// of the store.
const ENTRIES_PER_READ: usize = 500;
const MAX_LOGGED_BYTES: usize = 80;

/// Returns the name of a node's entry, which is the node's name after a hash of it.
pub(super) fn registry_name(node: &str) -> String {
    let hash = xxh3_64(node.as_bytes()) >> (u64::BITS - u16::BITS);
    format!("{hash:04x}-{node}")
}

/// Reads the registry, and remembers whether it is large.
#[derive(Debug, Default)]
pub(super) struct RegistryReader {
    /// Whether the last read found more than [`ENTRIES_PER_READ`] entries.
    is_large: bool,
}

impl RegistryReader {
    /// Reads all entries of a small registry. Reads the nodes after this node's own entry, and the
    /// quarantined requests, of a large one.
    pub(super) async fn read(&mut self, node: &Arc<Node>) -> Result<(), StoreError> {
        if !self.is_large {
            self.is_large = !read_from(node, "").await?;
        }
        if self.is_large {
            let own_name = registry_name(&node.record.node);
            self.is_large = !read_from(node, &own_name).await?;
            // Quarantined requests sort after all nodes, so a partial read does not reach them.
            read_from(node, QUARANTINE_PREFIX).await?;
        }
        node.registry_read();
        Ok(())
    }

    /// Returns the time until the next read.
    pub(super) const fn interval(&self) -> Duration {
        match self.is_large {
            true => LARGE_REGISTRY_READ_INTERVAL,
            false => READ_INTERVAL,
        }
    }
}

/// Reads the entries after `start`, wraps around, and stops at `start` or after [`ENTRIES_PER_READ`]
/// entries. Returns whether it read all entries.
async fn read_from(node: &Arc<Node>, start: &str) -> Result<bool, StoreError> {
    let mut after = start.to_owned();
    let mut has_wrapped = start.is_empty();
    let mut entries_read = 0;
    loop {
        count_store_call(node);
        let page = node.platform.registry_page(&after).await?;
        entries_read += page.records.len();
        learn_entries(node, &page.records);
        match page.next_after {
            Some(_) if entries_read >= ENTRIES_PER_READ => return Ok(false),
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

#[derive(Deserialize)]
#[serde(untagged)]
enum RegistryEntry {
    Node(NodeRecord),
    Quarantine(StoredQuarantine),
}

fn learn_entries(node: &Arc<Node>, entries: &[Bytes]) {
    let mut nodes = Vec::with_capacity(entries.len());
    for entry in entries {
        match serde_json::from_slice(entry) {
            Ok(RegistryEntry::Node(record)) => nodes.push(record),
            Ok(RegistryEntry::Quarantine(stored)) => stored.merge_into(node),
            Err(error) => log_undecodable(entry, &error),
        }
    }
    node.learn_records(nodes);
}

/// Logs an entry that is damaged or was written by another program.
fn log_undecodable(entry: &[u8], error: &serde_json::Error) {
    static LOG_RATE_LIMIT: LogRateLimit = LogRateLimit::new();
    if let Some(left_out) = LOG_RATE_LIMIT.admit() {
        let prefix = &entry[..entry.len().min(MAX_LOGGED_BYTES)];
        let record = String::from_utf8_lossy(prefix);
        tracing::warn!(%error, %record, left_out, "cannot decode a registry entry; skipping it");
    }
}
