//! The admission level of a back end, and its use by entry nodes.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tallybridge_core::{Criticality, LoadReport};
use tallybridge_overload::{AdmissionThreshold, EarlyRefusal, ThresholdSettings};

const SETTINGS: ThresholdSettings = ThresholdSettings {
    target_delay: Duration::from_millis(50),
    interval: Duration::from_millis(200),
};
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Ticks `level` `ticks` times with `calls_per_class` calls of each class before each tick. Calls of
/// the classes from index `served_from` up are served, all others are refused.
fn tick_with_calls(
    level: &mut AdmissionThreshold,
    now: &mut Instant,
    ticks: usize,
    calls_per_class: usize,
    served_from: usize,
) {
    for _ in 0..ticks {
        for class in Criticality::ALL {
            for _ in 0..calls_per_class {
                if class.index() >= served_from {
                    level.record_taken(class, Duration::from_millis(1));
                } else {
                    level.record_refused(class);
                }
            }
        }
        *now += TICK_INTERVAL;
        level.tick(*now);
    }
}

#[test]
fn level_rises_above_all_starved_classes() {
    let mut now = Instant::now();
    let mut level = AdmissionThreshold::new(SETTINGS);
    tick_with_calls(&mut level, &mut now, 20, 5, 0);
    assert_eq!(level.admitted_from(), Some(Criticality::Sheddable));
    tick_with_calls(&mut level, &mut now, 1, 10_000, 2);
    assert_eq!(level.admitted_from(), Some(Criticality::Critical));
    tick_with_calls(&mut level, &mut now, 1, 1_000_000, 4);
    assert_eq!(level.admitted_from(), None);
}

#[test]
fn level_stays_while_class_is_partly_served() {
    let mut now = Instant::now();
    let mut level = AdmissionThreshold::new(SETTINGS);
    for _ in 0..100 {
        for call in 0..10 {
            if call == 0 {
                level.record_taken(Criticality::Sheddable, Duration::from_millis(300));
            } else {
                level.record_refused(Criticality::Sheddable);
            }
        }
        now += TICK_INTERVAL;
        level.tick(now);
        assert_eq!(level.admitted_from(), Some(Criticality::Sheddable));
    }
}

#[test]
fn level_falls_one_class_per_uncongested_interval() {
    let mut now = Instant::now();
    let mut level = AdmissionThreshold::new(SETTINGS);
    tick_with_calls(&mut level, &mut now, 10, 20, 3);
    assert_eq!(level.admitted_from(), Some(Criticality::CriticalPlus));
    let mut levels = vec![level.admitted_from()];
    for _ in 0..70 {
        tick_with_calls(&mut level, &mut now, 1, 1, 0);
        if levels.last() != Some(&level.admitted_from()) {
            levels.push(level.admitted_from());
        }
    }
    let expected: Vec<_> = Criticality::ALL.into_iter().rev().map(Some).collect();
    assert_eq!(levels, expected);
}

#[test]
fn level_stays_while_admitted_calls_wait_long() {
    let mut now = Instant::now();
    let mut level = AdmissionThreshold::new(SETTINGS);
    tick_with_calls(&mut level, &mut now, 10, 20, 1);
    for _ in 0..100 {
        level.record_taken(Criticality::Critical, Duration::from_millis(80));
        now += TICK_INTERVAL;
        level.tick(now);
    }
    assert_eq!(level.admitted_from(), Some(Criticality::SheddablePlus));
}

fn report(admitted_from: Option<Criticality>) -> LoadReport {
    LoadReport {
        admitted_from,
        ..LoadReport::default()
    }
}

/// Returns the share of 2000 calls that `table` refuses.
fn refused_share(table: &EarlyRefusal<u8, u8>, class: Criticality, now: Instant) -> f64 {
    let mut rng = SmallRng::seed_from_u64(5);
    let refused = (0..2000)
        .filter(|_| table.should_refuse(&0, class, now, &mut rng))
        .count();
    refused as f64 / 2000.0
}

#[test]
fn refuses_most_calls_that_every_endpoint_refuses() {
    let now = Instant::now();
    let mut table = EarlyRefusal::new();
    table.record(0, 1, &report(Some(Criticality::Critical)), now);
    table.record(0, 2, &report(Some(Criticality::CriticalPlus)), now);
    let share = refused_share(&table, Criticality::SheddablePlus, now);
    assert!((0.92..0.98).contains(&share), "refused share {share}");
    assert_eq!(refused_share(&table, Criticality::Critical, now), 0.0);
    assert_eq!(refused_share(&table, Criticality::CriticalPlus, now), 0.0);
}

#[test]
fn refuses_critical_plus_only_when_all_refuse() {
    let now = Instant::now();
    let mut table = EarlyRefusal::new();
    table.record(0, 1, &report(None), now);
    assert!(refused_share(&table, Criticality::CriticalPlus, now) > 0.9);
    table.record(0, 2, &report(Some(Criticality::CriticalPlus)), now);
    assert_eq!(refused_share(&table, Criticality::CriticalPlus, now), 0.0);
}

#[test]
fn ignores_stale_reports_and_leaving_endpoints() {
    let now = Instant::now();
    let mut table = EarlyRefusal::new();
    table.record(0, 1, &report(None), now);
    table.record(0, 2, &report(Some(Criticality::Sheddable)), now);
    let leaving = LoadReport {
        leaving: true,
        ..report(Some(Criticality::Sheddable))
    };
    table.record(0, 2, &leaving, now);
    assert!(refused_share(&table, Criticality::Sheddable, now) > 0.9);
    let later = now + Duration::from_millis(251);
    assert_eq!(refused_share(&table, Criticality::Sheddable, later), 0.0);
    table.tick(later);
    assert_eq!(refused_share(&table, Criticality::Sheddable, now), 0.0);
}
