//! What a node believes of its back end, under reports in any order.

use std::{collections::HashSet, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use tallybridge_mesh::{
    InstanceReport, ReportedState,
    tables::{EndedStart, InstanceState, LocalInstance, ReportEffect},
};
use tokio::time::Instant;

#[derive(Debug, Clone)]
enum Event {
    Report {
        instance: u8,
        leaving: bool,
        sequence: u64,
    },
    Verified {
        instance: u8,
        healthy: bool,
    },
    Unreachable,
    Reached,
    Misdirected,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0_u8..3, any::<bool>(), 0_u64..6).prop_map(|(instance, leaving, sequence)| {
            Event::Report { instance, leaving, sequence }
        }),
        3 => (0_u8..3, any::<bool>())
            .prop_map(|(instance, healthy)| Event::Verified { instance, healthy }),
        1 => Just(Event::Unreachable),
        1 => Just(Event::Reached),
        1 => Just(Event::Misdirected),
    ]
}

fn report(instance: u8, leaving: bool, sequence: u64) -> InstanceReport {
    InstanceReport {
        instance: instance.to_string(),
        started_at_ms: None,
        service: None,
        state: if leaving {
            ReportedState::Leaving
        } else {
            ReportedState::Ready
        },
        sequence,
        slots: 7,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(2), ..ProptestConfig::default() })]

    /// The oracle: an instance that said it leaves never gets work again, and none gets work that
    /// has not answered a health check as healthy.
    #[test]
    fn leavers_and_strangers_get_no_work(events in prop::collection::vec(event(), 1..60)) {
        let now = Instant::now();
        let mut instance = LocalInstance::default();
        let mut left = HashSet::new();
        let mut healthy = HashSet::new();
        for event in events {
            match event {
                Event::Report { instance: id, leaving, sequence } => {
                    if leaving {
                        left.insert(id.to_string());
                    }
                    instance.report(&report(id, leaving, sequence), now);
                }
                Event::Verified { instance: id, healthy: is_healthy } => {
                    if is_healthy {
                        healthy.insert(id.to_string());
                    }
                    instance.verified(&id.to_string(), is_healthy, now);
                }
                Event::Unreachable => {
                    instance.unreachable(now);
                }
                Event::Reached => {
                    instance.reached();
                }
                Event::Misdirected => instance.misdirected(),
            }
            if let Some(incarnation) = instance.takes_work(now) {
                let id = incarnation.id();
                prop_assert!(!left.contains(id), "{id} has left");
                prop_assert!(healthy.contains(id), "{id} was never verified");
            }
        }
    }
}

#[test]
fn a_ready_report_alone_is_no_proof() {
    let mut instance = LocalInstance::default();
    instance.report(&report(1, false, 3), Instant::now());
    assert_eq!(instance.state(), InstanceState::Unknown);
}

#[test]
fn a_late_report_does_not_change_the_slots() {
    let now = Instant::now();
    let mut instance = LocalInstance::default();
    instance.verified("1", true, now);
    instance.report(&report(1, false, 5), now);
    let late = InstanceReport {
        slots: 99,
        ..report(1, false, 4)
    };
    instance.report(&late, now);
    assert_eq!(instance.slots(), 7);
}

#[test]
fn an_unreachable_back_end_is_tried_again_after_a_while() {
    let now = Instant::now();
    let mut instance = LocalInstance::default();
    instance.verified("1", true, now);
    assert!(instance.unreachable(now));
    assert!(!instance.unreachable(now), "no news the second time");
    assert!(instance.takes_work(now).is_none());
    assert!(instance.takes_work(now + Duration::from_secs(1)).is_some());
    assert!(instance.reached());
    assert!(instance.takes_work(now).is_some());
}

/// A report of the start that began at a time, under one id.
fn report_of(started_at_ms: u64, leaving: bool, sequence: u64) -> InstanceReport {
    InstanceReport {
        started_at_ms: Some(started_at_ms),
        ..report(1, leaving, sequence)
    }
}

/// A back end that began at 100, verified and ready.
fn known(now: Instant) -> LocalInstance {
    let mut instance = LocalInstance::default();
    assert_eq!(
        instance.report(&report_of(100, false, 7), now),
        ReportEffect::Verify
    );
    instance.verified("1", true, now);
    instance.report(&report_of(100, false, 8), now);
    assert_eq!(instance.state(), InstanceState::Ready);
    instance
}

fn is_restart(effect: &ReportEffect) -> bool {
    matches!(effect, ReportEffect::Restarted(_))
}

