//! How long goodput takes to come back after the strain.

use crate::{load::RequestRecord, scenario::Scenario};

/// Length of the windows looked at, in seconds.
const WINDOW_SECONDS: f64 = 0.5;

/// Share of a window's requests that must be answered whole.
const RECOVERED_SHARE: f64 = 0.95;

/// Windows in a row that must be so.
const STEADY_WINDOWS: usize = 6;

/// End of the last strain (phase or fault), in seconds from the start; absent without strain.
#[must_use]
pub fn strain_end_seconds(scenario: &Scenario) -> Option<f64> {
    let mut end = None;
    let mut phase_end = 0.0;
    for phase in &scenario.phase {
        phase_end += phase.seconds;
        if phase.strain {
            end = Some(phase_end);
        }
    }
    let fault_ends = scenario
        .fault
        .iter()
        .map(|fault| fault.at_seconds + fault.seconds);
    end.into_iter().chain(fault_ends).reduce(f64::max)
}

/// Beginning of the first strain, in seconds from the start; the end of the run without strain.
#[must_use]
pub fn strain_start_seconds(scenario: &Scenario) -> f64 {
    let mut start = scenario.seconds();
    let mut phase_start = 0.0_f64;
    for phase in &scenario.phase {
        if phase.strain {
            start = phase_start.min(start);
        }
        phase_start += phase.seconds;
    }
    scenario
        .fault
        .iter()
        .map(|fault| fault.at_seconds)
        .fold(start, f64::min)
}

/// Time from the end of the strain until goodput is steady again; absent when it never is, also
/// because the run ends before it could be.
/// Without strain it is 0.
#[must_use]
pub fn recovery_seconds(scenario: &Scenario, requests: &[RequestRecord]) -> Option<f64> {
    let Some(strain_end) = strain_end_seconds(scenario) else {
        return Some(0.0);
    };
    let count = ((scenario.seconds() - strain_end) / WINDOW_SECONDS).floor() as usize;
    let mut offered = vec![0_u64; count];
    let mut answered = vec![0_u64; count];
    for request in requests {
        let after = request.offset_us as f64 / 1_000_000.0 - strain_end;
        if after < 0.0 {
            continue;
        }
        let window = (after / WINDOW_SECONDS) as usize;
        if window < count {
            offered[window] += 1;
            answered[window] += u64::from(request.is_answered_whole());
        }
    }
    let is_good: Vec<bool> = offered
        .iter()
        .zip(&answered)
        .map(|(offered, answered)| *answered as f64 >= *offered as f64 * RECOVERED_SHARE)
        .collect();
    is_good
        .windows(STEADY_WINDOWS)
        .position(|windows| windows.iter().all(|good| *good))
        .map(|window| window as f64 * WINDOW_SECONDS)
}
