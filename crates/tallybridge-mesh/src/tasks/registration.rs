//! Keeps this node registered in the store, and reads the registry of the other nodes.
//!
//! A node reads the registry, registers under a lease and renews the lease. A failed renewal is
//! retried until the store reports that the lease has expired, because a new registration costs many
//! times as much as a renewal. Watchers renew more often, because each renewal confirms the
//! configuration ([`configuration`](super::configuration)). An expired lease takes no node out of
//! service: peers judge each other by their links.

use std::{convert::Infallible, sync::Arc, time::Duration};

use rand::Rng;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::{
    backoff::{Backoff, count_store_call, jittered},
    registry::{RegistryReader, registry_name},
};
use crate::{clock::BootInstant, node::Node, platform::StoreError};

/// Time to live of the lease without renewal. Registrations survive shorter outages of the store.
const LEASE_TTL: Duration = Duration::from_secs(20);
/// Time between renewals of a node that does not watch the store.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(6);
/// Time between renewals of a watcher in a small fleet. Each renewal confirms the configuration,
/// and a confirmation is trusted for 6 s.
const WATCHER_RENEWAL_INTERVAL: Duration = Duration::from_secs(4);
/// Time between renewals of a watcher in a large fleet, where peers trust a confirmation for 1.2 s.
const SHARED_WATCH_RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Time between attempts to renew while the store does not answer. It is short, so that a node whose
/// lease expired in an outage registers again soon after it.
const RENEWAL_RETRY_WAIT: Duration = Duration::from_millis(600);
/// Lower bound of the random fraction of the interval before the first renewal, which keeps nodes
/// that start together from renewing together.
const MIN_FIRST_RENEWAL_FRACTION: f64 = 0.25;
/// Times from registration to the first read of the registry, and from that read to the second. A
/// read may be seconds out of date, so nodes that start together find each other with the second.
const EARLY_READ_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_secs(4)];
/// Timeout of the call that ends the registration when the node stops.
const UNREGISTER_TIMEOUT: Duration = Duration::from_millis(200);

/// Maintains the registration and reads the registry for as long as the process runs.
pub async fn maintain_registration(node: Arc<Node>) {
    let mut backoff = Backoff::new();
    let mut registry = RegistryReader::default();
    loop {
        let reason = match register_and_renew(&node, &mut registry, &mut backoff).await {
            Err(reason) => reason,
            Ok(never) => match never {},
        };
        tracing::warn!(%reason, "registration failed or expired; registering again");
        node.suspect_watch();
        backoff.wait().await;
    }
}

/// Ends the registration, if there is one. Waits for the store for a bounded time.
pub async fn unregister(node: &Node) {
    if let Some(lease) = node.lease() {
        count_store_call(node);
        // If the call fails, the lease expires later.
        let _ = timeout(UNREGISTER_TIMEOUT, node.platform.end_lease(lease)).await;
    }
}

async fn register_and_renew(
    node: &Arc<Node>,
    registry: &mut RegistryReader,
    backoff: &mut Backoff,
) -> Result<Infallible, StoreError> {
    // Reads the registry first, because earlier records show how many slots back ends have.
    registry.read(node).await?;
    let lease = register_self(node, None).await?;
    *backoff = Backoff::new();
    let mut delays = EARLY_READ_DELAYS.into_iter();
    let mut next_read_at = Instant::now() + delays.next().unwrap_or_else(|| registry.interval());
    let mut renewed_at = Instant::now();
    let mut interval_fraction = rand::rng().random_range(MIN_FIRST_RENEWAL_FRACTION..1.0);
    loop {
        tokio::select! {
            () = sleep_until(renewed_at + renewal_interval(node).mul_f64(interval_fraction)) => {
                renew(node, lease).await?;
                renewed_at = Instant::now();
                interval_fraction = 1.0;
            }
            // Restarts the loop, which computes the renewal time with the shorter interval.
            () = node.became_watcher() => {}
            // The lease kept running during the pause, so it is renewed immediately.
            () = node.resumed() => interval_fraction = 0.0,
            () = sleep_until(next_read_at) => {
                reread_registry(node, registry).await;
                next_read_at = Instant::now() + delays.next().unwrap_or_else(|| registry.interval());
            }
            () = node.record_changed() => {
                register_self(node, Some(lease)).await?;
            }
        }
    }
}

async fn reread_registry(node: &Arc<Node>, registry: &mut RegistryReader) {
    if let Err(reason) = registry.read(node).await {
        tracing::warn!(%reason, "cannot read the registry; keeping the known nodes");
        node.suspect_watch();
    }
    node.forget_unlinked_nodes();
}

fn renewal_interval(node: &Node) -> Duration {
    match node.is_watcher() {
        false => RENEWAL_INTERVAL,
        true if node.watch_view().shares_watches() => SHARED_WATCH_RENEWAL_INTERVAL,
        true => WATCHER_RENEWAL_INTERVAL,
    }
}

/// Renews a lease. Retries until the renewal succeeds or the lease has expired.
async fn renew(node: &Node, lease: u64) -> Result<(), StoreError> {
    loop {
        count_store_call(node);
        let requested_at = BootInstant::now();
        match node.platform.renew(lease).await {
            Ok(()) => {
                // The store answered while the watch reported no change.
                node.confirm_by_pending_watch(requested_at);
                return Ok(());
            }
            Err(StoreError::LeaseExpired) => return Err(StoreError::LeaseExpired),
            Err(reason) => {
                tracing::warn!(%reason, "cannot renew the registration; retrying");
                node.suspect_watch();
                sleep(jittered(RENEWAL_RETRY_WAIT)).await;
            }
        }
    }
}

async fn register_self(node: &Node, lease: Option<u64>) -> Result<u64, StoreError> {
    count_store_call(node);
    let name = registry_name(&node.record.node);
    let registration = node
        .platform
        .register(&name, node.hello(), LEASE_TTL, lease);
    let lease = registration.await?;
    node.registered(lease);
    Ok(lease)
}
