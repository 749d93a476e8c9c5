//! Reconnection to dead members and to seeds without a live member.

use std::{net::SocketAddr, time::Instant};

use rand::{
    rngs::SmallRng,
    seq::{IndexedRandom, IteratorRandom},
};

use crate::{member::Health, outgoing::Outgoing, probe::ping, table::MemberTable};

/// Pings one dead member and one seed without a live member, so that the fleet reunites after a
/// partition.
pub(crate) fn run(
    table: &mut MemberTable,
    now: Instant,
    rng: &mut SmallRng,
    outgoing: &mut Vec<Outgoing>,
) {
    if now < table.probes.next_reach {
        return;
    }
    table.probes.next_reach = now + table.settings.reach_interval;
    table.purge(now);
    let dead_address = table
        .members()
        .filter(|record| record.health == Health::Dead)
        .map(|record| record.node.address)
        .filter(|address| !has_live(table, *address))
        .choose(rng);
    let unreached_seeds: Vec<SocketAddr> = table
        .seeds
        .iter()
        .copied()
        .filter(|seed| !has_live(table, *seed))
        .collect();
    let seed = unreached_seeds.choose(rng).copied();
    for address in dead_address.into_iter().chain(seed) {
        outgoing.push(ping(table, address, None, now));
    }
}

fn has_live(table: &MemberTable, address: SocketAddr) -> bool {
    table
        .rows_at(address)
        .any(|row| row.record.health.is_live())
}
