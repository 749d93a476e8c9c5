//! Ideal goodput: what perfect control would serve of the same arrivals, critical first.
//!
//! A fluid model in windows of one second. A call holds a slot for its own mean service time and
//! for its nested calls. Work that is not served in its window waits as long as its caller does.

use std::{cmp::Reverse, collections::BTreeMap};

use tallybridge_core::{Criticality, ServiceName};

use crate::{
    load::Arrival,
    scenario::{Endpoint, FaultAction, Scenario},
};

/// Length of a window, in seconds.
pub const WINDOW_SECONDS: f64 = 1.0;

/// What the ideal serves of the arrivals of one window.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct IdealWindow {
    /// Requests served.
    pub served: f64,
    /// Requests of the most critical class served.
    pub served_critical: f64,
}

/// What the ideal serves.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Ideal {
    /// By window in which the work is served.
    pub windows: Vec<IdealWindow>,
}

/// Requests of one kind that wait, by the window of their arrival.
type Backlog = BTreeMap<usize, f64>;

struct Model<'a> {
    scenario: &'a Scenario,
    /// Indices of the kinds, most critical first.
    order: Vec<usize>,
    criticality: Vec<Criticality>,
    backlog: Vec<Backlog>,
}

impl Ideal {
    /// The ideal for these arrivals.
    #[must_use]
    pub fn new(scenario: &Scenario, arrivals: &[Arrival]) -> Self {
        let mut model = Model::new(scenario);
        let count = (scenario.seconds() / WINDOW_SECONDS).ceil() as usize;
        let mut arrived = vec![vec![0.0; scenario.kind.len()]; count];
        for arrival in arrivals {
            let window = (arrival.at.as_secs_f64() / WINDOW_SECONDS) as usize;
            arrived[window.min(count - 1)][arrival.kind] += 1.0;
        }
        let windows = arrived
            .iter()
            .enumerate()
            .map(|(window, arrived)| model.serve(window, arrived))
            .collect();
        Self { windows }
    }

    /// Requests served in all.
    #[must_use]
    pub fn served(&self) -> f64 {
        self.windows.iter().map(|window| window.served).sum()
    }

    /// Requests of the most critical class served in all.
    #[must_use]
    pub fn served_critical(&self) -> f64 {
        self.windows
            .iter()
            .map(|window| window.served_critical)
            .sum()
    }
}

impl<'a> Model<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let document = scenario.document();
        let tenant = &scenario.tenants[0];
        let criticality: Vec<_> = scenario
            .kind
            .iter()
            .map(|kind| scenario.criticality(&document, kind, tenant))
            .collect();
        let mut order: Vec<_> = (0..scenario.kind.len()).collect();
        let slot_seconds = |kind: usize| {
            let demand = demand(scenario, kind, &BTreeMap::new());
            demand.values().sum::<f64>()
        };
        order.sort_by(|&left, &right| {
            Reverse(criticality[left])
                .cmp(&Reverse(criticality[right]))
                .then(slot_seconds(left).total_cmp(&slot_seconds(right)))
        });
        Self {
            scenario,
            order,
            criticality,
            backlog: vec![Backlog::new(); scenario.kind.len()],
        }
    }

    fn serve(&mut self, window: usize, arrived: &[f64]) -> IdealWindow {
        let slowdowns = slowdowns(self.scenario, window);
        let mut free = capacities(self.scenario, window);
        let mut served = IdealWindow::default();
        for kind in self.order.clone() {
            let patience = self.scenario.kind[kind].patience_ms as f64 / 1_000.0;
            let oldest = window.saturating_sub((patience / WINDOW_SECONDS) as usize);
            let backlog = &mut self.backlog[kind];
            backlog.insert(window, arrived[kind]);
            backlog.retain(|arrival, _| *arrival >= oldest);
            let waiting: f64 = backlog.values().sum();
            let demand = demand(self.scenario, kind, &slowdowns);
            let share = take(&mut free, &demand, waiting);
            serve_oldest(backlog, share);
            served.served += share;
            if self.criticality[kind] == Criticality::CriticalPlus {
                served.served_critical += share;
            }
        }
        served
    }
}

