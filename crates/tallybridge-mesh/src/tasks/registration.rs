//! The register of nodes in the store: this node's entry, and the entries of the others.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use rand::Rng;
use serde::Deserialize;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    backoff::{Backoff, count_store_call},
    stored_quarantine::{HOLDS_PREFIX, StoredQuarantine},
};
use crate::{
    clock::BootInstant, log::rate_limit::LogRateLimit, node::Node, platform::StoreError,
    protocol::NodeRecord,
};

/// Life of a node's registration without renewal: an outage of the store that is shorter ends none.
const REGISTRATION: Duration = Duration::from_secs(20);
/// Time between renewals of a node that learns of changes from peers.
const RENEWAL: Duration = Duration::from_secs(6);
/// The same of a node that watches the store for itself: each renewal confirms the configuration,
/// which is trusted to know all routes for 6 s.
const RENEWAL_WATCHING: Duration = Duration::from_secs(4);
/// The same of a node that watches the store for others as well, which trust a confirmation for
/// 1.2 s.
const RENEWAL_CONFIRMING: Duration = Duration::from_millis(500);
/// Time between tries to renew while the store does not answer. A lease that lapsed meanwhile is
/// found out, and the node registered again, within some 2 s of the store's return.
const RENEWAL_RETRY: Duration = Duration::from_millis(600);
/// Looks at the register right after registering. Each may show a register that is seconds old and
/// costs a tenth of one that does not: nodes that start together find each other with the later one.
const EARLY_LOOKS: [Duration; 2] = [Duration::ZERO, Duration::from_secs(4)];
/// Time between looks after those.
const LOOK: Duration = Duration::from_secs(12);
/// The same where the register is large, so that all looks together are within the store's means;
/// nodes that start make themselves known to those that they link to.
const LOOK_LARGE: Duration = Duration::from_secs(60);
/// Nodes that are read in one look: enough to choose those that are linked to.
const ENOUGH_NODES: usize = 500;
/// Least part of the time between renewals that passes before the first one: nodes that start
/// together don't renew together.
const FIRST_RENEWAL_MIN: f64 = 0.25;
/// Bytes of an entry that can't be read that the log shows.
const SHOWN_BYTES: usize = 80;
/// Longest wait for the end of a registration at a stop.
const UNREGISTER: Duration = Duration::from_millis(200);

/// Registers this node, renews that, and learns of other nodes.
pub async fn maintain_registration(node: Arc<Node>) {
    let mut backoff = Backoff::new();
    let mut register = Register::default();
    loop {
        let reason = match register_and_renew(&node, &mut register, &mut backoff).await {
            Err(reason) => reason,
            Ok(never) => match never {},
        };
        tracing::warn!(%reason, "registration lost");
        node.suspect_watch();
        backoff.wait().await;
    }
}

async fn register_and_renew(
    node: &Arc<Node>,
    register: &mut Register,
    backoff: &mut Backoff,
) -> Result<Infallible, StoreError> {
    // What nodes registered before they ended tells how many slots their back ends have.
    register.look(node).await?;
    let lease = register_self(node, None).await?;
    *backoff = Backoff::new();
    let mut early_looks = EARLY_LOOKS.into_iter();
    let mut look_at = Instant::now() + early_looks.next().unwrap_or(LOOK);
    let mut renewed_at = Instant::now();
    // Part of the time between renewals that passes before the next one.
    let mut part = rand::rng().random_range(FIRST_RENEWAL_MIN..1.0);
    loop {
        tokio::select! {
            () = sleep_until(renewed_at + renewal(node).mul_f64(part)) => {
                renew(node, lease).await?;
                renewed_at = Instant::now();
                part = 1.0;
            }
            // The time between renewals is another one now.
            () = node.became_watcher() => {}
            // The lease went on meanwhile.
            () = node.resumed() => part = 0.0,
            () = sleep_until(look_at) => {
                if let Err(reason) = register.look(node).await {
                    tracing::warn!(%reason, "register can't be read, the nodes known so far stay");
                    node.suspect_watch();
                }
                node.forget_unlinked_nodes();
                let pause = early_looks.next().unwrap_or_else(|| register.pause());
                look_at = Instant::now() + pause;
            }
            () = node.record_changed() => {
                register_self(node, Some(lease)).await?;
            }
        }
    }
}

/// Time between two renewals.
fn renewal(node: &Node) -> Duration {
    match node.is_watcher() {
        false => RENEWAL,
        true if node.watch_view().is_shared() => RENEWAL_CONFIRMING,
        true => RENEWAL_WATCHING,
    }
}

