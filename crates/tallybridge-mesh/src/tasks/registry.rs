//! Reads the registry, which lists the nodes and, after them, the quarantined requests.
//!
//! A small registry is read as a whole. A node reads about `ENTRIES_PER_READ` entries of a large
//! one, from its own entry on, because it links to only some nodes of each service. Entry names begin
//! with a hash, so each node reads a different mix of zones and services.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use rand::Rng;
use serde::Deserialize;
use tokio::time::sleep;

use super::{
    backoff::{Backoff, count_store_call},
    stored_quarantine::{QUARANTINE_PREFIX, StoredQuarantine},
};
use crate::{
    log::rate_limit::LogRateLimit,
    node::{Node, registration::registry_name_prefix},
    platform::StoreError,
    protocol::NodeRecord,
};

const READ_INTERVAL: Duration = Duration::from_secs(12);
/// Time between reads of a large registry. It is longer to limit the total load on the store.
const LARGE_REGISTRY_READ_INTERVAL: Duration = Duration::from_secs(60);
/// Number of entries after which a read stops and the registry counts as large. It is about one page
/// of the store.
const ENTRIES_PER_READ: usize = 500;
const MAX_LOGGED_BYTES: usize = 80;
/// Time from the first read, or from the registration that follows it in a small fleet, to the next
/// read. A read may be seconds out of date, so nodes that start together find each other with it.
const SECOND_READ_DELAY: Duration = Duration::from_secs(4);
/// Longest wait of a node in a small fleet for its registration before it reads the registry again.
const REGISTRATION_WAIT: Duration = Duration::from_secs(1);
const REGISTRATION_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest delay of the first read in a new fleet.
const NEW_FLEET_READ_SPREAD: Duration = Duration::from_millis(1500);
/// Factor by which the number of nodes that have read the registry grows over the spread.
const NEW_FLEET_READ_GROWTH: f64 = 64.0;

/// Reads the registry at the start and then regularly, for as long as the process runs.
pub async fn follow_registry(node: Arc<Node>) {
    if node.settings.new_fleet {
        sleep(new_fleet_read_delay()).await;
    }
    let mut reader = RegistryReader::default();
    let mut backoff = Backoff::new();
    while let Err(reason) = reader.read(&node).await {
        tracing::warn!(%reason, "cannot read the registry; retrying");
        backoff.wait().await;
    }
    if !node.watch_view().shares_watches() {
        wait_for_registration(&node).await;
        reader.read_again(&node).await;
    }
    // After a restart of nodes of a large fleet, their former entries are still there.
    let mut delay = match reader.is_large() && node.is_listed() {
        true => reader.interval(),
        false => SECOND_READ_DELAY,
    };
    loop {
        tokio::select! {
            () = sleep(delay) => {}
            () = node.registry_suspected() => {}
        }
        reader.read_again(&node).await;
        delay = reader.interval();
    }
}

/// Returns the random delay of the first read while the registry of a new fleet is still empty.
///
/// The number of nodes that have read it grows exponentially, whatever the size of the fleet. In a
/// large fleet only the first few of them find too few entries and register themselves, because the
/// many that follow find their entries.
fn new_fleet_read_delay() -> Duration {
    let share = 1.0 - rand::rng().random::<f64>();
    let position = 1.0 + share.ln() / NEW_FLEET_READ_GROWTH.ln();
    NEW_FLEET_READ_SPREAD.mul_f64(position.max(0.0))
}

async fn wait_for_registration(node: &Node) {
    let registration = async {
        while !node.is_registered() {
            sleep(REGISTRATION_CHECK_INTERVAL).await;
        }
    };
    // Without a registration, the next read finds the others all the same.
    let _ = tokio::time::timeout(REGISTRATION_WAIT, registration).await;
}

/// Reads the registry, and remembers whether it is large.
#[derive(Debug, Default)]
struct RegistryReader {
    /// Whether the last read found more than [`ENTRIES_PER_READ`] entries; `None` before the first.
    is_large: Option<bool>,
}

impl RegistryReader {
    /// Reads all entries of a registry that is known to be small. Otherwise reads the nodes from this
    /// node's own entry on, and the quarantined requests.
    async fn read(&mut self, node: &Arc<Node>) -> Result<(), StoreError> {
        let own_prefix = registry_name_prefix(&node.record.node);
        let start = match self.is_large {
            Some(false) => "",
            Some(true) | None => own_prefix.as_str(),
        };
        let mut part = read_from(node, start).await?;
        if !part.reached_end {
            // Quarantined requests sort after all nodes.
            let quarantined = read_from(node, QUARANTINE_PREFIX).await?;
            part.entries.extend(quarantined.entries);
        }
        self.is_large = Some(!part.is_whole);
        // Adds all nodes together, because each addition may change the selection of links.
        learn_entries(node, &part.entries);
        node.registry_read();
        Ok(())
    }

    /// Reads the registry again. Keeps the known nodes if that fails.
    async fn read_again(&mut self, node: &Arc<Node>) {
        if let Err(reason) = self.read(node).await {
            tracing::warn!(%reason, "cannot read the registry; keeping the known nodes");
            node.suspect_watch();
        }
        node.forget_unlinked_nodes();
    }

    fn is_large(&self) -> bool {
        self.is_large == Some(true)
    }

    /// Returns the time until the next read.
    fn interval(&self) -> Duration {
        match self.is_large() {
            true => LARGE_REGISTRY_READ_INTERVAL,
            false => READ_INTERVAL,
        }
    }
}

/// Entries that one read of the registry found.
#[derive(Debug, Default)]
struct RegistryPart {
    entries: Vec<Bytes>,
    /// Whether these are all entries.
    is_whole: bool,
    /// Whether the read reached the last entry.
    reached_end: bool,
}

/// Reads the entries after `start`, wraps around, and stops at `start` or after [`ENTRIES_PER_READ`]
/// entries.
async fn read_from(node: &Arc<Node>, start: &str) -> Result<RegistryPart, StoreError> {
    let mut part = RegistryPart::default();
    let mut after = start.to_owned();
    let mut has_wrapped = start.is_empty();
    loop {
        count_store_call(node);
        let page = node.platform.registry_page(&after).await?;
        part.entries.extend(page.records);
        part.reached_end |= page.next_after.is_none();
        match page.next_after {
            Some(next) if has_wrapped && !start.is_empty() && *next > *start => {
                part.is_whole = true;
                return Ok(part);
            }
            Some(_) if part.entries.len() >= ENTRIES_PER_READ => return Ok(part),
            Some(next) => after = next,
            None if has_wrapped => {
                part.is_whole = true;
                return Ok(part);
            }
            None if part.entries.len() >= ENTRIES_PER_READ => return Ok(part),
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