#[test]
fn a_back_end_that_starts_again_under_its_id_is_another_start() {
    let now = Instant::now();
    let mut instance = known(now);
    let before = instance.current().unwrap().clone();
    // Its sequence begins anew.
    let again = InstanceReport {
        slots: 9,
        ..report_of(200, false, 1)
    };
    let effect = instance.report(&again, now);
    let ended = EndedStart {
        incarnation: before.clone(),
        had_left: false,
    };
    assert_eq!(effect, ReportEffect::Restarted(ended));
    assert!(instance.takes_work(now).is_none(), "it is verified first");
    assert!(instance.is_restarted_after(&before));
    assert_eq!(instance.slots(), 9);
    instance.verified("1", true, now);
    let after = instance.takes_work(now).unwrap();
    assert_eq!(after.id(), before.id());
    assert_ne!(after, before);
}

#[test]
fn late_reports_of_an_earlier_start_change_nothing() {
    let now = Instant::now();
    let mut instance = known(now);
    instance.report(&report_of(200, false, 1), now);
    instance.verified("1", true, now);
    for late in [report_of(100, false, 99), report_of(100, true, 99)] {
        let late = InstanceReport { slots: 3, ..late };
        assert_eq!(instance.report(&late, now), ReportEffect::Nothing);
    }
    assert_eq!(instance.slots(), 7);
    assert!(instance.takes_work(now).is_some());
    assert!(!instance.has_left(now));
}

#[test]
fn a_start_that_left_stays_out_and_the_next_one_under_its_id_does_not() {
    let now = Instant::now();
    let mut instance = known(now);
    instance.report(&report_of(100, true, 9), now);
    assert_eq!(instance.state(), InstanceState::Leaving);
    instance.report(&report_of(100, false, 10), now);
    instance.verified("1", true, now);
    assert!(instance.takes_work(now).is_none(), "it said that it leaves");
    let effect = instance.report(&report_of(200, false, 1), now);
    let ReportEffect::Restarted(ended) = effect else {
        panic!("{effect:?}");
    };
    assert!(ended.had_left, "its end is no crash");
    instance.verified("1", true, now);
    assert!(instance.takes_work(now).is_some());
}

#[test]
fn a_farewell_that_tells_no_start_is_of_the_one_that_is_known() {
    let now = Instant::now();
    let mut instance = known(now);
    instance.report(&report(1, true, 0), now);
    assert_eq!(instance.state(), InstanceState::Leaving);
    assert!(is_restart(&instance.report(&report_of(200, false, 1), now)));
    instance.verified("1", true, now);
    assert!(instance.takes_work(now).is_some());
}

#[test]
fn a_clock_that_was_set_back_does_not_make_the_newer_start_look_old_for_long() {
    let mut now = Instant::now();
    let mut instance = known(now);
    assert!(!is_restart(&instance.report(&report_of(50, false, 1), now)));
    now += Duration::from_millis(1500);
    assert!(is_restart(&instance.report(&report_of(50, false, 2), now)));
    // What it came after is over, though its clock showed more.
    let late = instance.report(&report_of(100, false, 99), now);
    assert_eq!(late, ReportEffect::Nothing);
}

#[test]
fn reports_of_an_unknown_earlier_start_between_those_of_the_known_one_are_late_ones() {
    let mut now = Instant::now();
    let mut instance = known(now);
    for sequence in 0..4 {
        let late = report_of(50, false, sequence);
        assert_eq!(instance.report(&late, now), ReportEffect::Nothing);
        now += Duration::from_millis(750);
        instance.report(&report_of(100, false, 9 + sequence), now);
        now += Duration::from_millis(750);
    }
    assert!(instance.takes_work(now).is_some());
}

#[test]
fn a_late_notice_of_an_unknown_earlier_start_holds_the_known_one_up_until_it_reports() {
    let now = Instant::now();
    let mut instance = known(now);
    instance.report(&report_of(50, true, 3), now);
    assert!(instance.takes_work(now).is_none());
    let effect = instance.report(&report_of(100, false, 9), now);
    assert_eq!(effect, ReportEffect::Verify);
    instance.verified("1", true, now);
    assert!(instance.takes_work(now).is_some());
}

#[test]
fn an_id_that_left_without_telling_its_start_comes_back_after_a_while() {
    let mut now = Instant::now();
    let mut instance = LocalInstance::default();
    instance.verified("1", true, now);
    instance.report(&report(1, true, 1), now);
    now += Duration::from_secs(30);
    instance.report(&report(1, false, 1), now);
    instance.verified("1", true, now);
    assert!(
        instance.takes_work(now).is_none(),
        "a late report may be of it"
    );
    now += Duration::from_secs(31);
    assert_eq!(
        instance.report(&report(1, false, 2), now),
        ReportEffect::Verify
    );
    instance.verified("1", true, now);
    assert!(instance.takes_work(now).is_some());
}
