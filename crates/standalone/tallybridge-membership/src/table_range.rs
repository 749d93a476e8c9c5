//! Answers to comparisons: the records of the ranges of hashes in which two tables differ.

use std::{collections::BTreeMap, net::SocketAddr};

use rand::{Rng, rngs::SmallRng};
use tallybridge_core::NodeId;
use tallybridge_wire::{DIGEST_BUCKETS, Datagram, GossipMessage, MAX_DATAGRAM_BYTES, WireUpdate};

use crate::{
    convert::to_update,
    digest::bucket_range,
    member::{Health, Incarnation, MemberRecord, MemberRow},
    merge::Reporter,
    outgoing::Outgoing,
    table::MemberTable,
};

/// Most datagrams that answer one comparison; the rest comes with the next one.
const MAX_ANSWER_DATAGRAMS: usize = 8;

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

fn rows_between(table: &MemberTable, first: u64, last: u64) -> impl Iterator<Item = &MemberRow> {
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
