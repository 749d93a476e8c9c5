//! The table that a run ends with, for people.

use super::{PolicySummary, Summary};

/// Prints the summary as a table.
pub fn print_table(summary: &Summary) {
    println!(
        "\n{}, seed {}, {} node processes",
        summary.scenario, summary.seed, summary.node_processes
    );
    println!(
        "{:<12} {:>8} {:>9} {:>8} {:>9} {:>10} {:>22} {:>9} {:>10}",
        "policy",
        "offered",
        "answered",
        "to ideal",
        "critical",
        "recovery",
        "added ms p50/p99/p999",
        "attempts",
        "violations"
    );
    for policy in &summary.policies {
        print_row(policy);
    }
}

fn print_row(policy: &PolicySummary) {
    let recovery = policy
        .recovery_seconds
        .map_or("never".to_owned(), |seconds| format!("{seconds:.1} s"));
    let latency = &policy.added_latency_ms;
    let added = [latency.p50, latency.p99, latency.p999]
        .map(|value| value.map_or("-".to_owned(), |value| format!("{value:.2}")))
        .join("/");
    println!(
        "{:<12} {:>8} {:>9} {:>8.3} {:>9.3} {:>10} {:>22} {:>9} {:>10}",
        policy.name,
        policy.offered,
        policy.answered_whole,
        policy.goodput_ratio_to_ideal,
        policy.critical_goodput_ratio,
        recovery,
        added,
        format!("{}/{}", policy.attempts_max, policy.attempts_bound),
        policy.violations.total(),
    );
}
