//! What a round looked like over time.

use tallybridge_core::Criticality;

use crate::{
    checker::History,
    load::RequestRecord,
    measure::new_histogram,
    policy::Policy,
    scenario::{FaultAction, Scenario},
};

/// Length of a window, in seconds.
pub const WINDOW_SECONDS: f64 = 1.0;

/// One window of one class; requests count in the window of their intended send time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Window {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests answered whole and right.
    pub answered: u64,
    /// Times that callers sent them.
    pub sends: u64,
    /// Calls of their chains that did work.
    pub executions: u64,
    /// Median latency of the answered ones, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the answered ones, in milliseconds.
    pub p99_ms: f64,
}

/// All windows of one class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSeries {
    /// Class.
    pub criticality: Criticality,
    /// Windows, from the start of the first phase.
    pub windows: Vec<Window>,
}

/// A strain or fault, to be marked.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultSpan {
    /// What it was.
    pub label: String,
    /// Its beginning, in seconds.
    pub from: f64,
    /// Its end, in seconds.
    pub to: f64,
}

/// One round over time.
#[derive(Debug, Clone, PartialEq)]
pub struct RoundSeries {
    /// Policy.
    pub policy: Policy,
    /// Number of the round, from 0.
    pub round: usize,
    /// Classes, least critical first; those without requests are left out.
    pub classes: Vec<ClassSeries>,
}

impl RoundSeries {
    /// The series of a round.
    #[must_use]
    pub fn new(policy: Policy, round: usize, history: &History) -> Self {
        let classes = Criticality::ALL
            .into_iter()
            .map(|criticality| class_series(history, criticality))
            .filter(|class| class.windows.iter().any(|window| window.offered > 0))
            .collect();
        Self {
            policy,
            round,
            classes,
        }
    }
}

fn class_series(history: &History, criticality: Criticality) -> ClassSeries {
    let count = (history.scenario.seconds() / WINDOW_SECONDS).ceil() as usize;
    let mut requests: Vec<Vec<&RequestRecord>> = vec![Vec::new(); count];
    for request in &history.requests {
        let is_of_class = history
            .root_policy(request)
            .is_some_and(|policy| policy.criticality == criticality);
        if is_of_class {
            let window = request.offset_us as f64 / 1_000_000.0 / WINDOW_SECONDS;
            requests[(window as usize).min(count - 1)].push(request);
        }
    }
    ClassSeries {
        criticality,
        windows: requests
            .iter()
            .map(|requests| window(history, requests))
            .collect(),
    }
}

fn window(history: &History, requests: &[&RequestRecord]) -> Window {
    let mut latencies = new_histogram();
    let mut window = Window::default();
    for request in requests {
        window.offered += 1;
        window.sends += request.sends.len() as u64;
        window.executions += history
            .executions_of(request.request)
            .filter(|execution| execution.ran())
            .count() as u64;
        if request.is_answered_whole() {
            window.answered += 1;
            latencies.saturating_record(request.latency_us());
        }
    }
    window.p50_ms = latencies.value_at_quantile(0.5) as f64 / 1_000.0;
    window.p99_ms = latencies.value_at_quantile(0.99) as f64 / 1_000.0;
    window
}

impl FaultSpan {
    /// All strains and faults of a scenario.
    #[must_use]
    pub fn of(scenario: &Scenario) -> Vec<Self> {
        let mut spans = Vec::new();
        let mut phase_start = 0.0;
        for phase in &scenario.phase {
            let phase_end = phase_start + phase.seconds;
            if phase.strain {
                spans.push(Self {
                    label: phase.name.clone(),
                    from: phase_start,
                    to: phase_end,
                });
            }
            phase_start = phase_end;
        }
        spans.extend(scenario.fault.iter().map(|fault| Self {
            label: label(&fault.action),
            from: fault.at_seconds,
            to: fault.at_seconds + fault.seconds,
        }));
        spans
    }
}

fn label(action: &FaultAction) -> String {
    let value = serde_json::to_value(action).unwrap_or_default();
    let name = value["action"].as_str().unwrap_or_default().to_owned();
    match value["target"].as_str().or(value["service"].as_str()) {
        Some(target) => format!("{name} {target}"),
        None => name,
    }
}
