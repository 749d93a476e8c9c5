//! When root requests arrive: a Poisson process whose rate follows the phases.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp1};

use crate::scenario::{Phase, Scenario};

/// One root request that a caller intends to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Number within the run, from 0.
    pub request: u64,
    /// Intended send time, from the start of the first phase.
    pub at: Duration,
    /// Index of the kind in the scenario.
    pub kind: usize,
    /// Index of the tenant in the scenario.
    pub tenant: usize,
    /// Number from which the caller draws its entry nodes.
    pub entry: usize,
}

/// All arrivals of a scenario, in order. The same scenario and seed give the same arrivals.
#[must_use]
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut phase_start = 0.0;
    for phase in &scenario.phase {
        for offset in phase_arrivals(phase, &mut random) {
            arrivals.push(Arrival {
                request: arrivals.len() as u64,
                at: Duration::from_secs_f64(phase_start + offset),
                kind: draw_kind(scenario, phase, &mut random),
                tenant: random.random_range(0..scenario.tenants.len()),
                entry: random.random_range(0..usize::MAX),
            });
        }
        phase_start += phase.seconds;
    }
    arrivals
}

/// Arrival times within a phase, in seconds, by thinning a process at the peak rate (Lewis and
/// Shedler, 1979).
fn phase_arrivals(phase: &Phase, random: &mut SmallRng) -> Vec<f64> {
    let peak_rate = phase.peak_rate();
    let mut offsets = Vec::new();
    if peak_rate <= 0.0 {
        return offsets;
    }
    let mut offset = 0.0;
    loop {
        let gap: f64 = Exp1.sample(random);
        offset += gap / peak_rate;
        if offset >= phase.seconds {
            return offsets;
        }
        if random.random::<f64>() * peak_rate < phase.rate_at(offset) {
            offsets.push(offset);
        }
    }
}

fn draw_kind(scenario: &Scenario, phase: &Phase, random: &mut SmallRng) -> usize {
    let total: f64 = phase.mix.iter().map(|share| share.weight).sum();
    let mut drawn = random.random::<f64>() * total;
    let mut chosen = &phase.mix[0].kind;
    for share in &phase.mix {
        chosen = &share.kind;
        drawn -= share.weight;
        if drawn < 0.0 {
            break;
        }
    }
    scenario
        .kind
        .iter()
        .position(|kind| kind.name == *chosen)
        .unwrap_or_default()
}
