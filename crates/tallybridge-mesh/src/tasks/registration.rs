//! Keeps this node registered in the store, and the nodes of the registry known.
//!
//! **Rule.** A node reads the registry, registers under a lease, and renews that for as long as the
//! process lives. A renewal that fails is tried again under the same lease; a node registers anew
//! only once the store says that the lease is over. A node that watches the store renews more
//! often, since each renewal confirms its configuration ([`configuration`](super::configuration)).
//!
//! **Why.** Calls are paid for, and a new registration costs many times as much as a renewal:
//! leases that are kept and reads that may be seconds old took a large site from 688 calls a day to
//! 560. A lease that lapses takes no node out of service: peers judge each other by the contact on
//! their links (docs/DESIGN.md, "Registry").
//!
//! Reading the registry: `registry.rs`.

use std::{convert::Infallible, sync::Arc, time::Duration};

use rand::Rng;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::{
    backoff::{Backoff, count_store_call, jittered},
    registry::{RegistryReader, registry_name},
};
use crate::{clock::BootInstant, node::Node, platform::StoreError};

/// Lifetime of a registration without renewal: an outage of the store that is shorter ends none. Origin of
/// the figure not recorded.
const REGISTRATION: Duration = Duration::from_secs(20);
/// Time between renewals of a node that learns of changes from peers: three within a lifetime.
/// Origin of the figure not recorded.
const RENEWAL: Duration = Duration::from_secs(6);
/// The same of a node that watches the store for itself: each renewal confirms the configuration, which is
/// trusted to know all routes for 6 s.
const RENEWAL_WATCHING: Duration = Duration::from_secs(4);
/// The same of a node that watches the store for others as well, which trust a confirmation for 1.2 s.
const RENEWAL_CONFIRMING: Duration = Duration::from_millis(500);
/// Time between attempts to renew while the store does not answer: a node whose lease lapsed in an
/// outage is registered again within some 2 s of the store's return.
const RENEWAL_RETRY: Duration = Duration::from_millis(600);
/// Least part of the time between renewals that passes before the first one: nodes that start
/// together don't renew together. Origin of the figure not recorded.
const FIRST_RENEWAL_MIN: f64 = 0.25;
/// Times between registering and the first reads of the registry after it. Each may show a registry that is
/// seconds old: nodes that start together find each other with the later one.
const EARLY_READS: [Duration; 2] = [Duration::ZERO, Duration::from_secs(4)];
/// Longest wait for the end of a registration at a stop. Origin not recorded.
const UNREGISTER: Duration = Duration::from_millis(200);

/// Registers this node, renews that, and learns of other nodes.
pub async fn maintain_registration(node: Arc<Node>) {
    let mut backoff = Backoff::new();
    let mut registry = RegistryReader::default();
    loop {
        let reason = match register_and_renew(&node, &mut registry, &mut backoff).await {
            Err(reason) => reason,
            Ok(never) => match never {},
        };
        tracing::warn!(%reason, "registration lost");
        node.suspect_watch();
        backoff.wait().await;
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

async fn register_and_renew(
    node: &Arc<Node>,
    registry: &mut RegistryReader,
    backoff: &mut Backoff,
) -> Result<Infallible, StoreError> {
    // What nodes registered before they ended says how many slots their back ends have.
    registry.read(node).await?;
    let lease = register_self(node, None).await?;
    *backoff = Backoff::new();
    let mut early_reads = EARLY_READS.into_iter();
    let mut read_at = Instant::now() + early_reads.next().unwrap_or_else(|| registry.interval());
    let mut renewed_at = Instant::now();
    // Part of the time between renewals that passes before the next one.
    let mut part = rand::rng().random_range(FIRST_RENEWAL_MIN..1.0);
    loop {
        tokio::select! {
            () = sleep_until(renewed_at + renewal_interval(node).mul_f64(part)) => {
                renew(node, lease).await?;
                renewed_at = Instant::now();
                part = 1.0;
            }
            // The time between renewals is another one now.
            () = node.became_watcher() => {}
            // The lease ran on while the process did not.
            () = node.resumed() => part = 0.0,
            () = sleep_until(read_at) => {
                read_again(node, registry).await;
                read_at = Instant::now() + early_reads.next().unwrap_or_else(|| registry.interval());
            }
            () = node.record_changed() => {
                register_self(node, Some(lease)).await?;
            }
        }
    }
}

async fn read_again(node: &Arc<Node>, registry: &mut RegistryReader) {
    if let Err(reason) = registry.read(node).await {
        tracing::warn!(%reason, "register can't be read, the nodes known so far stay");
        node.suspect_watch();
    }
    node.forget_unlinked_nodes();
}

fn renewal_interval(node: &Node) -> Duration {
    match node.is_watcher() {
        false => RENEWAL,
        true if node.watch_view().is_shared() => RENEWAL_CONFIRMING,
        true => RENEWAL_WATCHING,
    }
}

/// Renews a lease, and tries again for as long as nothing shows that it is over.
async fn renew(node: &Node, lease: u64) -> Result<(), StoreError> {
    loop {
        count_store_call(node);
        let asked_at = BootInstant::now();
        match node.platform.renew(lease).await {
            Ok(()) => {
                // The store answers, and the watch has reported no change.
                node.confirm_by_pending_watch(asked_at);
                return Ok(());
            }
            Err(StoreError::LeaseExpired) => return Err(StoreError::LeaseExpired),
            Err(reason) => {
                tracing::warn!(%reason, "registration not renewed, it is tried again");
                node.suspect_watch();
                sleep(jittered(RENEWAL_RETRY)).await;
            }
        }
    }
}

async fn register_self(node: &Node, lease: Option<u64>) -> Result<u64, StoreError> {
    count_store_call(node);
    let name = registry_name(&node.record.node);
    let registering = node
        .platform
        .register(&name, node.hello(), REGISTRATION, lease);
    let lease = registering.await?;
    node.registered(lease);
    Ok(lease)
}
