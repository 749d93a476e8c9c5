//! The share of the slots that is used, against a model of a back end that slows down when it is
//! nearly full, in virtual time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, LogNormal};
use tallybridge_mesh::tables::backend::slot_share::SlotShare;

const SLOTS: u32 = 38;
/// Mean times of the two kinds of calls, in milliseconds, and the share of the second.
const KINDS: [f64; 2] = [30.0, 480.0];
const SECOND_KIND: f64 = 0.03;
const TICK_MS: u64 = 100;

/// A back end whose calls take longer while more than a share of its slots is taken.
#[derive(Clone, Copy)]
struct Model {
    knee: f64,
    slower: f64,
    /// All calls take so many times as long.
    pace: f64,
}

const SOUND: Model = Model {
    knee: 1.0,
    slower: 1.0,
    pace: 1.0,
};

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Running {
    ends_us: u64,
    began_us: u64,
    kind: u16,
    load_permille: u32,
}

struct Simulation {
    share: SlotShare,
    start: Instant,
    now_us: u64,
    running: BinaryHeap<Reverse<Running>>,
    random: StdRng,
    /// Work done, in milliseconds of mean time.
    done_ms: f64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            share: SlotShare::default(),
            start: Instant::now(),
            now_us: 0,
            running: BinaryHeap::new(),
            random: StdRng::seed_from_u64(seed),
            done_ms: 0.0,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    fn begin(&mut self, model: Model) {
        let kind = u16::from(self.random.random_bool(SECOND_KIND));
        let spread = LogNormal::new(-0.125, 0.5).unwrap();
        let mut took = KINDS[usize::from(kind)] * spread.sample(&mut self.random) * model.pace;
        let taken = self.running.len() + 1;
        if taken as f64 > model.knee * f64::from(SLOTS) {
            took *= model.slower;
        }
        self.running.push(Reverse(Running {
            ends_us: self.now_us + (took * 1000.0) as u64,
            began_us: self.now_us,
            kind,
            load_permille: (taken * 1000) as u32 / SLOTS,
        }));
    }

    /// Runs for a time with so much of the slots wanted; gives the work done a second, as a multiple
    /// of what one slot does of a sound back end.
    fn run(&mut self, model: Model, seconds: f64, wanted: f64) -> f64 {
        let end = self.now_us + (seconds * 1e6) as u64;
        let mut next_tick = self.now_us + TICK_MS * 1000;
        self.done_ms = 0.0;
        loop {
            let allowed = self.share.share().min(wanted);
            let limit = ((allowed * f64::from(SLOTS)) as usize).max(1);
            while self.running.len() < limit {
                self.begin(model);
            }
            let next_end = self.running.peek().unwrap().0.ends_us;
            if next_tick.min(next_end) > end {
                self.now_us = end;
                return self.done_ms / 1000.0 / seconds;
            }
            if next_tick <= next_end {
                self.now_us = next_tick;
                next_tick += TICK_MS * 1000;
                self.share.end_stale_trial(self.now());
                continue;
            }
            let Reverse(ended) = self.running.pop().unwrap();
            self.now_us = ended.ends_us;
            self.done_ms += KINDS[usize::from(ended.kind)];
            let took = Duration::from_micros(ended.ends_us - ended.began_us);
            let load = f64::from(ended.load_permille) / 1000.0;
            let in_flight = self.running.len() as u32;
            let now = self.now();
            self.share.ended(ended.kind, took, load, in_flight, now);
        }
    }
}

/// The mean of what a course gives over some seeds.
fn mean(course: impl Fn(&mut Simulation) -> f64) -> f64 {
    const SEEDS: u64 = 12;
    let results = (0..SEEDS).map(|seed| course(&mut Simulation::new(seed)));
    results.sum::<f64>() / SEEDS as f64
}

fn knee(knee: f64, slower: f64) -> Model {
    Model {
        knee,
        slower,
        ..SOUND
    }
}

#[test]
fn a_sound_back_end_keeps_nearly_all_of_its_slots() {
    let work = mean(|simulation| simulation.run(SOUND, 30.0, 1.0));
    assert!(work > 0.97 * 36.0, "{work}");
    let after_calm = mean(|simulation| {
        simulation.run(SOUND, 5.0, 0.5);
        simulation.run(SOUND, 20.0, 1.0)
    });
    assert!(after_calm > 0.98 * 36.0, "{after_calm}");
}

#[test]
fn a_back_end_that_slows_down_when_nearly_full_is_kept_below_that() {
    // All slots would do 36 / 1.6 = 22.5, those below the knee 32.
    let model = knee(0.85, 1.6);
    let known = mean(|simulation| {
        simulation.run(model, 5.0, 0.5);
        simulation.run(model, 4.0, 1.0);
        simulation.run(model, 16.0, 1.0)
    });
    assert!(known > 27.0, "{known}");
    let from_the_start = mean(|simulation| {
        simulation.run(model, 4.0, 1.0);
        simulation.run(model, 16.0, 1.0)
    });
    assert!(from_the_start > 27.0, "{from_the_start}");
}

#[test]
fn a_far_knee_is_found_where_low_load_was_seen() {
    // All slots would do 36 / 2.5 = 14.4, those below the knee 22.
    let model = knee(0.6, 2.5);
    let work = mean(|simulation| {
        simulation.run(model, 5.0, 0.5);
        simulation.run(model, 5.0, 1.0);
        simulation.run(model, 16.0, 1.0)
    });
    assert!(work > 18.0, "{work}");
}

#[test]
fn a_slight_slowness_near_the_end_costs_nothing() {
    // All that is used does 36 / 1.15 = 31.3; less would do less.
    let work = mean(|simulation| {
        simulation.run(knee(0.9, 1.15), 5.0, 0.5);
        simulation.run(knee(0.9, 1.15), 20.0, 1.0)
    });
    assert!(work > 30.0, "{work}");
}

#[test]
fn a_back_end_that_becomes_slow_at_every_load_keeps_its_slots() {
    let slow = Model { pace: 5.0, ..SOUND };
    let work = mean(|simulation| {
        simulation.run(SOUND, 5.0, 0.5);
        simulation.run(slow, 30.0, 1.0)
    });
    assert!(work > 0.9 * 36.0 / 5.0, "{work}");
    let recovered = mean(|simulation| {
        simulation.run(SOUND, 5.0, 0.5);
        simulation.run(slow, 10.0, 1.0);
        simulation.run(SOUND, 20.0, 1.0)
    });
    assert!(recovered > 0.95 * 36.0, "{recovered}");
}

#[test]
fn slots_that_were_given_up_are_used_again_when_the_back_end_does_not_slow_down_any_more() {
    let share = mean(|simulation| {
        simulation.run(knee(0.6, 2.5), 5.0, 0.5);
        simulation.run(knee(0.6, 2.5), 10.0, 1.0);
        simulation.run(SOUND, 30.0, 1.0);
        simulation.share.share()
    });
    assert!(share > 0.85, "{share}");
}

/// Whether a share is being tried. The first trial of a back end never tries the share that is kept.
fn is_trying(share: &SlotShare) -> bool {
    share.share() != share.kept()
}

#[test]
fn a_trial_ends_when_load_goes() {
    let mut simulation = Simulation::new(1);
    simulation.run(SOUND, 5.0, 0.5);
    while !is_trying(&simulation.share) {
        simulation.run(knee(0.85, 1.6), 0.05, 1.0);
    }
    simulation.run(SOUND, 3.0, 0.1);
    assert!(!is_trying(&simulation.share));
    assert!(
        simulation.share.share() > 0.9,
        "{}",
        simulation.share.share()
    );
}
