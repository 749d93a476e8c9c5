//! The slot share adapts to a simulated back end that slows down when it is nearly full.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, LogNormal};
use tallybridge_mesh::tables::backend::slot_share::SlotShare;

const SLOTS: u32 = 38;
/// Mean times of the short and the long kind of calls.
const MEAN_TIMES_MS: [f64; 2] = [30.0, 480.0];
const LONG_CALL_SHARE: f64 = 0.03;
const TICK_MS: u64 = 100;

/// A back end whose calls take longer if more than the share `knee` of its slots is in use when they start.
#[derive(Clone, Copy)]
struct Model {
    knee: f64,
    /// Factor on the time of calls that start above the knee.
    slowdown: f64,
    /// Factor on the time of all calls.
    time_factor: f64,
}

const HEALTHY: Model = Model {
    knee: 1.0,
    slowdown: 1.0,
    time_factor: 1.0,
};

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RunningCall {
    ends_us: u64,
    started_us: u64,
    kind: u16,
    occupancy_permille: u32,
}

struct Simulation {
    share: SlotShare,
    start: Instant,
    now_us: u64,
    running: BinaryHeap<Reverse<RunningCall>>,
    random: StdRng,
    /// Sum of the mean times of the ended calls.
    work_done_ms: f64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            share: SlotShare::default(),
            start: Instant::now(),
            now_us: 0,
            running: BinaryHeap::new(),
            random: StdRng::seed_from_u64(seed),
            work_done_ms: 0.0,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    fn start_call(&mut self, model: Model) {
        let kind = u16::from(self.random.random_bool(LONG_CALL_SHARE));
        let variation = LogNormal::new(-0.125, 0.5).unwrap();
        let mut time_ms = MEAN_TIMES_MS[usize::from(kind)]
            * variation.sample(&mut self.random)
            * model.time_factor;
        let slots_in_use = self.running.len() + 1;
        if slots_in_use as f64 > model.knee * f64::from(SLOTS) {
            time_ms *= model.slowdown;
        }
        self.running.push(Reverse(RunningCall {
            ends_us: self.now_us + (time_ms * 1000.0) as u64,
            started_us: self.now_us,
            kind,
            occupancy_permille: (slots_in_use * 1000) as u32 / SLOTS,
        }));
    }

    /// Runs the simulation with at most the share `demand` of the slots in use. Returns the work done per
    /// second, in slots of a healthy back end.
    fn run(&mut self, model: Model, seconds: f64, demand: f64) -> f64 {
        let end = self.now_us + (seconds * 1e6) as u64;
        let mut next_tick = self.now_us + TICK_MS * 1000;
        self.work_done_ms = 0.0;
        loop {
            let max_occupancy = self.share.share().min(demand);
            let limit = ((max_occupancy * f64::from(SLOTS)) as usize).max(1);
            while self.running.len() < limit {
                self.start_call(model);
            }
            let next_end = self.running.peek().unwrap().0.ends_us;
            if next_tick.min(next_end) > end {
                self.now_us = end;
                return self.work_done_ms / 1000.0 / seconds;
            }
            if next_tick <= next_end {
                self.now_us = next_tick;
                next_tick += TICK_MS * 1000;
                self.share.end_expired_trial(self.now());
                continue;
            }
            let Reverse(ended) = self.running.pop().unwrap();
            self.now_us = ended.ends_us;
            self.work_done_ms += MEAN_TIMES_MS[usize::from(ended.kind)];
            let time = Duration::from_micros(ended.ends_us - ended.started_us);
            let occupancy = f64::from(ended.occupancy_permille) / 1000.0;
            let in_flight = self.running.len() as u32;
            let now = self.now();
            self.share
                .record_call(ended.kind, time, occupancy, in_flight, now);
        }
    }
}

/// Returns the mean result of a scenario over several seeds.
fn mean_over_seeds(scenario: impl Fn(&mut Simulation) -> f64) -> f64 {
    const SEEDS: u64 = 12;
    let results = (0..SEEDS).map(|seed| scenario(&mut Simulation::new(seed)));
    results.sum::<f64>() / SEEDS as f64
}