/// Takes slots for as many of the waiting requests as there is room for.
fn take(
    free: &mut BTreeMap<ServiceName, f64>,
    demand: &BTreeMap<ServiceName, f64>,
    waiting: f64,
) -> f64 {
    let room = |(service, seconds): (&ServiceName, &f64)| {
        let free = free.get(service).copied().unwrap_or_default();
        if *seconds > 0.0 {
            free / seconds
        } else {
            f64::INFINITY
        }
    };
    let served = demand.iter().map(room).fold(waiting, f64::min);
    for (service, seconds) in demand {
        if let Some(free) = free.get_mut(service) {
            *free -= served * seconds;
        }
    }
    served
}

fn serve_oldest(backlog: &mut Backlog, mut served: f64) {
    for waiting in backlog.values_mut() {
        let taken = waiting.min(served);
        *waiting -= taken;
        served -= taken;
    }
}

/// Slot-seconds that one request of a kind takes at each service.
fn demand(
    scenario: &Scenario,
    kind: usize,
    slowdowns: &BTreeMap<ServiceName, f64>,
) -> BTreeMap<ServiceName, f64> {
    let kind = &scenario.kind[kind];
    let mut demand = BTreeMap::new();
    hold(scenario, &kind.service, &kind.path, slowdowns, &mut demand);
    demand
}

/// Adds what one call holds, its nested calls included; gives its length in seconds.
fn hold(
    scenario: &Scenario,
    service: &ServiceName,
    path: &str,
    slowdowns: &BTreeMap<ServiceName, f64>,
    demand: &mut BTreeMap<ServiceName, f64>,
) -> f64 {
    let endpoint: Option<&Endpoint> = scenario
        .service(service)
        .and_then(|service| service.endpoint(path));
    let Some(endpoint) = endpoint else { return 0.0 };
    let slowdown = slowdowns.get(service).copied().unwrap_or(1.0);
    let mut seconds = endpoint.service_time.mean_ms * slowdown / 1_000.0;
    for call in &endpoint.calls {
        seconds += hold(scenario, &call.service, &call.path, slowdowns, demand);
    }
    if endpoint.takes_slot {
        *demand.entry(service.clone()).or_default() += seconds;
    }
    seconds
}

/// Share of a window during which a fault lasts.
fn overlap(at_seconds: f64, seconds: f64, window: usize) -> f64 {
    let start = window as f64 * WINDOW_SECONDS;
    let end = start + WINDOW_SECONDS;
    let overlap = (at_seconds + seconds).min(end) - at_seconds.max(start);
    overlap.max(0.0) / WINDOW_SECONDS
}

fn slowdowns(scenario: &Scenario, window: usize) -> BTreeMap<ServiceName, f64> {
    let mut slowdowns = BTreeMap::new();
    for fault in &scenario.fault {
        if let FaultAction::Slow { service, factor } = &fault.action {
            let share = overlap(fault.at_seconds, fault.seconds, window);
            let slowdown: &mut f64 = slowdowns.entry(service.as_str().into()).or_insert(1.0);
            *slowdown += (factor - 1.0) * share;
        }
    }
    slowdowns
}

/// Slot-seconds that each service has in a window.
fn capacities(scenario: &Scenario, window: usize) -> BTreeMap<ServiceName, f64> {
    let mut capacities = BTreeMap::new();
    for service in &scenario.service {
        let slot_seconds = service.slots as f64 * WINDOW_SECONDS;
        let lost: f64 = scenario
            .fault
            .iter()
            .filter(|fault| takes_away(&fault.action, service.name.as_str()))
            .map(|fault| overlap(fault.at_seconds, fault.seconds, window))
            .sum();
        let backends = (service.backends as f64 - lost).max(0.0);
        capacities.insert(service.name.clone(), slot_seconds * backends);
    }
    capacities
}

/// Whether a fault takes a back end of the service away.
fn takes_away(action: &FaultAction, service: &str) -> bool {
    let target = match action {
        FaultAction::Kill { target }
        | FaultAction::Freeze { target }
        | FaultAction::FreezeBackend { target }
        | FaultAction::StopNode { target }
        | FaultAction::Drain { target } => target,
        _ => return false,
    };
    target
        .rsplit_once('-')
        .is_some_and(|(name, _)| name == service)
}
