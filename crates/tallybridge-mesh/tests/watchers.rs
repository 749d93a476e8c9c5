//! Confirmations by peers that watch the store.

use std::{net::SocketAddr, time::Duration};

use tallybridge_mesh::clock::BootInstant;
use tallybridge_mesh::tables::WatcherTable;

fn peer(number: u8) -> SocketAddr {
    ([127, 0, 0, number], 7000).into()
}

#[test]
fn confirmation_covers_older_versions_until_it_expires() {
    let now = BootInstant::now();
    let mut watchers = WatcherTable::default();
    watchers.record_confirmation(peer(1), 7, now);
    watchers.record_confirmation(peer(2), 8, now);
    assert_eq!(watchers.count_confirming(7, now), 2);
    assert_eq!(
        watchers.count_confirming(8, now),
        1,
        "only one peer confirmed version 8"
    );
    assert_eq!(
        watchers.count_confirming(9, now),
        0,
        "no peer confirmed version 9"
    );
    let later = now + Duration::from_millis(1100);
    assert_eq!(watchers.count_confirming(7, later), 2);
    let expired = now + Duration::from_millis(1300);
    assert_eq!(watchers.count_confirming(7, expired), 0);
}

#[test]
fn ignores_stale_and_removed_peers() {
    let requested_at = BootInstant::now();
    let now = requested_at + Duration::from_secs(5);
    let mut watchers = WatcherTable::default();
    watchers.record_confirmation(peer(1), 7, requested_at);
    watchers.record_confirmation(peer(2), 7, now);
    watchers.record_confirmation(peer(3), 7, now);
    watchers.remove(peer(3));
    assert_eq!(watchers.count_confirming(7, now), 1);
}
