//! Lines about single requests are bounded for each kind, and none is left out untold.

use std::time::Duration;

use tallybridge_core::ErrorKind;
use tallybridge_mesh::log::decisions::{DecisionLog, Place};
use tokio::time::Instant;

#[test]
fn a_flood_of_one_kind_is_cut_and_pushes_out_no_other() {
    let log = DecisionLog::default();
    let now = Instant::now();
    let flood = ErrorKind::Overloaded;
    let written = (0..1000)
        .filter(|_| log.admit(Place::Entry, flood, now).is_some())
        .count();
    assert_eq!(written, 5);
    assert_eq!(log.admit(Place::Entry, ErrorKind::PeerLost, now), Some(0));
    assert_eq!(log.admit(Place::Executor, flood, now), Some(0));
    let later = now + Duration::from_secs(1);
    assert_eq!(log.admit(Place::Entry, flood, later), Some(995));
    assert_eq!(log.admit(Place::Entry, flood, later), Some(0));
}
