//! Metrics of a node, in the names and units of Prometheus.

use std::time::Duration;

use metrics::{counter, gauge, histogram};
use tallybridge_config::CallPolicy;
use tallybridge_core::Refusal;

use crate::tables::Tables;

/// Calls that entered here and have ended, by template, outcome and error kind.
pub const CALLS: &str = "tallybridge_calls_total";
/// Time from the entry of a call to its end, in seconds, by template.
pub const CALL_SECONDS: &str = "tallybridge_call_seconds";
/// Attempts that the back end beside this node runs now.
pub const EXECUTIONS: &str = "tallybridge_executions";
/// Attempts that it may run at once.
pub const CONCURRENCY_LIMIT: &str = "tallybridge_concurrency_limit";
/// Calls that wait for a slot.
pub const QUEUED: &str = "tallybridge_queued_calls";
/// Configuration revision in force.
pub const REVISION: &str = "tallybridge_configuration_revision";
/// Members that take part in the fleet.
pub const MEMBERS: &str = "tallybridge_members";
/// Whether the back end beside this node takes no new work: 0 or 1.
pub const LEAVING: &str = "tallybridge_leaving";

/// Counts a call that was answered by a back end.
pub fn call_answered(policy: &CallPolicy, duration: Duration) {
    let template = policy.template.to_string();
    counter!(CALLS, "template" => template.clone(), "outcome" => "completed", "error" => "")
        .increment(1);
    histogram!(CALL_SECONDS, "template" => template).record(duration.as_secs_f64());
}

/// Counts a call that was refused; `policy` is `None` when it was refused before it had one.
pub fn call_refused(policy: Option<&CallPolicy>, refusal: &Refusal) {
    let template = policy.map_or_else(String::new, |policy| policy.template.to_string());
    let outcome = refusal.outcome.as_str();
    let error = refusal.kind.name();
    counter!(CALLS, "template" => template, "outcome" => outcome, "error" => error).increment(1);
}

/// Shows what the tables hold.
pub fn show(tables: &Tables) {
    gauge!(EXECUTIONS).set(f64::from(tables.admission.limit.in_flight()));
    gauge!(CONCURRENCY_LIMIT).set(f64::from(tables.admission.limit.limit()));
    gauge!(QUEUED).set(tables.admission.queue.len() as f64);
    gauge!(REVISION).set(tables.configuration.revision().0 as f64);
    let members = tables.members.members();
    let live = members.filter(|record| record.health.is_live()).count();
    gauge!(MEMBERS).set(live as f64);
    gauge!(LEAVING).set(f64::from(u8::from(tables.leaving)));
}