/// Renews a lease, and tries again for as long as nothing shows that it is over: a new registration
/// costs many times as much as a renewal.
async fn renew(node: &Node, lease: u64) -> Result<(), StoreError> {
    loop {
        count_store_call(node);
        let asked_at = BootInstant::now();
        match node.platform.renew(lease).await {
            Ok(()) => {
                // The store answers, and the watch has told of nothing.
                node.confirm_by_pending_watch(asked_at);
                return Ok(());
            }
            Err(StoreError::LeaseExpired) => return Err(StoreError::LeaseExpired),
            Err(reason) => {
                tracing::warn!(%reason, "registration not renewed, it is tried again");
                node.suspect_watch();
                let jitter = rand::rng().random_range(0.6..1.4);
                sleep(RENEWAL_RETRY.mul_f64(jitter)).await;
            }
        }
    }
}

async fn register_self(node: &Node, lease: Option<u64>) -> Result<u64, StoreError> {
    count_store_call(node);
    let name = register_name(&node.record.node);
    let registering = node
        .platform
        .register(&name, node.hello(), REGISTRATION, lease);
    let lease = registering.await?;
    node.registered(lease);
    Ok(lease)
}

/// The name under which a node registers: a hash goes before its own, so that the nodes around it
/// in the register are of all zones and services.
fn register_name(node: &str) -> String {
    let place = xxh3_64(node.as_bytes()) >> (u64::BITS - u16::BITS);
    format!("{place:04x}-{node}")
}

/// What is known of the register as a whole.
#[derive(Debug, Default)]
struct Register {
    /// Whether it has more nodes than are read in one look.
    is_large: bool,
}

impl Register {
    /// Learns of registered nodes: of all in a small register, of those behind this node's own
    /// place in a large one, as a node links to some of each service only.
    async fn look(&mut self, node: &Arc<Node>) -> Result<(), StoreError> {
        if !self.is_large {
            self.is_large = !read_register(node, "").await?;
        }
        if self.is_large {
            let own = register_name(&node.record.node);
            self.is_large = !read_register(node, &own).await?;
            // Holds stand behind all nodes, out of reach of a look that ends before.
            read_register(node, HOLDS_PREFIX).await?;
        }
        node.registry_read();
        Ok(())
    }

    /// Time until the next look.
    const fn pause(&self) -> Duration {
        match self.is_large {
            true => LOOK_LARGE,
            false => LOOK,
        }
    }
}

/// Reads the register from a name on and round to it again, until enough nodes are read; `true`
/// when these are all.
async fn read_register(node: &Arc<Node>, start: &str) -> Result<bool, StoreError> {
    let mut after = start.to_owned();
    let mut has_turned = start.is_empty();
    let mut read = 0;
    loop {
        count_store_call(node);
        let page = node.platform.registry_page(&after).await?;
        read += page.records.len();
        take_in(node, &page.records);
        match page.next_after {
            Some(_) if read >= ENOUGH_NODES => return Ok(false),
            Some(next) if has_turned && !start.is_empty() && *next > *start => return Ok(true),
            Some(next) => after = next,
            None if has_turned => return Ok(true),
            None => {
                has_turned = true;
                after.clear();
            }
        }
    }
}

/// What stands in the register.
#[derive(Deserialize)]
#[serde(untagged)]
enum Registered {
    Node(NodeRecord),
    Holds(StoredQuarantine),
}

fn take_in(node: &Arc<Node>, records: &[Bytes]) {
    let mut nodes = Vec::with_capacity(records.len());
    for record in records {
        match serde_json::from_slice(record) {
            Ok(Registered::Node(record)) => nodes.push(record),
            Ok(Registered::Holds(holds)) => holds.take_in(node),
            Err(error) => unreadable(record, &error),
        }
    }
    node.learn_records(nodes);
}

/// Tells of an entry that another writer made, or that is spoilt: the others hold.
fn unreadable(record: &[u8], error: &serde_json::Error) {
    static UNREADABLE: LogRateLimit = LogRateLimit::new();
    if let Some(left_out) = UNREADABLE.line() {
        let shown = &record[..record.len().min(SHOWN_BYTES)];
        let record = String::from_utf8_lossy(shown);
        tracing::warn!(%error, %record, left_out, "a registration can't be read");
    }
}

/// Ends the registration.
pub async fn unregister(node: &Node) {
    if let Some(lease) = node.lease() {
        count_store_call(node);
        // The lease ends by itself if this fails.
        let _ = timeout(UNREGISTER, node.platform.end_lease(lease)).await;
    }
}
