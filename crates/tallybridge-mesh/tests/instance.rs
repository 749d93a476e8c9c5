//! State of the local back end under late, reordered and conflicting reports.

use std::{collections::HashSet, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use tallybridge_mesh::{
    InstanceReport, ReportedState,
    tables::{EndedIncarnation, HealthCheckEffect, InstanceState, LocalInstance, ReportEffect},
};
use tokio::time::Instant;

#[derive(Debug, Clone)]
enum Event {
    Report {
        instance: u8,
        is_leaving: bool,
        sequence: u64,
    },
    HealthCheck {
        instance: u8,
        is_healthy: bool,
    },
    Unreachable,
    Reachable,
    Misdirected,
    LeavingAnswer,
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0_u8..3, any::<bool>(), 0_u64..6).prop_map(|(instance, is_leaving, sequence)| {
            Event::Report { instance, is_leaving, sequence }
        }),
        3 => (0_u8..3, any::<bool>())
            .prop_map(|(instance, is_healthy)| Event::HealthCheck { instance, is_healthy }),
        1 => Just(Event::Unreachable),
        1 => Just(Event::Reachable),
        1 => Just(Event::Misdirected),
        1 => Just(Event::LeavingAnswer),
    ]
}

fn report(instance: u8, is_leaving: bool, sequence: u64) -> InstanceReport {
    InstanceReport {
        instance: instance.to_string(),
        started_at_ms: None,
        service: Some("ledger".to_owned()),
        state: if is_leaving {
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

    /// An instance gets no work after it announced that it leaves, or before it reported and answered a
    /// health check as healthy.
    #[test]
    fn leaving_and_unverified_instances_get_no_work(events in prop::collection::vec(any_event(), 1..60)) {
        let now = Instant::now();
        let mut instance = LocalInstance::default();
        let mut leaving_ids = HashSet::new();
        let mut healthy_ids = HashSet::new();
        let mut reported_ids = HashSet::new();
        for event in events {
            match event {
                Event::Report { instance: id, is_leaving, sequence } => {
                    reported_ids.insert(id.to_string());
                    if is_leaving {
                        leaving_ids.insert(id.to_string());
                    }
                    instance.apply_report(&report(id, is_leaving, sequence), now);
                }
                Event::HealthCheck { instance: id, is_healthy } => {
                    if is_healthy {
                        healthy_ids.insert(id.to_string());
                    }
                    instance.record_health_check(&id.to_string(), is_healthy, now);
                }
                Event::Unreachable => {
                    instance.mark_unreachable(now);
                }
                Event::Reachable => {
                    instance.mark_reachable();
                }
                Event::Misdirected => instance.mark_unverified(),
                Event::LeavingAnswer => {
                    leaving_ids.extend(instance.current().map(|current| current.id().to_owned()));
                    instance.mark_leaving(now);
                }
            }
            if let Some(incarnation) = instance.available_incarnation(now) {
                let id = incarnation.id();
                prop_assert!(!leaving_ids.contains(id), "{id} got work after it left");
                prop_assert!(healthy_ids.contains(id), "{id} got work before a health check");
                prop_assert!(reported_ids.contains(id), "{id} got work before a report");
            }
        }
    }
}

#[test]
fn ready_report_alone_does_not_verify() {
    let mut instance = LocalInstance::default();
    instance.apply_report(&report(1, false, 3), Instant::now());
    assert_eq!(instance.state(), InstanceState::Unknown);
}

/// A back end of another service may get the address of one that ended, and answers its health check.
#[test]
fn health_check_without_report_does_not_verify() {
    let now = Instant::now();
    let mut instance = LocalInstance::default();
    assert_eq!(
        instance.record_health_check("1", true, now),
        HealthCheckEffect::Unreported
    );
    assert!(instance.available_incarnation(now).is_none());
    let mut instance = ready_instance(now);
    assert_eq!(
        instance.record_health_check("2", true, now),
        HealthCheckEffect::Unreported
    );
    assert!(instance.available_incarnation(now).is_none());
    let deregistration = InstanceReport {
        service: None,
        ..report(2, true, 0)
    };
    instance.apply_report(&deregistration, now);
    assert_eq!(
        instance.record_health_check("2", true, now),
        HealthCheckEffect::Unreported
    );
    instance.apply_report(&report(3, false, 1), now);
    instance.record_health_check("3", true, now);
    assert_eq!(
        instance
            .available_incarnation(now)
            .map(|found| found.id().to_owned()),
        Some("3".to_owned())
    );
}

#[test]
fn late_report_does_not_change_slots() {
    let now = Instant::now();
    let mut instance = LocalInstance::default();
    instance.apply_report(&report(1, false, 1), now);
    instance.record_health_check("1", true, now);
    instance.apply_report(&report(1, false, 5), now);
    let late = InstanceReport {
        slots: 99,
        ..report(1, false, 4)
    };
    instance.apply_report(&late, now);
    assert_eq!(instance.slots(), 7);
}

#[test]
fn retries_unreachable_back_end_after_delay() {
    let now = Instant::now();
    let mut instance = LocalInstance::default();
    instance.apply_report(&report(1, false, 1), now);
    instance.record_health_check("1", true, now);
    assert!(instance.mark_unreachable(now));
    assert!(
        !instance.mark_unreachable(now),
        "the second failure was returned as a change"
    );
    assert!(instance.available_incarnation(now).is_none());
    assert!(
        instance
            .available_incarnation(now + Duration::from_secs(1))
            .is_some()
    );
    assert!(instance.mark_reachable());
    assert!(instance.available_incarnation(now).is_some());
}

/// Builds a report of the back end with id 1 and the start time `started_at_ms`.
fn report_with_start_time(started_at_ms: u64, is_leaving: bool, sequence: u64) -> InstanceReport {
    InstanceReport {
        started_at_ms: Some(started_at_ms),
        ..report(1, is_leaving, sequence)
    }
}

/// Builds the table of a verified, ready back end with id 1 and start time 100.
fn ready_instance(now: Instant) -> LocalInstance {
    let mut instance = LocalInstance::default();
    assert_eq!(
        instance.apply_report(&report_with_start_time(100, false, 7), now),
        ReportEffect::Verify
    );
    instance.record_health_check("1", true, now);
    instance.apply_report(&report_with_start_time(100, false, 8), now);
    assert_eq!(instance.state(), InstanceState::Ready);
    instance
}

fn is_restart(effect: &ReportEffect) -> bool {
    matches!(effect, ReportEffect::Restarted(_))
}

#[test]
fn restart_under_same_id_is_new_incarnation() {
    let now = Instant::now();
    let mut instance = ready_instance(now);
    let previous = instance.current().unwrap().clone();
    let restart_report = InstanceReport {
        slots: 9,
        ..report_with_start_time(200, false, 1)
    };
    let effect = instance.apply_report(&restart_report, now);
    let ended = EndedIncarnation {
        incarnation: previous.clone(),
        was_leaving: false,
    };
    assert_eq!(effect, ReportEffect::Restarted(ended));
    assert!(
        instance.available_incarnation(now).is_none(),
        "the new incarnation got work before a health check"
    );
    assert!(instance.has_restarted_since(&previous));
    assert_eq!(instance.slots(), 9);
    instance.record_health_check("1", true, now);
    let restarted = instance.available_incarnation(now).unwrap();
    assert_eq!(restarted.id(), previous.id());
    assert_ne!(restarted, previous);
}

#[test]
fn ignores_reports_of_previous_incarnation() {
    let now = Instant::now();
    let mut instance = ready_instance(now);
    instance.apply_report(&report_with_start_time(200, false, 1), now);
    instance.record_health_check("1", true, now);
    for late in [
        report_with_start_time(100, false, 99),
        report_with_start_time(100, true, 99),
    ] {
        let late = InstanceReport { slots: 3, ..late };
        assert_eq!(instance.apply_report(&late, now), ReportEffect::Nothing);
    }
    assert_eq!(instance.slots(), 7);
    assert!(instance.available_incarnation(now).is_some());
    assert!(!instance.is_leaving(now));
}

#[test]
fn only_new_incarnation_returns_after_leaving() {
    let now = Instant::now();
    let mut instance = ready_instance(now);
    instance.apply_report(&report_with_start_time(100, true, 9), now);
    assert_eq!(instance.state(), InstanceState::Leaving);
    instance.apply_report(&report_with_start_time(100, false, 10), now);
    instance.record_health_check("1", true, now);
    assert!(
        instance.available_incarnation(now).is_none(),
        "a leaving incarnation got work"
    );
    let effect = instance.apply_report(&report_with_start_time(200, false, 1), now);
    let ReportEffect::Restarted(ended) = effect else {
        panic!("{effect:?}");
    };
    assert!(
        ended.was_leaving,
        "the restart of a leaving back end counts as a crash"
    );
    instance.record_health_check("1", true, now);
    assert!(instance.available_incarnation(now).is_some());
}

#[test]
fn leaving_report_without_start_time_applies_to_current() {
    let now = Instant::now();
    let mut instance = ready_instance(now);
    instance.apply_report(&report(1, true, 0), now);
    assert_eq!(instance.state(), InstanceState::Leaving);
    assert!(is_restart(
        &instance.apply_report(&report_with_start_time(200, false, 1), now)
    ));
    instance.record_health_check("1", true, now);
    assert!(instance.available_incarnation(now).is_some());
}

#[test]
fn accepts_restart_after_clock_rollback() {
    let mut now = Instant::now();
    let mut instance = ready_instance(now);
    assert!(!is_restart(
        &instance.apply_report(&report_with_start_time(50, false, 1), now)
    ));
    now += Duration::from_millis(1500);
    assert!(is_restart(
        &instance.apply_report(&report_with_start_time(50, false, 2), now)
    ));
    // The replaced incarnation has ended, although its start time is later.
    let late = instance.apply_report(&report_with_start_time(100, false, 99), now);
    assert_eq!(late, ReportEffect::Nothing);
}

#[test]
fn interleaved_older_reports_are_no_restart() {
    let mut now = Instant::now();
    let mut instance = ready_instance(now);
    for sequence in 0..4 {
        let late = report_with_start_time(50, false, sequence);
        assert_eq!(instance.apply_report(&late, now), ReportEffect::Nothing);
        now += Duration::from_millis(750);
        instance.apply_report(&report_with_start_time(100, false, 9 + sequence), now);
        now += Duration::from_millis(750);
    }
    assert!(instance.available_incarnation(now).is_some());
}

#[test]
fn late_leaving_report_pauses_work_until_next_report() {
    let now = Instant::now();
    let mut instance = ready_instance(now);
    instance.apply_report(&report_with_start_time(50, true, 3), now);
    assert!(instance.available_incarnation(now).is_none());
    assert!(
        !instance.is_leaving(now),
        "the notice was not of the current incarnation"
    );
    let effect = instance.apply_report(&report_with_start_time(100, false, 9), now);
    assert_eq!(effect, ReportEffect::Verify);
    instance.record_health_check("1", true, now);
    assert!(instance.available_incarnation(now).is_some());
}

#[test]
fn id_without_start_time_returns_after_exclusion() {
    let mut now = Instant::now();
    let mut instance = LocalInstance::default();
    instance.apply_report(&report(1, false, 0), now);
    instance.record_health_check("1", true, now);
    instance.apply_report(&report(1, true, 1), now);
    now += Duration::from_secs(30);
    instance.apply_report(&report(1, false, 1), now);
    instance.record_health_check("1", true, now);
    assert!(
        instance.available_incarnation(now).is_none(),
        "a possibly late report made a leaving id available"
    );
    now += Duration::from_secs(31);
    assert_eq!(
        instance.apply_report(&report(1, false, 2), now),
        ReportEffect::Verify
    );
    instance.record_health_check("1", true, now);
    assert!(instance.available_incarnation(now).is_some());
}
