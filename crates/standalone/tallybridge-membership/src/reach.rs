//! Reaching members that are out of sight.

use std::{net::SocketAddr, time::Instant};

use rand::{
    rngs::SmallRng,
    seq::{IndexedRandom, IteratorRandom},
};

use crate::{member::Health, outgoing::Outgoing, probe::ping, table::MemberTable};

/// Tries a member believed dead and a seed, so that parts of the fleet that were cut from each
/// other find together again.
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
    let dead = table
        .members()
        .filter(|record| record.health == Health::Dead)
        .map(|record| record.node.address)
        .filter(|address| !has_live(table, *address))
        .choose(rng);
    let lost_seeds: Vec<SocketAddr> = table
        .seeds
        .iter()
        .copied()
        .filter(|seed| !has_live(table, *seed))
        .collect();
    let seed = lost_seeds.choose(rng).copied();
    for address in dead.into_iter().chain(seed) {
        outgoing.push(ping(table, address, None, now));
    }
}

fn has_live(table: &MemberTable, address: SocketAddr) -> bool {
    table
        .rows_at(address)
        .any(|row| row.record.health.is_live())
}
