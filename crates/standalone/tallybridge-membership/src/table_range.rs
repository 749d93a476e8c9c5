//! Answers to table comparisons: the records of the hash ranges in which two tables differ.

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

/// Maximum number of datagrams per comparison; a later comparison covers the rest.
const MAX_ANSWER_DATAGRAMS: usize = 8;

/// Returns the live members of each differing bucket as answers to a comparison.
pub(crate) fn answer_comparison(
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
    for range in merge_ranges(&differing, start) {
        answer_range(table, to, range, &mut answers);
    }
    answers
}

/// Merges adjacent buckets into hash ranges. The caller passes a random `start` bucket, so that a
/// new node that asks several peers receives different ranges first.
fn merge_ranges(differing: &[usize], start: usize) -> Vec<(u64, u64)> {
    let split = differing.partition_point(|bucket| *bucket < start);
    let mut merged: Vec<(u64, u64)> = Vec::new();
    for bucket in differing[split..].iter().chain(&differing[..split]) {
        let (first, last) = bucket_range(*bucket);
        match merged.last_mut() {
            Some(range) if range.1.checked_add(1) == Some(first) => range.1 = last,
            _ => merged.push((first, last)),
        }
    }
    merged
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
        let (updates, last_covered) = live_updates(table, first, last);
        let message = GossipMessage::TableRange {
            first,
            last: last_covered,
            answer_wanted: 1,
        };
        answers.push(table.build_exact_datagram(to, message, updates));
        next = last_covered.checked_add(1).filter(|next| *next <= last);
    }
}

/// Returns as many live members as fit into a datagram, in hash order, and the last hash covered.
fn live_updates(table: &MemberTable, first: u64, last: u64) -> (Vec<WireUpdate>, u64) {
    let mut available_bytes = update_capacity(table);
    let mut updates = Vec::new();
    let mut last_covered = first;
    for row in live_rows_between(table, first, last) {
        let update = to_update(&without_suspicion(&row.record), Reporter::NONE, true);
        if update.encoded_len() > available_bytes {
            return (updates, last_covered);
        }
        available_bytes -= update.encoded_len();
        last_covered = row.hash;
        updates.push(update);
    }
    (updates, last)
}

/// Copies a record without its suspicion, because comparisons do not spread suspicions.
fn without_suspicion(record: &MemberRecord) -> MemberRecord {
    MemberRecord {
        health: Health::Alive,
        ..record.clone()
    }
}

fn update_capacity(table: &MemberTable) -> usize {
    let message = GossipMessage::TableRange {
        first: 0,
        last: 0,
        answer_wanted: 0,
    };
    MAX_DATAGRAM_BYTES - Datagram::bare_len(&table.header(), &message)
}

fn live_rows_between(
    table: &MemberTable,
    first: u64,
    last: u64,
) -> impl Iterator<Item = &MemberRow> {
    table
        .live
        .range((first, lowest_node())..)
        .take_while(move |(hash, _)| *hash <= last)
        .map(|(_, node)| &table.members[node])
}

/// Returns a lower bound of all node identities.
const fn lowest_node() -> NodeId {
    NodeId {
        address: SocketAddr::V4(std::net::SocketAddrV4::new(
            std::net::Ipv4Addr::UNSPECIFIED,
            0,
        )),
        instance: tallybridge_core::InstanceId(0),
    }
}

/// Returns the members that are missing or outdated in a peer's complete list of a range, and the
/// members that the peer lists as live although they died or left.
pub(crate) fn missing_updates(
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
    let missing = live_rows_between(table, first, last)
        .map(|row| without_suspicion(&row.record))
        .filter(|record| theirs.get(&record.node) < Some(&record.incarnation));
    let gone = theirs.iter().filter_map(|(node, incarnation)| {
        let record = &table.members.get(node)?.record;
        let peer_is_outdated = record.precedence() > (*incarnation, Health::Alive);
        (peer_is_outdated && !record.health.is_live()).then(|| record.clone())
    });
    let updates: Vec<WireUpdate> = missing
        .chain(gone)
        .map(|record| to_update(&record, Reporter::NONE, record.health == Health::Alive))
        .collect();
    pack_datagrams(table, to, (first, last), updates)
}

fn pack_datagrams(
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
    let available_bytes = update_capacity(table);
    let mut datagrams = Vec::new();
    let mut batch = Vec::new();
    let mut used_bytes = 0;
    for update in updates {
        let length = update.encoded_len();
        if used_bytes + length > available_bytes {
            datagrams.push(table.build_exact_datagram(
                to,
                message.clone(),
                std::mem::take(&mut batch),
            ));
            used_bytes = 0;
        }
        used_bytes += length;
        batch.push(update);
    }
    if !batch.is_empty() {
        datagrams.push(table.build_exact_datagram(to, message, batch));
    }
    datagrams
}
