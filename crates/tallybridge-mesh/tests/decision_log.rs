//! The log of refused requests limits the lines of each kind and place, and counts those left out.

use std::time::Duration;

use tallybridge_core::ErrorKind;
use tallybridge_mesh::log::decisions::{DecisionLog, Place};
use tokio::time::Instant;

#[test]
fn limits_lines_of_each_kind_separately() {
    let log = DecisionLog::default();
    let now = Instant::now();
    let kind = ErrorKind::Overloaded;
    let written = (0..1000)
        .filter(|_| log.admit(Place::Entry, kind, now).is_some())
        .count();
    assert_eq!(written, 5);
    assert_eq!(log.admit(Place::Entry, ErrorKind::PeerLost, now), Some(0));
    assert_eq!(log.admit(Place::Executor, kind, now), Some(0));
    let next_window = now + Duration::from_secs(1);
    assert_eq!(log.admit(Place::Entry, kind, next_window), Some(995));
    assert_eq!(log.admit(Place::Entry, kind, next_window), Some(0));
}
