//! What a request of a route costs each service, as answers and failures teach it, and what is admitted by
//! it.

mod support;

use std::{sync::Arc, time::Duration};

use tallybridge_mesh::{protocol::SlotTimes, tables::AdmissionControl};

use self::support::{
    admission::{admitted, fail, full_below, learn, loads, rank, seen},
    route,
};

#[test]
fn a_route_of_which_nothing_is_known_is_admitted_a_little_until_it_is() {
    let download = route("download", "h", "/d/", 2, &[("top", 1)]);
    let mut admission = AdmissionControl::default();
    let full = loads(&[
        seen("top", (100, 10, 10), &["deep"]),
        seen("deep", (10, 50, 300), &[]),
    ]);
    admitted(&mut admission, &download);
    for _ in 0..60 {
        admission.adapt(&full);
    }
    let unknown = admitted(&mut admission, &download);
    assert!((100..=200).contains(&unknown), "{unknown} of 1000");
    learn(&mut admission, &download, &[("top", 50)]);
    admission.adapt(&full);
    assert_eq!(admitted(&mut admission, &download), 1000);
}

#[test]
fn a_route_that_fails_for_a_service_is_shed_for_it_though_it_once_did_without() {
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    for first in [true, false] {
        let mut admission = AdmissionControl::default();
        admitted(&mut admission, &lookup);
        if first {
            learn(&mut admission, &lookup, &[("top", 50)]);
        } else {
            // It failed above the deep service as long as that had no back end.
            fail(&mut admission, &lookup, 10, &[("top", 50)]);
        }
        fail(&mut admission, &lookup, 10, &[("top", 50), ("deep", 20)]);
        for _ in 0..20 {
            admission.adapt(&full_below());
        }
        let while_full = admitted(&mut admission, &lookup);
        assert!(while_full < 400, "{while_full} of 1000");
    }
}

#[test]
fn failures_never_lower_what_a_route_costs() {
    let balance = route("balance", "h", "/b/", 2, &[("top", 1)]);
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let mut admission = AdmissionControl::default();
    learn(&mut admission, &balance, &[("top", 50), ("deep", 480)]);
    learn(&mut admission, &lookup, &[("top", 50), ("deep", 120)]);
    fail(&mut admission, &balance, 200, &[("top", 50), ("deep", 1)]);
    for _ in 0..8 {
        admission.adapt(&full_below());
    }
    let costly = admitted(&mut admission, &balance);
    let cheap = admitted(&mut admission, &lookup);
    assert!(costly * 3 < cheap * 2, "{costly} and {cheap} of 1000");
}

#[test]
fn a_route_of_which_nothing_is_answered_is_not_admitted_to_learn_for_ever() {
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let mut admission = AdmissionControl::default();
    admitted(&mut admission, &lookup);
    for _ in 0..8 {
        admission.unanswered(&lookup, rank());
    }
    for _ in 0..60 {
        admission.adapt(&full_below());
    }
    let unknown = admitted(&mut admission, &lookup);
    assert!(unknown < 50, "{unknown} of 1000");
}

/// Looks of five seconds.
const FIVE_SECONDS: usize = 50;

#[test]
fn what_a_route_needed_before_it_changed_is_forgotten_with_an_answer_now_and_then() {
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let mut admission = AdmissionControl::default();
    learn(&mut admission, &lookup, &[("top", 50), ("deep", 100)]);
    let mut times = SlotTimes::default();
    times.add(&Arc::from("top"), Duration::from_millis(50));
    for _ in 0..6 {
        for _ in 0..FIVE_SECONDS {
            admission.adapt(&full_below());
        }
        admission.answered(&lookup, rank(), true, &times);
    }
    admission.adapt(&full_below());
    assert_eq!(admitted(&mut admission, &lookup), 1000);
}
