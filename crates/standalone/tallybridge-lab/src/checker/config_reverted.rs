//! Accepted configuration is in force at every entry within seconds and never goes back.
//!
//! The revision by which an entry treated a probe is read from the time that the back end was
//! given: each revision of the lab gives the probe's template a longer deadline.

use std::collections::BTreeMap;

use super::{Guarantee, History, Violation};
use crate::{
    fault::operator::{DEADLINE_STEP_MS, probe_template},
    load::FIRST_PROBE,
};

/// How long an accepted revision may take to be in force everywhere, in microseconds.
pub const IN_FORCE_US: u64 = 10_000_000;

/// A revision seen in force at an entry.
struct Sighting {
    request: u64,
    entry: u64,
    at_us: u64,
    revision: u64,
}

/// Finds entries that went back to an older revision, or were late with a new one.
pub fn check(history: &History) -> Vec<Violation> {
    let Some(template) = probe_template(&history.scenario) else {
        return Vec::new();
    };
    let first_deadline_ms = u64::from(template.deadline_ms);
    let mut greatest: BTreeMap<u64, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for sighting in sightings(history, first_deadline_ms) {
        let seen = greatest.entry(sighting.entry).or_default();
        if sighting.revision < *seen {
            violations.push(violation(&sighting, "went back from", *seen));
        }
        *seen = sighting.revision.max(*seen);
        let due = due_revision(history, sighting.at_us);
        if sighting.revision < due {
            violations.push(violation(&sighting, "was late with", due));
        }
    }
    violations
}

fn sightings(history: &History, first_deadline_ms: u64) -> impl Iterator<Item = Sighting> {
    let entries = history.entries as u64;
    history
        .executions
        .iter()
        .filter(|execution| execution.place.request >= FIRST_PROBE && !execution.token.is_empty())
        .map(move |execution| {
            let above_first_ms = execution.timeout_ms.saturating_sub(first_deadline_ms);
            Sighting {
                request: execution.place.request,
                entry: (execution.place.request - FIRST_PROBE) % entries,
                at_us: execution.arrived_us,
                revision: 1 + above_first_ms.div_ceil(u64::from(DEADLINE_STEP_MS)),
            }
        })
}

/// The revision that must be in force at a time.
fn due_revision(history: &History, at_us: u64) -> u64 {
    history
        .faults
        .accepted
        .iter()
        .filter(|accepted| accepted.accepted_us + IN_FORCE_US < at_us)
        .map(|accepted| accepted.revision.0)
        .max()
        .unwrap_or_default()
}

fn violation(sighting: &Sighting, how: &str, other: u64) -> Violation {
    Violation::of_request(
        Guarantee::ConfigReverted,
        sighting.request,
        format!(
            "entry {} {how} revision {other}: it treated a call by revision {}",
            sighting.entry, sighting.revision
        ),
    )
}
