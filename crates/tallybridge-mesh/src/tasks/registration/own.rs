//! Registration of this node under its own lease, and of its delegates under the same one.
//!
//! A failed renewal is retried until the store reports that the lease has expired, because a new
//! registration costs many times as much as a renewal. Watchers renew more often, because each renewal
//! confirms the configuration ([`configuration`](crate::tasks::configuration)).

use std::{convert::Infallible, sync::Arc, time::Duration};

use rand::Rng;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    clock::BootInstant,
    node::Node,
    platform::{MAX_ENTRIES_PER_WRITE, RegistryEntry, StoreError},
    tasks::backoff::{Backoff, count_store_call, jittered},
};

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
/// Time for which a large fleet collects changed records, so that one write holds many of them.
const WRITE_DELAY: Duration = Duration::from_millis(500);
/// Minimum time between replacements of the lease, which end the entries of former delegates.
const LEASE_REPLACEMENT_INTERVAL: Duration = Duration::from_secs(10);

/// Registers this node and keeps it registered, together with its delegates.
///
/// # Errors
///
/// Returns the reason when the registration has failed or expired.
pub(super) async fn register_and_renew(
    node: &Arc<Node>,
    backoff: &mut Backoff,
) -> Result<Infallible, StoreError> {
    let mut lease = Lease::grant(node).await?;
    *backoff = Backoff::new();
    let mut renewed_at = Instant::now();
    let mut write_due_at: Option<Instant> = None;
    let mut interval_fraction = rand::rng().random_range(MIN_FIRST_RENEWAL_FRACTION..1.0);
    loop {
        let next_write = write_due_at.unwrap_or_else(Instant::now);
        tokio::select! {
            () = sleep_until(renewed_at + renewal_interval(node).mul_f64(interval_fraction)) => {
                lease.renew_or_replace(node).await?;
                renewed_at = Instant::now();
                interval_fraction = 1.0;
            }
            // Restarts the loop, which computes the renewal time with the shorter interval.
            () = node.became_watcher() => {}
            // The lease kept running during the pause, so it is renewed immediately.
            () = node.resumed() => interval_fraction = 0.0,
            () = sleep_until(next_write), if write_due_at.is_some() => {
                write_due_at = match lease.write_changes(node).await {
                    Ok(()) => None,
                    Err(StoreError::LeaseExpired) => return Err(StoreError::LeaseExpired),
                    Err(reason) => {
                        tracing::warn!(%reason, "cannot write changed records to the registry; retrying");
                        node.suspect_watch();
                        Some(Instant::now() + jittered(RENEWAL_RETRY_WAIT))
                    }
                };
            }
            () = node.record_changed() => {
                lease.is_own_record_outdated = true;
                write_due_at.get_or_insert(Instant::now() + write_delay(node));
            }
            () = node.delegates_changed() => {
                write_due_at.get_or_insert(Instant::now() + write_delay(node));
            }
        }
    }
}

fn renewal_interval(node: &Node) -> Duration {
    match node.is_watcher() {
        false => RENEWAL_INTERVAL,
        true if node.watch_view().shares_watches() => SHARED_WATCH_RENEWAL_INTERVAL,
        true => WATCHER_RENEWAL_INTERVAL,
    }
}

fn write_delay(node: &Node) -> Duration {
    match node.watch_view().shares_watches() {
        true => WRITE_DELAY,
        false => Duration::ZERO,
    }
}

/// The lease of this node, under which its own record and those of its delegates are registered.
struct Lease {
    id: u64,
    granted_at: Instant,
    is_own_record_outdated: bool,
}

impl Lease {
    /// Registers the record of this node under a new lease.
    async fn grant(node: &Node) -> Result<Self, StoreError> {
        let id = write(node, &[node.registry_entry()], None).await?;
        node.set_lease(Some(id));
        node.lease_renewed();
        Ok(Self {
            id,
            granted_at: Instant::now(),
            is_own_record_outdated: false,
        })
    }

    /// Renews the lease. Replaces it instead if it holds entries of former delegates, which end when
    /// the former lease expires.
    async fn renew_or_replace(&mut self, node: &Node) -> Result<(), StoreError> {
        let has_outdated_entries = node.remove_expired_delegates();
        if has_outdated_entries && self.granted_at.elapsed() >= LEASE_REPLACEMENT_INTERVAL {
            tracing::info!("replacing the lease, which holds entries of nodes that left");
            *self = Self::grant(node).await?;
            node.delegate_entries_outdated();
            return self.write_changes(node).await;
        }
        renew(node, self.id).await
    }

    /// Writes the records of delegates that are not stored yet, and this node's own if it has changed.
    async fn write_changes(&mut self, node: &Node) -> Result<(), StoreError> {
        let mut entries = node.unstored_delegates();
        if self.is_own_record_outdated {
            entries.push(node.registry_entry());
        }
        for entries in entries.chunks(MAX_ENTRIES_PER_WRITE) {
            write(node, entries, Some(self.id)).await?;
            node.delegates_stored(entries);
        }
        self.is_own_record_outdated = false;
        Ok(())
    }
}

async fn write(
    node: &Node,
    entries: &[RegistryEntry],
    lease: Option<u64>,
) -> Result<u64, StoreError> {
    count_store_call(node);
    node.platform.register(entries, LEASE_TTL, lease).await
}

/// Renews a lease. Retries until the renewal succeeds or the lease has expired. In a large fleet a
/// lease counts as expired after its time to live, because a registrar may reach the store that
/// refuses this node.
async fn renew(node: &Node, lease: u64) -> Result<(), StoreError> {
    let started_at = Instant::now();
    loop {
        count_store_call(node);
        let requested_at = BootInstant::now();
        match node.platform.renew(lease).await {
            Ok(()) => {
                node.lease_renewed();
                // The store answered while the watch reported no change.
                node.confirm_by_pending_watch(requested_at);
                return Ok(());
            }
            Err(StoreError::LeaseExpired) => return Err(StoreError::LeaseExpired),
            Err(reason) => {
                let has_expired = started_at.elapsed() >= LEASE_TTL;
                if has_expired && node.watch_view().shares_watches() {
                    return Err(StoreError::LeaseExpired);
                }
                tracing::warn!(%reason, "cannot renew the registration; retrying");
                node.suspect_watch();
                sleep(jittered(RENEWAL_RETRY_WAIT)).await;
            }
        }
    }
}
