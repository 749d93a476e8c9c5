//! The most critical requests are shed last.
//!
//! A refusal of such a request is justified by one service of its chain that was busy and had no
//! lesser work to give way: around the refusal at least half of its slots were held, and no more
//! than a small share of them went to calls of lesser classes that began then. When no service of
//! the chain was so, there was a free slot, or lesser work to displace, everywhere.

use std::collections::BTreeMap;

use tallybridge_core::{Criticality, Outcome, ServiceName};

use super::{Guarantee, History, Violation, busy_slots::BusySlots};
use crate::load::{RequestRecord, SendEnd};

/// Time before and after a refusal that is looked at, in microseconds.
const AROUND_US: u64 = 500_000;

/// Share of a service's slots that lesser work may have had around a justified refusal.
const LESSER_SHARE: f64 = 0.1;

/// Share of a service's slots that must have been held around a justified refusal; below all of
/// them, because an adaptive limit may rightly lie below the slots.
const BUSY_SHARE: f64 = 0.5;

/// Work of lesser classes that began, by service, in the order of time.
type LesserWork = BTreeMap<ServiceName, Vec<LesserStart>>;

/// One call of a lesser class that began to run.
#[derive(Debug, Clone, Copy)]
struct LesserStart {
    at_us: u64,
    work_us: f64,
}

/// Finds refusals of the most critical requests that were not justified.
pub fn check(history: &History) -> Vec<Violation> {
    let lesser = lesser_work(history);
    let busy = BusySlots::new(history);
    history
        .requests
        .iter()
        .filter(|request| is_most_critical(history, request))
        .filter_map(|request| {
            let refused_us = refused_us(request)?;
            let is_justified = history.chain(request).values().any(|call| {
                lesser_share(history, &lesser, &call.service, refused_us) <= LESSER_SHARE
                    && busy.share(&call.service, refused_us) >= BUSY_SHARE
            });
            (!is_justified).then(|| {
                Violation::of_request(
                    Guarantee::CriticalShedFirst,
                    request.request,
                    "refused while no service of its chain was busy with work as critical"
                        .to_owned(),
                )
            })
        })
        .collect()
}

fn is_most_critical(history: &History, request: &RequestRecord) -> bool {
    history
        .root_policy(request)
        .is_some_and(|policy| policy.criticality == Criticality::CriticalPlus)
}

/// When the caller of a request that was never answered was refused for the last time.
fn refused_us(request: &RequestRecord) -> Option<u64> {
    if request.is_answered_whole() {
        return None;
    }
    request
        .sends
        .iter()
        .rev()
        .find(|send| {
            matches!(
                send.end,
                SendEnd::Refused {
                    outcome: Some(Outcome::NotRun),
                    ..
                } | SendEnd::Refused { status: 503, .. }
            )
        })
        .map(|send| send.ended_us)
}

fn lesser_work(history: &History) -> LesserWork {
    let mut lesser = LesserWork::new();
    for execution in &history.executions {
        let Some(request) = history.request(execution.place.request) else {
            continue;
        };
        let Some(call) = history.chain(request).get(&execution.place.position) else {
            continue;
        };
        if let (Some(at_us), true) = (
            execution.started_us,
            call.criticality < Criticality::CriticalPlus,
        ) {
            let work_us = call.own_ms * 1_000.0;
            lesser
                .entry(call.service.clone())
                .or_default()
                .push(LesserStart { at_us, work_us });
        }
    }
    for starts in lesser.values_mut() {
        starts.sort_by_key(|start| start.at_us);
    }
    lesser
}

fn lesser_share(
    history: &History,
    lesser: &LesserWork,
    service: &ServiceName,
    refused_us: u64,
) -> f64 {
    let Some(starts) = lesser.get(service) else {
        return 0.0;
    };
    let from = starts.partition_point(|start| start.at_us + AROUND_US < refused_us);
    let work_us: f64 = starts[from..]
        .iter()
        .take_while(|start| start.at_us <= refused_us + AROUND_US)
        .map(|start| start.work_us)
        .sum();
    let slots = history
        .scenario
        .service(service)
        .map_or(1, |service| service.slots * service.backends);
    work_us / (slots as f64 * 2.0 * AROUND_US as f64)
}
