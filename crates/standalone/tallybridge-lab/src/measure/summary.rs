//! The summary of a run, as JSON for programs.

use serde::{Deserialize, Serialize};

use super::PolicyMeasure;
use crate::checker::{Guarantee, Violation};

/// Summary of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Node processes of the deployment.
    pub node_processes: usize,
    /// One entry for each policy.
    pub policies: Vec<PolicySummary>,
}

/// Measures of one policy over all rounds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PolicySummary {
    /// Name.
    pub name: String,
    /// Root requests that arrived.
    pub offered: u64,
    /// Root requests answered whole and right, in time.
    pub answered_whole: u64,
    /// Answered requests against the ideal.
    pub goodput_ratio_to_ideal: f64,
    /// The same for the most critical class.
    pub critical_goodput_ratio: f64,
    /// Worst recovery time; null: did not recover.
    pub recovery_seconds: Option<f64>,
    /// Latency added to a call.
    pub added_latency_ms: AddedLatencySummary,
    /// Most executions of one call of one request.
    pub attempts_max: u64,
    /// What the templates allow for that.
    pub attempts_bound: u64,
    /// Violations found.
    pub violations: ViolationCounts,
}

/// Latency added to a call, in milliseconds; null without probes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AddedLatencySummary {
    /// Median.
    pub p50: Option<f64>,
    /// 99th percentile.
    pub p99: Option<f64>,
    /// 99.9th percentile.
    pub p999: Option<f64>,
}

/// Violations by guarantee.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ViolationCounts {
    /// Executions above the bound of the request's retries.
    pub retry_bound: u64,
    /// Critical requests shed while lesser work was run.
    pub critical_shed_first: u64,
    /// Answers that were not the whole right one.
    pub wrong_answer: u64,
    /// Requests refused as not run that ran.
    pub false_not_run: u64,
    /// Calls that may not be repeated and ran twice.
    pub ran_twice: u64,
    /// Work that reached a leaving back end after the grace time.
    pub work_after_leave: u64,
    /// Requests in flight that a planned stop cut off.
    pub cut_in_flight: u64,
    /// Configuration that went back or was not in force in time.
    pub config_reverted: u64,
}

impl ViolationCounts {
    /// Counts violations.
    pub fn add(&mut self, violations: &[Violation]) {
        for violation in violations {
            *self.of_mut(violation.guarantee) += 1;
        }
    }

    fn of_mut(&mut self, guarantee: Guarantee) -> &mut u64 {
        match guarantee {
            Guarantee::RetryBound => &mut self.retry_bound,
            Guarantee::CriticalShedFirst => &mut self.critical_shed_first,
            Guarantee::WrongAnswer => &mut self.wrong_answer,
            Guarantee::FalseNotRun => &mut self.false_not_run,
            Guarantee::RanTwice => &mut self.ran_twice,
            Guarantee::WorkAfterLeave => &mut self.work_after_leave,
            Guarantee::CutInFlight => &mut self.cut_in_flight,
            Guarantee::ConfigReverted => &mut self.config_reverted,
        }
    }

    /// All violations.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.retry_bound
            + self.critical_shed_first
            + self.wrong_answer
            + self.false_not_run
            + self.ran_twice
            + self.work_after_leave
            + self.cut_in_flight
            + self.config_reverted
    }
}

impl From<&PolicyMeasure> for PolicySummary {
    fn from(measure: &PolicyMeasure) -> Self {
        let latency = &measure.added_latency;
        Self {
            name: measure.policy.name().to_owned(),
            offered: measure.all.offered,
            answered_whole: measure.all.answered_whole,
            goodput_ratio_to_ideal: measure.all.ratio_to_ideal(),
            critical_goodput_ratio: measure.critical.ratio_to_ideal(),
            recovery_seconds: measure.worst_recovery_seconds(),
            added_latency_ms: AddedLatencySummary {
                p50: latency.at_quantile_ms(0.5),
                p99: latency.at_quantile_ms(0.99),
                p999: latency.at_quantile_ms(0.999),
            },
            attempts_max: measure.attempts_max,
            attempts_bound: measure.attempts_bound,
            violations: measure.violations,
        }
    }
}
