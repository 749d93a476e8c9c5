//! Which confirmations of peers count.

use std::{net::SocketAddr, time::Duration};

use tallybridge_mesh::clock::BootInstant;
use tallybridge_mesh::tables::WatcherTable;

fn peer(number: u8) -> SocketAddr {
    ([127, 0, 0, number], 7000).into()
}

#[test]
fn a_confirmation_counts_for_its_version_and_older_ones_and_ages() {
    let now = BootInstant::now();
    let mut watchers = WatcherTable::default();
    watchers.confirmed(peer(1), 7, now);
    watchers.confirmed(peer(2), 8, now);
    assert_eq!(watchers.confirming(7, now), 2);
    assert_eq!(watchers.confirming(8, now), 1, "one is behind");
    assert_eq!(watchers.confirming(9, now), 0, "both are");
    let later = now + Duration::from_millis(1100);
    assert_eq!(watchers.confirming(7, later), 2);
    let too_late = now + Duration::from_millis(1300);
    assert_eq!(watchers.confirming(7, too_late), 0);
}

#[test]
fn what_a_frozen_peer_asked_long_ago_confirms_nothing_and_a_lost_one_neither() {
    let asked_at = BootInstant::now();
    let now = asked_at + Duration::from_secs(5);
    let mut watchers = WatcherTable::default();
    watchers.confirmed(peer(1), 7, asked_at);
    watchers.confirmed(peer(2), 7, now);
    watchers.confirmed(peer(3), 7, now);
    watchers.remove(peer(3));
    assert_eq!(watchers.confirming(7, now), 1);
}
