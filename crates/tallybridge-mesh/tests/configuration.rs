//! Which configuration is in force, and what confirms it.

use std::{cmp::Ordering, time::Duration};

use bytes::Bytes;
use tallybridge_mesh::{
    Configuration,
    clock::BootInstant,
    http::HttpLimits,
    tables::{ConfigurationTable, ConfirmedVersion},
};

fn version(version: u64) -> Configuration {
    Configuration::new(version, Vec::new(), Vec::new(), HttpLimits::default())
}

fn with_version(number: u64) -> ConfigurationTable {
    let mut table = ConfigurationTable::default();
    assert!(table.put_in_force(version(number), Bytes::from_static(b"document")));
    table
}

fn confirmed(version: u64, read_at: BootInstant) -> ConfirmedVersion {
    ConfirmedVersion {
        version,
        age: Duration::ZERO,
        read_at: Some(read_at),
    }
}

#[test]
fn only_a_newer_version_comes_in_force() {
    let mut table = with_version(7);
    assert!(!table.put_in_force(version(6), Bytes::from_static(b"older")));
    assert!(!table.put_in_force(version(7), Bytes::from_static(b"the same")));
    assert_eq!(table.document().map(Bytes::as_ref), Some(&b"document"[..]));
    assert!(table.put_in_force(version(8), Bytes::from_static(b"newer")));
    assert_eq!(table.version(), 8);
    assert_eq!(table.document().map(Bytes::as_ref), Some(&b"newer"[..]));
}

#[test]
fn a_version_from_a_peer_is_ahead_of_the_store_until_the_store_gives_it() {
    let mut table = with_version(7);
    assert!(table.is_ahead_of_store());
    table.record_version_from_store();
    assert!(!table.is_ahead_of_store());
}

#[test]
fn a_peer_confirms_the_same_version_and_dates_reads_of_that_or_an_older_one() {
    let now = BootInstant::now();
    let later = now + Duration::from_secs(1);
    let latest = now + Duration::from_secs(2);
    let mut table = with_version(7);

    let order = table.record_peer_confirmation(confirmed(8, now), now);
    assert_eq!(order, Ordering::Greater);
    assert_eq!(table.read_at(), None, "a newer version was read");
    assert_eq!(table.confirmed_at(), None);

    let order = table.record_peer_confirmation(confirmed(6, now), now);
    assert_eq!(order, Ordering::Less);
    assert_eq!(table.read_at(), Some(now));
    assert_eq!(table.confirmed_at(), None, "an older version was confirmed");

    let order = table.record_peer_confirmation(confirmed(7, latest), later);
    assert_eq!(order, Ordering::Equal);
    assert_eq!(table.read_at(), Some(latest));
    assert_eq!(table.confirmed_at(), Some(later));
    assert_eq!(table.confirmed_by_store(), None, "the store told a peer");

    table.record_peer_confirmation(confirmed(7, now), now);
    assert_eq!(table.read_at(), Some(latest), "an earlier read");
    assert_eq!(table.confirmed_at(), Some(later));
}

#[test]
fn a_confirmation_by_the_store_is_not_a_read() {
    let now = BootInstant::now();
    let mut table = with_version(7);
    table.record_confirmation(now);
    assert_eq!(table.confirmed_at(), Some(now));
    assert_eq!(table.read_at(), None);
    table.record_read(now);
    assert_eq!(table.read_at(), Some(now));
    let by_store = table.confirmed_by_store().map(|told| told.version);
    assert_eq!(by_store, Some(7));
}
