//! Work with the platform's store: the configuration, and the register of nodes.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use rand::Rng;
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    node::Node,
    peer::message::{Frame, Message},
    seam::{StoreError, WatchedConfiguration},
    tables::NodeRecord,
};

/// Longest wait for a change in one call. Every call is paid for, so a watch waits long; that the
/// store still answers is told by the renewals of the registration, which cost far less.
const WATCH: Duration = Duration::from_secs(25);
/// Wait after a change, so that several in quick succession are read in one call.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// Waits after a call that failed.
const RETRY_MIN: Duration = Duration::from_millis(150);
const RETRY_MAX: Duration = Duration::from_millis(1200);
/// Life of a node's registration without renewal.
const REGISTRATION: Duration = Duration::from_secs(12);
/// Time between renewals.
const RENEWAL: Duration = Duration::from_secs(4);
/// Renewals between looks at the register.
const RENEWALS_PER_LOOK: u32 = 3;
/// The same where the register is large, so that all looks together are within the store's means;
/// nodes that start make themselves known to those that they link to.
const RENEWALS_PER_LOOK_LARGE: u32 = 15;
/// Nodes that are read in one look: enough to choose those that are linked to.
const ENOUGH_NODES: usize = 500;
/// Time between looks whether a peer has a newer configuration.
const PEER_LOOK: Duration = Duration::from_millis(300);
/// Time that a peer must have had a newer configuration before it is asked for it: longer than the
/// wait after a change, in which each node is a little behind the others.
const PEER_AHEAD: Duration = Duration::from_millis(700);
/// Least part of the time between renewals that passes before the first one: nodes that start
/// together don't renew together.
const FIRST_RENEWAL_MIN: f64 = 0.25;
/// Longest wait for the end of a registration at a stop.
const UNREGISTER: Duration = Duration::from_millis(200);

struct Backoff(Duration);

impl Backoff {
    const fn new() -> Self {
        Self(RETRY_MIN)
    }

    async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.6..1.4);
        sleep(self.0.mul_f64(jitter)).await;
        self.0 = (self.0 * 2).min(RETRY_MAX);
    }
}

fn count(node: &Node) {
    node.counters.store_calls.fetch_add(1, Ordering::Relaxed);
}

/// Reads the configuration and watches it for as long as the process lives.
pub async fn follow_configuration(node: Arc<Node>) {
    let mut backoff = Backoff::new();
    loop {
        let reason = match read_and_watch(&node, &mut backoff).await {
            Err(reason) => reason,
            Ok(never) => match never {},
        };
        tracing::warn!(%reason, "configuration can't be followed, it is read anew");
        backoff.wait().await;
    }
}

async fn read_and_watch(
    node: &Arc<Node>,
    backoff: &mut Backoff,
) -> Result<std::convert::Infallible, StoreError> {
    count(node);
    let stored = node.platform.read_configuration().await?;
    let mut at = stored.at;
    if let Some(document) = &stored.document {
        node.offer_configuration(document);
    }
    node.configuration_confirmed();
    loop {
        count(node);
        let watched = watch(node, at).await?;
        *backoff = Backoff::new();
        at = watched.at;
        if let Some(document) = &watched.document {
            node.offer_configuration(document);
        }
        node.configuration_confirmed();
        if watched.document.is_some() {
            sleep(WATCH_PAUSE).await;
        }
    }
}

/// Waits for a change. A watch that the store lost says nothing for the rest of its time, so it is
/// given up as soon as something else shows that it may be lost.
async fn watch(node: &Node, at: u64) -> Result<WatchedConfiguration, StoreError> {
    let _waiting = node.watch_waits();
    tokio::select! {
        watched = node.platform.watch_configuration(at, WATCH) => watched,
        () = node.watch_doubted() => Err(StoreError::Unknown("the watch may be lost".to_owned())),
    }
}

/// Fetches the configuration from a peer that has had a newer one for a while. Where this node's
/// own watch should have told of it, the watch is not trusted any more.
pub async fn follow_peers_configuration(node: Arc<Node>) {
    let mut behind_since: Option<Instant> = None;
    loop {
        sleep(PEER_LOOK).await;
        let Some(link) = node.peer_with_newer_configuration() else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert_with(Instant::now);
        if since.elapsed() >= PEER_AHEAD {
            link.send(&Frame::of_link(Message::FetchConfiguration));
            node.doubt_watch();
        }
    }
}

/// Registers this node, renews that, and learns of other nodes.
pub async fn keep_registered(node: Arc<Node>) {
    let mut backoff = Backoff::new();
    let mut register = Register::default();
    loop {
        if let Err(reason) = register_and_renew(&node, &mut register, &mut backoff).await {
            tracing::warn!(%reason, "registration lost");
            node.doubt_watch();
        }
        backoff.wait().await;
    }
}

async fn register_and_renew(
    node: &Arc<Node>,
    register: &mut Register,
    backoff: &mut Backoff,
) -> Result<(), StoreError> {
    // What nodes registered before they ended tells how many slots their back ends have.
    register.look(node, true).await?;
    let lease = register_self(node, None).await?;
    // Whoever registers later reads this registration, so one look after it is enough for both.
    register.look(node, false).await?;
    *backoff = Backoff::new();
    let mut wait = RENEWAL.mul_f64(rand::rng().random_range(FIRST_RENEWAL_MIN..1.0));
    loop {
        for _ in 0..register.renewals_per_look() {
            tokio::select! {
                () = sleep(wait) => {
                    wait = RENEWAL;
                    count(node);
                    node.platform.renew(lease).await?;
                    // The store answers, and the watch has told of nothing.
                    node.confirm_by_waiting_watch();
                }
                () = node.record_changed() => {
                    register_self(node, Some(lease)).await?;
                }
            }
        }
        register.look(node, true).await?;
        node.forget_spare_nodes();
    }
}

async fn register_self(node: &Node, lease: Option<u64>) -> Result<u64, StoreError> {
    count(node);
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
    async fn look(&mut self, node: &Arc<Node>, cheap: bool) -> Result<(), StoreError> {
        if !self.is_large {
            self.is_large = !read_register(node, "", cheap).await?;
        }
        if self.is_large {
            let own = register_name(&node.record.node);
            self.is_large = !read_register(node, &own, cheap).await?;
        }
        Ok(())
    }

    const fn renewals_per_look(&self) -> u32 {
        match self.is_large {
            true => RENEWALS_PER_LOOK_LARGE,
            false => RENEWALS_PER_LOOK,
        }
    }
}

/// Reads the register from a name on and round to it again, until enough nodes are read; `true`
/// when these are all.
async fn read_register(node: &Arc<Node>, start: &str, cheap: bool) -> Result<bool, StoreError> {
    let mut after = start.to_owned();
    let mut has_turned = start.is_empty();
    let mut read = 0;
    loop {
        count(node);
        let page = node.platform.registered(&after, cheap).await?;
        read += page.records.len();
        node.learn_records(page.records.iter().filter_map(parse_record));
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

fn parse_record(record: &Bytes) -> Option<NodeRecord> {
    match serde_json::from_slice(record) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::warn!(%error, "a registration can't be read");
            None
        }
    }
}

/// Ends the registration.
pub async fn unregister(node: &Node) {
    if let Some(lease) = node.lease() {
        count(node);
        // The lease ends by itself if this fails.
        let _ = timeout(UNREGISTER, node.platform.end_lease(lease)).await;
    }
}