fn model_with_knee(knee: f64, slowdown: f64) -> Model {
    Model {
        knee,
        slowdown,
        ..HEALTHY
    }
}

#[test]
fn healthy_back_end_keeps_its_slots() {
    let work = mean_over_seeds(|simulation| simulation.run(HEALTHY, 30.0, 1.0));
    assert!(work > 0.97 * 36.0, "{work}");
    let after_low_load = mean_over_seeds(|simulation| {
        simulation.run(HEALTHY, 5.0, 0.5);
        simulation.run(HEALTHY, 20.0, 1.0)
    });
    assert!(after_low_load > 0.98 * 36.0, "{after_low_load}");
}

#[test]
fn stays_below_knee_near_full_load() {
    // Work at 95% of the slots: 36 / 1.6 = 22.5; below the knee: 32.
    let model = model_with_knee(0.85, 1.6);
    let after_low_load = mean_over_seeds(|simulation| {
        simulation.run(model, 5.0, 0.5);
        simulation.run(model, 4.0, 1.0);
        simulation.run(model, 16.0, 1.0)
    });
    assert!(after_low_load > 27.0, "{after_low_load}");
    let without_low_load = mean_over_seeds(|simulation| {
        simulation.run(model, 4.0, 1.0);
        simulation.run(model, 16.0, 1.0)
    });
    assert!(without_low_load > 27.0, "{without_low_load}");
}

#[test]
fn finds_low_knee_after_low_load() {
    // Work at 95% of the slots: 36 / 2.5 = 14.4; below the knee: 22.
    let model = model_with_knee(0.6, 2.5);
    let work = mean_over_seeds(|simulation| {
        simulation.run(model, 5.0, 0.5);
        simulation.run(model, 5.0, 1.0);
        simulation.run(model, 16.0, 1.0)
    });
    assert!(work > 18.0, "{work}");
}

#[test]
fn slight_slowdown_keeps_slots() {
    // Work at 95% of the slots: 36 / 1.15 = 31.3; lower shares do less.
    let work = mean_over_seeds(|simulation| {
        simulation.run(model_with_knee(0.9, 1.15), 5.0, 0.5);
        simulation.run(model_with_knee(0.9, 1.15), 20.0, 1.0)
    });
    assert!(work > 30.0, "{work}");
}

#[test]
fn slowdown_at_any_load_keeps_slots() {
    let slow = Model {
        time_factor: 5.0,
        ..HEALTHY
    };
    let work = mean_over_seeds(|simulation| {
        simulation.run(HEALTHY, 5.0, 0.5);
        simulation.run(slow, 30.0, 1.0)
    });
    assert!(work > 0.9 * 36.0 / 5.0, "{work}");
    let after_recovery = mean_over_seeds(|simulation| {
        simulation.run(HEALTHY, 5.0, 0.5);
        simulation.run(slow, 10.0, 1.0);
        simulation.run(HEALTHY, 20.0, 1.0)
    });
    assert!(after_recovery > 0.95 * 36.0, "{after_recovery}");
}

#[test]
fn raises_share_after_recovery() {
    let share = mean_over_seeds(|simulation| {
        simulation.run(model_with_knee(0.6, 2.5), 5.0, 0.5);
        simulation.run(model_with_knee(0.6, 2.5), 10.0, 1.0);
        simulation.run(HEALTHY, 30.0, 1.0);
        simulation.share.share()
    });
    assert!(share > 0.85, "{share}");
}

/// Returns whether a trial runs. Holds for the first trial, whose share differs from the baseline.
fn is_trial_running(share: &SlotShare) -> bool {
    share.share() != share.baseline()
}

#[test]
fn trial_ends_when_load_drops() {
    let mut simulation = Simulation::new(1);
    simulation.run(HEALTHY, 5.0, 0.5);
    while !is_trial_running(&simulation.share) {
        simulation.run(model_with_knee(0.85, 1.6), 0.05, 1.0);
    }
    simulation.run(HEALTHY, 3.0, 0.1);
    assert!(!is_trial_running(&simulation.share));
    assert!(
        simulation.share.share() > 0.9,
        "{}",
        simulation.share.share()
    );
}
