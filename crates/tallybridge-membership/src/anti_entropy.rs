//! Comparison of whole tables: digests of all buckets first, then only what differs.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, rngs::SmallRng, seq::IteratorRandom};
use tallybridge_core::NodeId;
use tallybridge_wire::{
    DIGEST_BUCKETS, Datagram, GossipHeader, GossipMessage, MAX_DATAGRAM_BYTES, WireUpdate,
};

use crate::{
    convert::to_update,
    digest::bucket_range,
    member::{Health, Incarnation, MemberRecord},
    merge::Reporter,
    outgoing::Outgoing,
    settings::MembershipSettings,
    table::MemberTable,
};

/// Most datagrams that answer one comparison; the rest comes with the next one.
const MAX_ANSWER_DATAGRAMS: usize = 8;

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

/// Answers a comparison with the live members of each bucket that differs.
pub(crate) fn answer(
    table: &mut MemberTable,
    to: SocketAddr,
    buckets: &[u32],
    rng: &mut SmallRng,
) -> Vec<Outgoing> {
    let differing: Vec<usize> = table
        .digest
        .buckets()
        .iter()
        .zip(buckets)
        .enumerate()
        .filter(|(_, (own, theirs))| own != theirs)
        .map(|(bucket, _)| bucket)
        .collect();
    let mut answers = Vec::new();
    let start = rng.random_range(0..DIGEST_BUCKETS);
    for range in ranges(&differing, start) {
        answer_range(table, to, range, &mut answers);
    }
    answers
}

/// Joins neighbouring buckets to ranges of hashes, beginning at a bucket, so that a fresh node that
/// asks several peers gets different parts from them.
fn ranges(differing: &[usize], start: usize) -> Vec<(u64, u64)> {
    let split = differing.partition_point(|bucket| *bucket < start);
    let mut joined: Vec<(u64, u64)> = Vec::new();
    for bucket in differing[split..].iter().chain(&differing[..split]) {
        let (first, last) = bucket_range(*bucket);
        match joined.last_mut() {
            Some(range) if range.1.checked_add(1) == Some(first) => range.1 = last,
            _ => joined.push((first, last)),
        }
    }
    joined
}

fn answer_range(
    table: &mut MemberTable,
    to: SocketAddr,
    (first, last): (u64, u64),
    answers: &mut Vec<Outgoing>,
) {
    let mut next = Some(first);
    while let Some(first) = next {
        if answers.len() >= MAX_ANSWER_DATAGRAMS || table.budget.is_spent() {
            return;
        }
        let (updates, covered) = live_updates(table, first, last);
        let message = GossipMessage::TableRange {
            first,
            last: covered,
            answer_wanted: 1,
        };
        answers.push(table.send_exactly(to, message, updates));
        next = covered.checked_add(1).filter(|next| *next <= last);
    }
}

/// As many live members as fit, in order of their hash, and the last hash covered by them.
fn live_updates(table: &MemberTable, first: u64, last: u64) -> (Vec<WireUpdate>, u64) {
    let mut room = range_room(table);
    let mut updates = Vec::new();
    let mut covered = first;
    for row in rows_between(table, first, last) {
        let update = to_update(&alive(&row.record), Reporter::NONE, true);
        if update.encoded_len() > room {
            return (updates, covered);
        }
        room -= update.encoded_len();
        covered = row.hash;
        updates.push(update);
    }
    (updates, last)
}

/// A suspicion is not for comparisons: it passes by itself.
fn alive(record: &MemberRecord) -> MemberRecord {
    MemberRecord {
        health: Health::Alive,
        ..record.clone()
    }
}

fn range_room(table: &MemberTable) -> usize {
    let message = GossipMessage::TableRange {
        first: 0,
        last: 0,
        answer_wanted: 0,
    };
    MAX_DATAGRAM_BYTES - Datagram::bare_len(&table.header(), &message)
}

fn rows_between(
    table: &MemberTable,
    first: u64,
    last: u64,
) -> impl Iterator<Item = &crate::member::MemberRow> {
    table
        .live
        .range((first, lowest_node())..)
        .take_while(move |(hash, _)| *hash <= last)
        .map(|(_, node)| &table.members[node])
}

/// Below every identity.
const fn lowest_node() -> NodeId {
    NodeId {
        address: SocketAddr::V4(std::net::SocketAddrV4::new(
            std::net::Ipv4Addr::UNSPECIFIED,
            0,
        )),
        instance: tallybridge_core::InstanceId(0),
    }
}

/// Sends back what a peer that listed all its live members of a range lacks there, or believes
/// alive although it is gone.
pub(crate) fn complete(
    table: &mut MemberTable,
    to: SocketAddr,
    (first, last): (u64, u64),
    listed: &[WireUpdate],
) -> Vec<Outgoing> {
    if table.budget.is_spent() {
        return Vec::new();
    }
    let theirs: BTreeMap<NodeId, Incarnation> = listed
        .iter()
        .map(|update| (update.node.into(), Incarnation(update.incarnation)))
        .collect();
    let lacking = rows_between(table, first, last)
        .map(|row| alive(&row.record))
        .filter(|record| theirs.get(&record.node) < Some(&record.incarnation));
    let gone = theirs.iter().filter_map(|(node, incarnation)| {
        let record = &table.members.get(node)?.record;
        let newer = record.precedence() > (*incarnation, Health::Alive);
        (newer && !record.health.is_live()).then(|| record.clone())
    });
    let updates: Vec<WireUpdate> = lacking
        .chain(gone)
        .map(|record| to_update(&record, Reporter::NONE, record.health == Health::Alive))
        .collect();
    pack(table, to, (first, last), updates)
}

fn pack(
    table: &mut MemberTable,
    to: SocketAddr,
    (first, last): (u64, u64),
    updates: Vec<WireUpdate>,
) -> Vec<Outgoing> {
    let message = GossipMessage::TableRange {
        first,
        last,
        answer_wanted: 0,
    };
    let room = range_room(table);
    let mut packed = Vec::new();
    let mut part = Vec::new();
    let mut used = 0;
    for update in updates {
        let length = update.encoded_len();
        if used + length > room {
            packed.push(table.send_exactly(to, message.clone(), std::mem::take(&mut part)));
            used = 0;
        }
        used += length;
        part.push(update);
    }
    if !part.is_empty() {
        packed.push(table.send_exactly(to, message, part));
    }
    packed
}
