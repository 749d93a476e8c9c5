//! One run of a scenario: rounds of each policy over the same arrivals.

mod options;
mod round;

use std::sync::Arc;

pub use options::RunOptions;
pub use round::{Round, RunError};

use crate::{
    checker::{self, CheckResult},
    load::arrivals,
    measure::{Ideal, PolicyMeasure, PolicySummary, Summary},
    policy::Policy,
    report::RoundSeries,
    scenario::Scenario,
};

/// Violations whose histories are printed for each round.
const PRINTED_VIOLATIONS: usize = 5;

/// What a run brought.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// Measures of each policy.
    pub summary: Summary,
    /// Each round over time.
    pub rounds: Vec<RoundSeries>,
}

/// Runs all rounds.
///
/// # Errors
///
/// [`RunError`] when a deployment doesn't start or its records can't be read.
pub async fn run(scenario: Arc<Scenario>, options: &RunOptions) -> Result<RunResult, RunError> {
    let arrivals = arrivals(&scenario, options.seed);
    let ideal = Ideal::new(&scenario, &arrivals);
    let mut measures: Vec<PolicyMeasure> = options
        .policies
        .iter()
        .map(|policy| PolicyMeasure::new(*policy))
        .collect();
    let mut rounds = Vec::new();
    for round in 0..options.rounds {
        for index in order(measures.len(), round) {
            let measure = &mut measures[index];
            let outcome = Round {
                scenario: Arc::clone(&scenario),
                policy: measure.policy,
                number: round,
                keep_files: options.keep_files.clone(),
            }
            .run(&arrivals)
            .await?;
            let result = checker::check(&outcome.history);
            rounds.push(RoundSeries::new(measure.policy, round, &outcome.history));
            print_violations(measure.policy, &outcome.history, &result);
            measure.add(
                &scenario,
                &ideal,
                &outcome.history.requests,
                &outcome.probes,
                &result,
            );
        }
    }
    let summary = Summary {
        scenario: scenario.name.clone(),
        seed: options.seed,
        node_processes: scenario.backend_count(),
        policies: measures.iter().map(PolicySummary::from).collect(),
    };
    Ok(RunResult { summary, rounds })
}

/// Order of the policies in a round: turned round every other time, so that what changes on the
/// machine in the meantime falls on all alike.
fn order(policies: usize, round: usize) -> Vec<usize> {
    let mut order: Vec<_> = (0..policies).collect();
    if round % 2 == 1 {
        order.reverse();
    }
    order
}

/// Prints the histories of the first violations. Those of a baseline are expected and only counted.
fn print_violations(policy: Policy, history: &checker::History, result: &CheckResult) {
    if policy != Policy::Tallybridge {
        return;
    }
    for violation in result.violations.iter().take(PRINTED_VIOLATIONS) {
        eprintln!(
            "violation of {:?}: {}",
            violation.guarantee, violation.detail
        );
        for line in violation
            .request
            .into_iter()
            .flat_map(|request| history.lines_of(request))
        {
            eprintln!("    {line}");
        }
    }
    let more = result.violations.len().saturating_sub(PRINTED_VIOLATIONS);
    if more > 0 {
        eprintln!("and {more} more violations");
    }
}
