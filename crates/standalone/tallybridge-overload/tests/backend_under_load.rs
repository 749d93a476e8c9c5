//! Goodput of a back end behind the concurrency limit, the admission queue and early refusal, in
//! virtual time.

mod backend_model;

use std::ops::Range;
use std::time::Duration;

use backend_model::{CLASS_SHARES, Model, Outcome, Scenario, TICKS_PER_SECOND};
use tallybridge_limits::QueueSettings;
use tallybridge_overload::LimitSettings;

const SLOT_COUNTS: [usize; 3] = [6, 12, 20];
const LOADS: [f64; 4] = [1.0, 2.0, 4.0, 8.0];
/// Excludes the seconds in which the limit settles, and the last seconds, whose calls may be
/// unanswered at the end of the run.
const MEASURED_SECONDS: Range<usize> = 5..28;
const ADAPTIVE_LIMIT: LimitSettings = LimitSettings {
    initial: 8,
    min: 2,
    max: 1000,
};
/// A limit that is never reached and never adapts.
const NO_LIMIT: LimitSettings = LimitSettings {
    initial: u16::MAX,
    min: u16::MAX,
    max: u16::MAX,
};

fn scenario(slots: usize, load: f64, seed: u64) -> Scenario {
    Scenario {
        slots,
        limit: ADAPTIVE_LIMIT,
        queue: QueueSettings::default(),
        load,
        duration: Duration::from_secs(30),
        deadline: Duration::from_secs(1),
        caller_retries: 0,
        slowdown: None,
        seed,
    }
}

/// Returns a scenario in which the back end runs at a tenth of its speed under double load from
/// second 10 to second 20, and callers retry three times.
fn slowdown_scenario(slots: usize, load: f64, seed: u64) -> Scenario {
    Scenario {
        caller_retries: 3,
        slowdown: Some((Duration::from_secs(10), Duration::from_secs(20))),
        ..scenario(slots, load, seed)
    }
}

/// Returns the goodput relative to the demand, or to the capacity if that is less.
fn relative_goodput(outcome: &Outcome, seconds: Range<usize>, slots: usize) -> f64 {
    let attainable = outcome.demand(seconds.clone(), slots).min(1.0);
    outcome.goodput(seconds, slots) / attainable
}

/// Returns the mean of `measure` over the outcomes of `scenario` with `seeds`.
fn mean(scenario: Scenario, seeds: Range<u64>, measure: impl Fn(&Outcome) -> f64) -> f64 {
    let count = (seeds.end - seeds.start) as f64;
    let outcomes = seeds.map(|seed| Model::run(Scenario { seed, ..scenario }));
    outcomes.map(|outcome| measure(&outcome)).sum::<f64>() / count
}

#[test]
fn goodput_stays_at_capacity_under_overload() {
    for slots in SLOT_COUNTS {
        for (load, seed) in LOADS.into_iter().flat_map(|load| [(load, 0), (load, 1)]) {
            let outcome = Model::run(scenario(slots, load, seed));
            let goodput = relative_goodput(&outcome, MEASURED_SECONDS, slots);
            assert!(
                goodput >= 0.95,
                "{slots} slots, load {load}: goodput {goodput:.3}"
            );
        }
    }
}

#[test]
fn limit_stays_near_slot_count() {
    for slots in SLOT_COUNTS {
        let outcomes = (0..4).map(|seed| Model::run(scenario(slots, 4.0, seed)));
        let mut limits: Vec<u16> = outcomes
            .flat_map(|outcome| {
                outcome.limits[MEASURED_SECONDS.start * TICKS_PER_SECOND..].to_vec()
            })
            .collect();
        limits.sort_unstable();
        let median = usize::from(limits[limits.len() / 2]);
        assert!(
            (slots..=slots * 2).contains(&median),
            "{slots} slots: median limit {median}"
        );
    }
}

#[test]
fn goodput_collapses_without_limit() {
    for load in [2.0, 4.0, 8.0] {
        let unlimited = Scenario {
            limit: NO_LIMIT,
            ..scenario(6, load, 0)
        };
        let goodput = relative_goodput(&Model::run(unlimited), MEASURED_SECONDS, 6);
        assert!(goodput < 0.1, "load {load}: goodput {goodput:.3}");
    }
}

#[test]
fn sheds_least_critical_calls_first() {
    for slots in SLOT_COUNTS {
        for load in LOADS {
            let outcome = Model::run(scenario(slots, load, 2));
            let classes = outcome.by_class(MEASURED_SECONDS);
            let mut more_critical_demand = 0.0;
            for class in (0..classes.len()).rev() {
                let totals = classes[class];
                let answered_share =
                    f64::from(totals.answered_calls) / f64::from(totals.offered_calls);
                let demand = load * CLASS_SHARES[class];
                let context = format!(
                    "{slots} slots, load {load}, class {class}: answered share {answered_share:.3}"
                );
                if more_critical_demand + demand <= 0.85 {
                    let min_share = if class == 3 { 0.99 } else { 0.97 };
                    assert!(
                        answered_share >= min_share,
                        "within capacity, but not answered: {context}"
                    );
                }
                if more_critical_demand >= 1.05 {
                    assert!(
                        answered_share <= 0.05,
                        "beyond capacity, but answered: {context}"
                    );
                }
                more_critical_demand += demand;
            }
        }
    }
}

#[test]
fn goodput_recovers_two_seconds_after_slowdown() {
    for slots in SLOT_COUNTS {
        for load in [0.5, 0.8] {
            let scenario = slowdown_scenario(slots, load, 0);
            let before = mean(scenario, 0..6, |run| relative_goodput(run, 4..10, slots));
            let after = mean(scenario, 0..6, |run| relative_goodput(run, 22..24, slots));
            let ratio = after / before;
            assert!(
                ratio >= 0.95,
                "{slots} slots, load {load}: {ratio:.3} of the former goodput"
            );
        }
    }
}

#[test]
fn goodput_does_not_recover_without_limit() {
    let unlimited = Scenario {
        limit: NO_LIMIT,
        ..slowdown_scenario(12, 0.8, 0)
    };
    let outcome = Model::run(unlimited);
    assert!(relative_goodput(&outcome, 4..10, 12) > 0.95);
    assert!(relative_goodput(&outcome, 22..30, 12) < 0.1);
}

#[test]
fn keeps_slots_of_slow_back_end_busy() {
    for slots in SLOT_COUNTS {
        let long_deadline_scenario = Scenario {
            duration: Duration::from_secs(60),
            deadline: Duration::from_secs(15),
            slowdown: Some((Duration::from_secs(10), Duration::from_secs(60))),
            ..slowdown_scenario(slots, 0.8, 0)
        };
        let goodput = mean(long_deadline_scenario, 0..3, |run| {
            run.goodput(12..60, slots)
        });
        assert!(
            goodput >= 0.095,
            "{slots} slots: goodput {goodput:.4} of 0.1"
        );
    }
}

#[test]
fn lowers_limit_when_every_call_times_out() {
    for (slots, seed) in [(6, 0), (12, 0), (12, 2)] {
        let mut high_limit_scenario = scenario(slots, 4.0, seed);
        high_limit_scenario.limit.initial = 300;
        high_limit_scenario.duration = Duration::from_secs(50);
        let outcome = Model::run(high_limit_scenario);
        let goodput = relative_goodput(&outcome, 25..48, slots);
        assert!(
            goodput >= 0.95,
            "{slots} slots, seed {seed}: goodput {goodput:.3}"
        );
    }
}
