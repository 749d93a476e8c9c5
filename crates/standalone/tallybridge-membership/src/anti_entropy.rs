//! Comparison of whole tables: digests of all buckets first, then only what differs.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, rngs::SmallRng, seq::IteratorRandom};
use tallybridge_wire::{GossipHeader, GossipMessage};

use crate::{
    convert::to_update, merge::Reporter, outgoing::Outgoing, settings::MembershipSettings,
    table::MemberTable,
};

/// Seeds asked at once by a node that knows nobody.
const SEEDS_AT_ONCE: usize = 3;

/// Time between two attempts to find anybody.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time between two comparisons while catching up; it doubles up to this, since in a fleet
/// that changes all the time the digests may never be equal.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(5);

/// When tables are compared.
#[derive(Debug)]
pub(crate) struct Comparisons {
    next: Instant,
    /// The last comparison that was caused by what a peer sent.
    prompted: Option<Instant>,
    digest: u64,
    digest_since: Instant,
    /// Time between two comparisons while catching up after the start.
    catch_up: Option<Duration>,
}

impl Comparisons {
    pub(crate) const fn new(now: Instant, catch_up_interval: Duration) -> Self {
        Self {
            next: now,
            prompted: None,
            digest: 0,
            digest_since: now,
            catch_up: Some(catch_up_interval),
        }
    }

    /// The digest may have changed.
    pub(crate) const fn changed(&mut self, digest: u64, now: Instant) {
        if self.digest != digest {
            self.digest = digest;
            self.digest_since = now;
        }
    }

    pub(crate) const fn is_catching_up(&self) -> bool {
        self.catch_up.is_some()
    }

    /// Time until the next comparison while catching up.
    fn catch_up_interval(&mut self) -> Option<Duration> {
        let interval = self.catch_up?;
        self.catch_up = Some((interval * 2).min(CATCH_UP_LIMIT));
        Some(interval)
    }

    /// Whether a peer whose digest differs should be asked now.
    fn is_prompted(&mut self, now: Instant, settings: &MembershipSettings) -> bool {
        let quiet = now.saturating_duration_since(self.digest_since);
        let spaced = self
            .prompted
            .is_none_or(|last| now.saturating_duration_since(last) >= settings.compare_spacing);
        let due = spaced && quiet >= settings.quiet_before_compare;
        if due {
            self.prompted = Some(now);
        }
        due
    }
}

/// Starts a comparison when one is due.
pub(crate) fn run(
    table: &mut MemberTable,
    now: Instant,
    rng: &mut SmallRng,
    outgoing: &mut Vec<Outgoing>,
) {
    if now < table.comparisons.next || table.budget.is_spent() {
        return;
    }
    if let Some(node) = table.random_live(rng, |_, _| true) {
        outgoing.push(compare(table, node.address));
        table.comparisons.next = now + next_interval(table, rng);
        return;
    }
    table.comparisons.next = now + JOIN_INTERVAL;
    let seeds = table.seeds.iter().copied();
    for seed in seeds.choose_multiple(rng, SEEDS_AT_ONCE) {
        outgoing.push(compare(table, seed));
    }
}

fn next_interval(table: &mut MemberTable, rng: &mut SmallRng) -> Duration {
    if let Some(interval) = table.comparisons.catch_up_interval() {
        return interval;
    }
    let spread = rng.random_range(0.75..1.25);
    table.settings.compare_interval.mul_f64(spread)
}

/// Asks a peer for what differs, telling it who this node is.
pub(crate) fn compare(table: &mut MemberTable, to: SocketAddr) -> Outgoing {
    let own = to_update(table.own_record(), Reporter::NONE, true);
    let buckets = table.digest.buckets();
    table.send(to, GossipMessage::TableCompare { buckets }, vec![own])
}

/// Looks at the digest that came with a datagram.
pub(crate) fn observe_digest(
    table: &mut MemberTable,
    from: SocketAddr,
    header: &GossipHeader,
    now: Instant,
) -> Option<Outgoing> {
    if header.table_digest == table.digest.whole() {
        table.comparisons.catch_up = None;
        return None;
    }
    if !table.budget.is_spent() && table.comparisons.is_prompted(now, &table.settings) {
        return Some(compare(table, from));
    }
    None
}
