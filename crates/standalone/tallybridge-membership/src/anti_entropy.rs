//! Anti-entropy: nodes compare bucket digests of their tables and exchange only the differences.

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

/// Seeds contacted per join attempt while no other live member is known.
const SEEDS_PER_JOIN: usize = 3;

const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Upper bound of the catch-up interval, which doubles with each comparison. In a fleet that
/// changes all the time the digests may never be equal, so catching up must not keep a short
/// interval.
const MAX_CATCH_UP_INTERVAL: Duration = Duration::from_secs(5);

/// Schedule of table comparisons.
#[derive(Debug)]
pub(crate) struct Comparisons {
    next: Instant,
    /// Time of the last comparison that a peer's differing digest triggered.
    last_triggered: Option<Instant>,
    digest: u64,
    digest_since: Instant,
    /// Delay before the next comparison while catching up; `None` once a digest matched.
    next_catch_up: Option<Duration>,
}

impl Comparisons {
    pub(crate) const fn new(now: Instant, catch_up_interval: Duration) -> Self {
        Self {
            next: now,
            last_triggered: None,
            digest: 0,
            digest_since: now,
            next_catch_up: Some(catch_up_interval),
        }
    }

    /// Records the current digest and, if it differs from the previous one, the time of the change.
    pub(crate) const fn record_digest(&mut self, digest: u64, now: Instant) {
        if self.digest != digest {
            self.digest = digest;
            self.digest_since = now;
        }
    }

    pub(crate) const fn is_catching_up(&self) -> bool {
        self.next_catch_up.is_some()
    }

    /// Returns the current catch-up interval and doubles the stored one.
    fn advance_catch_up(&mut self) -> Option<Duration> {
        let interval = self.next_catch_up?;
        self.next_catch_up = Some((interval * 2).min(MAX_CATCH_UP_INTERVAL));
        Some(interval)
    }

    /// Returns whether a differing digest may trigger a comparison now, and records the trigger.
    fn try_trigger(&mut self, now: Instant, settings: &MembershipSettings) -> bool {
        let unchanged_for = now.saturating_duration_since(self.digest_since);
        let is_spaced = self
            .last_triggered
            .is_none_or(|last| now.saturating_duration_since(last) >= settings.compare_spacing);
        let is_due = is_spaced && unchanged_for >= settings.unchanged_before_compare;
        if is_due {
            self.last_triggered = Some(now);
        }
        is_due
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
        outgoing.push(request_comparison(table, node.address));
        table.comparisons.next = now + next_interval(table, rng);
        return;
    }
    table.comparisons.next = now + JOIN_INTERVAL;
    let seeds = table.seeds.iter().copied();
    for seed in seeds.choose_multiple(rng, SEEDS_PER_JOIN) {
        outgoing.push(request_comparison(table, seed));
    }
}

fn next_interval(table: &mut MemberTable, rng: &mut SmallRng) -> Duration {
    if let Some(interval) = table.comparisons.advance_catch_up() {
        return interval;
    }
    let jitter_factor = rng.random_range(0.75..1.25);
    table.settings.compare_interval.mul_f64(jitter_factor)
}

/// Builds a comparison request that also carries this node's own record.
pub(crate) fn request_comparison(table: &mut MemberTable, to: SocketAddr) -> Outgoing {
    let own = to_update(table.own_record(), Reporter::NONE, true);
    let buckets = table.digest.buckets();
    table.build_datagram(to, GossipMessage::TableCompare { buckets }, vec![own])
}

/// Requests a comparison if the sender's digest differs and a comparison is allowed now. Ends the
/// catch-up phase if the digests match.
pub(crate) fn observe_digest(
    table: &mut MemberTable,
    from: SocketAddr,
    header: &GossipHeader,
    now: Instant,
) -> Option<Outgoing> {
    if header.table_digest == table.digest.whole() {
        table.comparisons.next_catch_up = None;
        return None;
    }
    if !table.budget.is_spent() && table.comparisons.try_trigger(now, &table.settings) {
        return Some(request_comparison(table, from));
    }
    None
}
