//! Goodput of a back end behind the limit, the queue and early refusal, in virtual time.

mod backend_model;

use std::ops::Range;
use std::time::Duration;

use backend_model::{CLASS_SHARES, Model, Outcome, Scenario, TICKS_PER_SECOND};
use tallybridge_limits::QueueSettings;
use tallybridge_overload::LimitSettings;

const SLOTS: [usize; 3] = [6, 12, 20];
const LOADS: [f64; 4] = [1.0, 2.0, 4.0, 8.0];
/// Not counted are the seconds in which the limit is found, and those whose calls may be unanswered
/// when the run ends.
const COUNTED: Range<usize> = 5..28;
const ADAPTIVE: LimitSettings = LimitSettings {
    initial: 8,
    min: 2,
    max: 1000,
};
/// No control: a limit that is never reached and never adapts.
const UNLIMITED: LimitSettings = LimitSettings {
    initial: u16::MAX,
    min: u16::MAX,
    max: u16::MAX,
};

fn scenario(slots: usize, load: f64, seed: u64) -> Scenario {
    Scenario {
        slots,
        limit: ADAPTIVE,
        queue: QueueSettings::default(),
        load,
        duration: Duration::from_secs(30),
        deadline: Duration::from_secs(1),
        caller_retries: 0,
        trigger: None,
        seed,
    }
}

/// A back end at a tenth of its speed under twice the load from second 10 to second 20, with
/// callers that try three more times.
fn slowed(slots: usize, load: f64, seed: u64) -> Scenario {
    Scenario {
        caller_retries: 3,
        trigger: Some((Duration::from_secs(10), Duration::from_secs(20))),
        ..scenario(slots, load, seed)
    }
}

/// Goodput relative to what could be answered: the demand, or the capacity if that is less.
fn relative_goodput(outcome: &Outcome, seconds: Range<usize>, slots: usize) -> f64 {
    let possible = outcome.demand(seconds.clone(), slots).min(1.0);
    outcome.goodput(seconds, slots) / possible
}

/// The mean of `measure` over the outcomes of `scenario` with several seeds.
fn mean(scenario: Scenario, seeds: Range<u64>, measure: impl Fn(&Outcome) -> f64) -> f64 {
    let count = (seeds.end - seeds.start) as f64;
    let outcomes = seeds.map(|seed| Model::run(Scenario { seed, ..scenario }));
    outcomes.map(|outcome| measure(&outcome)).sum::<f64>() / count
}

#[test]
fn goodput_stays_at_capacity_under_overload() {
    for slots in SLOTS {
        for (load, seed) in LOADS.into_iter().flat_map(|load| [(load, 0), (load, 1)]) {
            let outcome = Model::run(scenario(slots, load, seed));
            let goodput = relative_goodput(&outcome, COUNTED, slots);
            assert!(goodput >= 0.95, "{slots} slots, load {load}: {goodput:.3}");
        }
    }
}

#[test]
fn the_limit_stays_near_the_slots() {
    for slots in SLOTS {
        let outcomes = (0..4).map(|seed| Model::run(scenario(slots, 4.0, seed)));
        let mut limits: Vec<u16> = outcomes
            .flat_map(|outcome| outcome.limits[COUNTED.start * TICKS_PER_SECOND..].to_vec())
            .collect();
        limits.sort_unstable();
        let median = usize::from(limits[limits.len() / 2]);
        assert!(
            (slots..=slots * 2).contains(&median),
            "{slots} slots: {median}"
        );
    }
}

#[test]
fn goodput_collapses_without_a_limit() {
    for load in [2.0, 4.0, 8.0] {
        let unlimited = Scenario {
            limit: UNLIMITED,
            ..scenario(6, load, 0)
        };
        let goodput = relative_goodput(&Model::run(unlimited), COUNTED, 6);
        assert!(goodput < 0.1, "load {load}: {goodput:.3}");
    }
}

#[test]
fn the_least_critical_are_shed_first() {
    for slots in SLOTS {
        for load in LOADS {
            let outcome = Model::run(scenario(slots, load, 2));
            let classes = outcome.by_class(COUNTED);
            let mut more_critical = 0.0;
            for class in (0..classes.len()).rev() {
                let totals = classes[class];
                let answered = f64::from(totals.answered_calls) / f64::from(totals.offered_calls);
                let demand = load * CLASS_SHARES[class];
                let context = format!("{slots} slots, load {load}, class {class}: {answered:.3}");
                if more_critical + demand <= 0.85 {
                    let least = if class == 3 { 0.99 } else { 0.97 };
                    assert!(answered >= least, "fits, {context}");
                }
                if more_critical >= 1.05 {
                    assert!(answered <= 0.05, "is beyond the capacity, {context}");
                }
                more_critical += demand;
            }
        }
    }
}

#[test]
fn goodput_is_back_two_seconds_after_a_slow_time() {
    for slots in SLOTS {
        for load in [0.5, 0.8] {
            let scenario = slowed(slots, load, 0);
            let before = mean(scenario, 0..6, |run| relative_goodput(run, 4..10, slots));
            let after = mean(scenario, 0..6, |run| relative_goodput(run, 22..24, slots));
            let ratio = after / before;
            assert!(ratio >= 0.95, "{slots} slots, load {load}: {ratio:.3}");
        }
    }
}

#[test]
fn goodput_stays_down_after_a_slow_time_without_a_limit() {
    let unlimited = Scenario {
        limit: UNLIMITED,
        ..slowed(12, 0.8, 0)
    };
    let outcome = Model::run(unlimited);
    assert!(relative_goodput(&outcome, 4..10, 12) > 0.95);
    assert!(relative_goodput(&outcome, 22..30, 12) < 0.1);
}

#[test]
fn the_slots_of_a_slow_back_end_stay_busy() {
    for slots in SLOTS {
        let patient = Scenario {
            duration: Duration::from_secs(60),
            deadline: Duration::from_secs(15),
            trigger: Some((Duration::from_secs(10), Duration::from_secs(60))),
            ..slowed(slots, 0.8, 0)
        };
        let goodput = mean(patient, 0..3, |run| run.goodput(12..60, slots));
        assert!(goodput >= 0.095, "{slots} slots: {goodput:.4} of 0.1");
    }
}

#[test]
fn a_limit_at_which_every_call_times_out_comes_down() {
    for (slots, seed) in [(6, 0), (12, 0), (12, 2)] {
        let mut too_high = scenario(slots, 4.0, seed);
        too_high.limit.initial = 300;
        too_high.duration = Duration::from_secs(50);
        let outcome = Model::run(too_high);
        let goodput = relative_goodput(&outcome, 25..48, slots);
        assert!(goodput >= 0.95, "{slots} slots, seed {seed}: {goodput:.3}");
    }
}
