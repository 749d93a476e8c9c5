//! How busy the slots of each service were over time.

use std::collections::BTreeMap;

use tallybridge_core::ServiceName;

use super::History;

/// Length of a window, in microseconds.
const WINDOW_US: u64 = 100_000;

/// Windows before and after a time that are looked at.
const AROUND_WINDOWS: u64 = 5;

/// Slot time held at each service, by window.
#[derive(Debug)]
pub struct BusySlots {
    held_us: BTreeMap<ServiceName, BTreeMap<u64, u64>>,
    slots: BTreeMap<ServiceName, f64>,
}

impl BusySlots {
    /// The slots held in a history. Calls whose end was not written down are left out.
    #[must_use]
    pub fn new(history: &History) -> Self {
        let mut held_us: BTreeMap<ServiceName, BTreeMap<u64, u64>> = BTreeMap::new();
        for execution in &history.executions {
            let (Some(from), Some(to)) = (execution.started_us, execution.ended_us) else {
                continue;
            };
            let Some((service, _)) = execution.backend.rsplit_once('-') else {
                continue;
            };
            let windows = held_us.entry(service.into()).or_default();
            hold(windows, from, to);
        }
        let slots = history
            .scenario
            .service
            .iter()
            .map(|service| {
                let slots = service.slots * service.backends;
                (service.name.clone(), slots as f64)
            })
            .collect();
        Self { held_us, slots }
    }

    /// Share of a service's slots that were held around a time.
    #[must_use]
    pub fn share(&self, service: &ServiceName, at_us: u64) -> f64 {
        let (Some(windows), Some(slots)) = (self.held_us.get(service), self.slots.get(service))
        else {
            return 0.0;
        };
        let window = at_us / WINDOW_US;
        let from = window.saturating_sub(AROUND_WINDOWS);
        let to = window + AROUND_WINDOWS;
        let held_us: u64 = windows.range(from..=to).map(|(_, held_us)| held_us).sum();
        held_us as f64 / (slots * ((to - from + 1) * WINDOW_US) as f64)
    }
}

/// Adds the time from `from` to `to` to the windows it lies in.
fn hold(windows: &mut BTreeMap<u64, u64>, from: u64, to: u64) {
    let mut at = from;
    while at < to {
        let window = at / WINDOW_US;
        let end = to.min((window + 1) * WINDOW_US);
        *windows.entry(window).or_default() += end - at;
        at = end;
    }
}
