//! The choice of an executor where many entries send calls to each.
//!
//! An entry learns how busy an executor is from the answers to its own calls and from load reports.
//! With many entries that news is older than a call takes, and all of them have about the same: if
//! each chose the least busy executor, all would choose the same one. So an entry spreads its calls
//! over the executors at random, by how many each completes, which changes slowly. The figures are in
//! docs/PLATFORM.md, the simulation in `tests/choice_with_old_news.rs`.

use rand::Rng;

use super::choose::Candidate;

/// How much more may speak against an executor than against the best one, in utilization. Those that
/// are lost, suspect, leaving or fail many calls are well above that.
const TOLERATED: f64 = 0.5;
/// Bounds of the speed of an executor beside the usual one, so that one which has had hardly any call
/// neither draws all calls nor loses them.
const MIN_SPEED: f64 = 0.25;
const MAX_SPEED: f64 = 2.0;
/// Utilization, calls that wait included, from which an executor gets fewer calls than it usually
/// completes. It is far above what old news shows of one that keeps up, so that entries don't all
/// turn away from it and back at the same time.
const BUSY: f64 = 1.2;
/// Utilization from which it gets hardly any: it does not complete what it usually does.
const STUCK: f64 = 3.0;
/// Part of its calls that such an executor still gets.
const LEAST_PART: f64 = 0.05;
/// Utilization of the own zone from which calls go to others, at first few.
const HOME_BUSY: f64 = 0.7;
/// Difference of the utilization between the own zone and the others in which the part of the calls
/// that goes to others grows from none to all that may.
const ZONE_RAMP: f64 = 0.4;

/// Chooses among executors at random: the own zone first, and in a zone by what each completes.
pub(super) fn choose_by_capacity(
    mut candidates: Vec<Candidate>,
    random: &mut impl Rng,
) -> Option<Candidate> {
    let penalties = candidates.iter().map(|candidate| candidate.penalty);
    let least = penalties.min_by(f64::total_cmp)?;
    candidates.retain(|candidate| candidate.penalty <= least + TOLERATED);
    let usual = usual_service_ms(&candidates);
    let (home, away): (Vec<_>, Vec<_>) = candidates
        .into_iter()
        .partition(|candidate| candidate.is_home);
    let goes_away = random.random_bool(away_part(&home, &away));
    let group = if goes_away { away } else { home };
    choose_weighted(group, usual, random)
}

/// The time that calls take at the executor in the middle; 1 ms while none is known.
fn usual_service_ms(candidates: &[Candidate]) -> f64 {
    let times = candidates.iter().map(|candidate| candidate.load.service_ms);
    let mut times: Vec<u16> = times.filter(|time| *time > 0).collect();
    times.sort_unstable();
    let middle = times.get(times.len() / 2).copied();
    f64::from(middle.unwrap_or(1))
}

/// The part of the calls that leaves the own zone.
fn away_part(home: &[Candidate], away: &[Candidate]) -> f64 {
    if home.is_empty() {
        return 1.0;
    }
    if away.is_empty() {
        return 0.0;
    }
    let home = utilization(home);
    let busy = ((home - HOME_BUSY) / (1.0 - HOME_BUSY)).clamp(0.0, 1.0);
    let busier = (0.5 + (home - utilization(away)) / ZONE_RAMP).clamp(0.0, 1.0);
    busy * busier
}

/// The calls at executors as a part of what they take together.
fn utilization(candidates: &[Candidate]) -> f64 {
    let limit = |candidate: &Candidate| f64::from(candidate.load.limit);
    let calls = |candidate: &Candidate| candidate.utilization() * limit(candidate);
    let limits: f64 = candidates.iter().map(limit).sum();
    candidates.iter().map(calls).sum::<f64>() / limits.max(1.0)
}

/// What an executor completes beside others, less where it is too busy to.
fn weight(candidate: &Candidate, usual_service_ms: f64) -> f64 {
    let speed = match candidate.load.service_ms {
        0 => 1.0,
        service_ms => (usual_service_ms / f64::from(service_ms)).clamp(MIN_SPEED, MAX_SPEED),
    };
    let room = (STUCK - candidate.utilization()) / (STUCK - BUSY);
    f64::from(candidate.load.limit.max(1)) * speed * room.clamp(LEAST_PART, 1.0)
}

fn choose_weighted(
    mut group: Vec<Candidate>,
    usual_service_ms: f64,
    random: &mut impl Rng,
) -> Option<Candidate> {
    let weights = group
        .iter()
        .map(|candidate| weight(candidate, usual_service_ms));
    let weights: Vec<f64> = weights.collect();
    let mut left = random.random_range(0.0..1.0) * weights.iter().sum::<f64>();
    let chosen = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    // Rounding may leave a little after the last one.
    let chosen = chosen.or(group.len().checked_sub(1))?;
    Some(group.swap_remove(chosen))
}
