//! Tests which configuration version is in force and which events confirm it.

use std::{cmp::Ordering, time::Duration};

use bytes::Bytes;
use tallybridge_mesh::{
    Configuration,
    clock::BootInstant,
    http::HttpLimits,
    tables::{ConfigurationTable, ConfirmedVersion},
};

fn configuration(version: u64) -> Configuration {
    Configuration::new(version, Vec::new(), Vec::new(), HttpLimits::default())
}

fn table_with_version(version: u64) -> ConfigurationTable {
    let mut table = ConfigurationTable::default();
    assert!(table.put_in_force(configuration(version), Bytes::from_static(b"document")));
    table
}

fn peer_confirmation(version: u64, read_at: BootInstant) -> ConfirmedVersion {
    ConfirmedVersion {
        version,
        age: Duration::ZERO,
        read_at: Some(read_at),
    }
}

#[test]
fn accepts_only_newer_version() {
    let mut table = table_with_version(7);
    assert!(!table.put_in_force(configuration(6), Bytes::from_static(b"older")));
    assert!(!table.put_in_force(configuration(7), Bytes::from_static(b"the same")));
    assert_eq!(table.document().map(Bytes::as_ref), Some(&b"document"[..]));
    assert!(table.put_in_force(configuration(8), Bytes::from_static(b"newer")));
    assert_eq!(table.version(), 8);
    assert_eq!(table.document().map(Bytes::as_ref), Some(&b"newer"[..]));
}

#[test]
fn peer_version_is_ahead_until_store_reports_it() {
    let mut table = table_with_version(7);
    assert!(table.is_ahead_of_store());
    table.record_version_from_store();
    assert!(!table.is_ahead_of_store());
}

#[test]
fn peer_confirms_same_version_and_older_reads() {
    let now = BootInstant::now();
    let later = now + Duration::from_secs(1);
    let latest = now + Duration::from_secs(2);
    let mut table = table_with_version(7);

    let order = table.record_peer_confirmation(peer_confirmation(8, now), now);
    assert_eq!(order, Ordering::Greater);
    assert_eq!(
        table.read_at(),
        None,
        "the read of a newer version was recorded"
    );
    assert_eq!(table.confirmed_at(), None);

    let order = table.record_peer_confirmation(peer_confirmation(6, now), now);
    assert_eq!(order, Ordering::Less);
    assert_eq!(table.read_at(), Some(now));
    assert_eq!(
        table.confirmed_at(),
        None,
        "an older version confirmed the current one"
    );

    let order = table.record_peer_confirmation(peer_confirmation(7, latest), later);
    assert_eq!(order, Ordering::Equal);
    assert_eq!(table.read_at(), Some(latest));
    assert_eq!(table.confirmed_at(), Some(later));
    assert_eq!(
        table.confirmed_by_store(),
        None,
        "a peer's confirmation was recorded as the store's"
    );

    table.record_peer_confirmation(peer_confirmation(7, now), now);
    assert_eq!(
        table.read_at(),
        Some(latest),
        "an earlier read replaced a later one"
    );
    assert_eq!(table.confirmed_at(), Some(later));
}

#[test]
fn store_confirmation_is_not_a_read() {
    let now = BootInstant::now();
    let mut table = table_with_version(7);
    table.record_confirmation(now);
    assert_eq!(table.confirmed_at(), Some(now));
    assert_eq!(table.read_at(), None);
    table.record_read(now);
    assert_eq!(table.read_at(), Some(now));
    let by_store = table
        .confirmed_by_store()
        .map(|confirmation| confirmation.version);
    assert_eq!(by_store, Some(7));
}
