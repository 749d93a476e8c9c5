//! Measures of one policy over all its rounds.

use tallybridge_core::Criticality;

use super::{
    AddedLatency, Ideal, ViolationCounts,
    recovery::{recovery_seconds, strain_start_seconds},
};
use crate::{
    checker::CheckResult,
    load::{ProbeRecord, RequestRecord},
    policy::Policy,
    scenario::Scenario,
};

/// Requests of one class or of all.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Counts {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests answered whole and right, in time.
    pub answered_whole: u64,
    /// Requests that the ideal serves.
    pub ideal: f64,
}

impl Counts {
    /// Answered requests against the ideal; 1 when the ideal serves none.
    #[must_use]
    pub fn ratio_to_ideal(&self) -> f64 {
        if self.ideal > 0.0 {
            self.answered_whole as f64 / self.ideal
        } else {
            1.0
        }
    }
}

/// Measures of one policy over all its rounds.
#[derive(Debug, Clone)]
pub struct PolicyMeasure {
    /// The policy.
    pub policy: Policy,
    /// All requests.
    pub all: Counts,
    /// Requests of the most critical class.
    pub critical: Counts,
    /// Recovery time of each round, in seconds; absent: not recovered.
    pub recovery_seconds: Vec<Option<f64>>,
    /// Added latency.
    pub added_latency: AddedLatency,
    /// Most executions of one call of one request.
    pub attempts_max: u64,
    /// What the templates allow for that.
    pub attempts_bound: u64,
    /// Violations found.
    pub violations: ViolationCounts,
}

impl PolicyMeasure {
    /// Measures of a policy without rounds.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            all: Counts::default(),
            critical: Counts::default(),
            recovery_seconds: Vec::new(),
            added_latency: AddedLatency::default(),
            attempts_max: 0,
            attempts_bound: 0,
            violations: ViolationCounts::default(),
        }
    }

    /// Adds a round.
    pub fn add(
        &mut self,
        scenario: &Scenario,
        ideal: &Ideal,
        requests: &[RequestRecord],
        probes: &[ProbeRecord],
        check: &CheckResult,
    ) {
        let document = scenario.document();
        let is_critical: Vec<bool> = scenario
            .kind
            .iter()
            .map(|kind| {
                scenario.criticality(&document, kind, &scenario.tenants[0])
                    == Criticality::CriticalPlus
            })
            .collect();
        for request in requests {
            let answered = u64::from(request.is_answered_whole());
            self.all.offered += 1;
            self.all.answered_whole += answered;
            if is_critical[request.kind] {
                self.critical.offered += 1;
                self.critical.answered_whole += answered;
            }
        }
        self.all.ideal += ideal.served();
        self.critical.ideal += ideal.served_critical();
        self.recovery_seconds
            .push(recovery_seconds(scenario, requests));
        let until_us = strain_start_seconds(scenario) * 1_000_000.0;
        self.added_latency.add(probes, until_us as u64);
        self.attempts_max = self.attempts_max.max(check.attempts_max);
        self.attempts_bound = self.attempts_bound.max(check.attempts_bound);
        self.violations.add(&check.violations);
    }

    /// The worst recovery time of all rounds; absent when a round did not recover.
    #[must_use]
    pub fn worst_recovery_seconds(&self) -> Option<f64> {
        self.recovery_seconds
            .iter()
            .copied()
            .try_fold(0.0, |worst: f64, round| round.map(|round| worst.max(round)))
    }
}
