//! Tests how answers and failures determine the costs of a route, and which requests are admitted
//! based on these costs.

mod support;

use std::{sync::Arc, time::Duration};

use tallybridge_mesh::{protocol::SlotTimes, tables::AdmissionControl};

use self::support::{
    admission::{
        count_admitted, default_rank, overloaded_deep_service, record_answers, record_failures,
        reported_load, service_loads,
    },
    route,
};

#[test]
fn admits_small_share_until_costs_are_known() {
    let download = route("download", "h", "/d/", 2, &[("top", 1)]);
    let mut admission = AdmissionControl::default();
    let overloaded = service_loads(&[
        reported_load("top", (100, 10, 10), &["deep"]),
        reported_load("deep", (10, 50, 300), &[]),
    ]);
    count_admitted(&mut admission, &download);
    for _ in 0..60 {
        admission.adapt(&overloaded);
    }
    let admitted_while_unknown = count_admitted(&mut admission, &download);
    assert!(
        (100..=200).contains(&admitted_while_unknown),
        "admitted {admitted_while_unknown} of 1000"
    );
    record_answers(&mut admission, &download, &[("top", 50)]);
    admission.adapt(&overloaded);
    assert_eq!(count_admitted(&mut admission, &download), 1000);
}

#[test]
fn sheds_route_for_service_named_in_failures() {
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    for first_answers_succeed in [true, false] {
        let mut admission = AdmissionControl::default();
        count_admitted(&mut admission, &lookup);
        if first_answers_succeed {
            record_answers(&mut admission, &lookup, &[("top", 50)]);
        } else {
            // Before the deep service had a back end, requests failed without reaching it.
            record_failures(&mut admission, &lookup, 10, &[("top", 50)]);
        }
        record_failures(&mut admission, &lookup, 10, &[("top", 50), ("deep", 20)]);
        for _ in 0..20 {
            admission.adapt(&overloaded_deep_service());
        }
        let admitted_while_overloaded = count_admitted(&mut admission, &lookup);
        assert!(
            admitted_while_overloaded < 400,
            "admitted {admitted_while_overloaded} of 1000"
        );
    }
}

#[test]
fn failures_never_lower_costs() {
    let balance = route("balance", "h", "/b/", 2, &[("top", 1)]);
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let mut admission = AdmissionControl::default();
    record_answers(&mut admission, &balance, &[("top", 50), ("deep", 480)]);
    record_answers(&mut admission, &lookup, &[("top", 50), ("deep", 120)]);
    record_failures(&mut admission, &balance, 200, &[("top", 50), ("deep", 1)]);
    for _ in 0..8 {
        admission.adapt(&overloaded_deep_service());
    }
    let costly = count_admitted(&mut admission, &balance);
    let cheap = count_admitted(&mut admission, &lookup);
    assert!(
        costly * 3 < cheap * 2,
        "admitted {costly} costly and {cheap} cheap requests of 1000"
    );
}

#[test]
fn stops_learning_after_unanswered_requests() {
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let mut admission = AdmissionControl::default();
    count_admitted(&mut admission, &lookup);
    for _ in 0..8 {
        admission.record_unanswered(&lookup, default_rank());
    }
    for _ in 0..60 {
        admission.adapt(&overloaded_deep_service());
    }
    let admitted_while_unknown = count_admitted(&mut admission, &lookup);
    assert!(
        admitted_while_unknown < 50,
        "admitted {admitted_while_unknown} of 1000"
    );
}

const TICKS_IN_FIVE_SECONDS: usize = 50;

#[test]
fn forgets_unneeded_service_after_few_answers() {
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let mut admission = AdmissionControl::default();
    record_answers(&mut admission, &lookup, &[("top", 50), ("deep", 100)]);
    let mut times = SlotTimes::default();
    times.add(&Arc::from("top"), Duration::from_millis(50));
    for _ in 0..6 {
        for _ in 0..TICKS_IN_FIVE_SECONDS {
            admission.adapt(&overloaded_deep_service());
        }
        admission.record_answer(&lookup, default_rank(), true, &times);
    }
    admission.adapt(&overloaded_deep_service());
    assert_eq!(count_admitted(&mut admission, &lookup), 1000);
}
