//! A chain with a deepest service that can do a part of what is asked, in steps of 100 ms.
//!
//! One entry stands for all: they see the same load and decide alike. Requests that are admitted
//! reach the deepest service over the next 0.3 to 0.9 s; it works on what it can, queues up to four
//! times its slots and turns the rest away. A request of which part was turned away is lost, and
//! the work done for it wasted.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use tallybridge_mesh::{
    Route,
    configuration::tenants::TenantRank,
    protocol::{BackendState, Load, PeerStatus, SlotTimes},
    tables::{AdmissionControl, ServiceLoads},
};

use super::route;

const STEP_SECONDS: f64 = 0.1;
/// Steps after its admission in which a request's work arrives, an equal part in each.
const ARRIVES: std::ops::Range<usize> = 3..10;
/// Slots of a back end that is never the bottleneck.
const WIDE: u16 = 10_000;
/// Work that waits at most, as a multiple of what is done in the time of a call.
const QUEUE: f64 = 4.0;
/// Time of one call at the deepest service.
const CALL_SECONDS: f64 = 0.022;

/// Requests of one route.
pub struct Demand {
    route: Route,
    per_second: f64,
    costs: SlotTimes,
}

impl Demand {
    /// Requests of a priority that come so often and cost each service so many milliseconds.
    pub fn new(name: &str, priority: u8, per_second: f64, costs: &[(&str, u64)]) -> Self {
        let mut times = SlotTimes::default();
        for (service, held_ms) in costs {
            times.add(&Arc::from(*service), Duration::from_millis(*held_ms));
        }
        Self {
            route: route(
                name,
                "h",
                &format!("/{name}/"),
                priority,
                &[(costs[0].0, 1)],
            ),
            per_second,
            costs: times,
        }
    }

    /// Slots of a service that all requests would hold.
    pub fn slots(&self, service: &str) -> f64 {
        self.per_second * self.costs.of(service).as_secs_f64()
    }
}

/// What was served in a time.
#[derive(Debug)]
pub struct Served {
    /// The share of each route's requests.
    pub shares: Vec<f64>,
    /// The share of all requests.
    pub of_all: f64,
    /// The part of the deepest service that was at work.
    pub used: f64,
    /// The part of its work that was for requests that were lost.
    pub wasted: f64,
}

/// The chain.
pub struct ChainFleet<'a> {
    demands: &'a [Demand],
    slots: f64,
    admission: AdmissionControl,
    /// Requests admitted by route, the newest first.
    admitted: VecDeque<Vec<f64>>,
    due: Vec<f64>,
    queued: f64,
    offered: f64,
}

impl<'a> ChainFleet<'a> {
    /// A chain whose deepest service has so many slots.
    pub fn new(demands: &'a [Demand], slots: f64) -> Self {
        let mut admission = AdmissionControl::default();
        for demand in demands {
            let service = demand.route.parts[0].service.clone();
            admission.admits(&demand.route, &service, TenantRank::default());
            for _ in 0..10 {
                admission.answered(&demand.route, TenantRank::default(), true, &demand.costs);
            }
        }
        Self {
            demands,
            slots,
            admission,
            admitted: VecDeque::new(),
            due: vec![0.0; demands.len()],
            queued: 0.0,
            offered: 0.0,
        }
    }

    /// Runs for so many steps.
    pub fn run(&mut self, steps: usize) -> Served {
        let mut served = vec![0.0; self.demands.len()];
        let mut worked = 0.0;
        let mut wasted = 0.0;
        for _ in 0..steps {
            self.admit();
            let arriving = self.arriving();
            let work: f64 = self.work_of(&arriving);
            let can_do = self.slots * STEP_SECONDS;
            let room = can_do + self.slots * CALL_SECONDS * QUEUE - self.queued;
            let kept = if work > 0.0 {
                (room / work).clamp(0.0, 1.0)
            } else {
                1.0
            };
            // A request is served if all of its calls were kept; four of them on the way.
            let whole = kept.powi(4);
            for (count, arriving) in served.iter_mut().zip(&arriving) {
                *count += arriving * whole;
            }
            let backlog = self.queued + work * kept;
            let done = backlog.min(can_do);
            self.queued = backlog - done;
            worked += done;
            wasted += done * (1.0 - whole / kept.max(0.01));
            // Arrivals are counted over some 300 ms.
            self.offered += (work / can_do - self.offered) * 0.28;
            self.admission.adapt(&self.loads());
        }
        let seconds = steps as f64 * STEP_SECONDS;
        let came = |demand: &Demand| demand.per_second * seconds;
        let all: f64 = self.demands.iter().map(came).sum();
        let of_route = self.demands.iter().zip(&served);
        Served {
            of_all: served.iter().sum::<f64>() / all,
            shares: of_route
                .map(|(demand, count)| count / came(demand))
                .collect(),
            used: worked / (self.slots * seconds),
            wasted: wasted / worked.max(f64::MIN_POSITIVE),
        }
    }

    fn admit(&mut self) {
        let mut admitted = Vec::new();
        for (demand, due) in self.demands.iter().zip(&mut self.due) {
            *due += demand.per_second * STEP_SECONDS;
            let service = &demand.route.parts[0].service;
            let mut count = 0.0;
            while *due >= 1.0 {
                *due -= 1.0;
                if self
                    .admission
                    .admits(&demand.route, service, TenantRank::default())
                {
                    count += 1.0;
                }
            }
            admitted.push(count);
        }
        self.admitted.push_front(admitted);
        self.admitted.truncate(ARRIVES.end);
    }

    /// Requests by route whose work arrives in this step.
    fn arriving(&self) -> Vec<f64> {
        let steps = ARRIVES.len() as f64;
        let of_route = |index: usize| {
            let earlier = ARRIVES.filter_map(|step| self.admitted.get(step));
            earlier.map(|counts| counts[index]).sum::<f64>() / steps
        };
        (0..self.demands.len()).map(of_route).collect()
    }

    fn work_of(&self, requests: &[f64]) -> f64 {
        let of_route = self.demands.iter().zip(requests);
        of_route
            .map(|(demand, count)| demand.costs.of("deep").as_secs_f64() * count)
            .sum()
    }

    fn loads(&self) -> ServiceLoads {
        let running = self.slots.min(self.offered * self.slots);
        let waiting = self.queued / CALL_SECONDS;
        // Whole numbers stand for a hundredth of a slot, as few slots are left.
        let deep = Load {
            limit: (self.slots * 100.0) as u16,
            in_flight: (running * 100.0) as u16,
            queued: (waiting * 100.0).min(f64::from(u16::MAX)) as u16,
            offered: (self.offered * 100.0) as u16,
            ..Load::default()
        };
        let top = Load {
            limit: WIDE,
            ..Load::default()
        };
        let mut loads = ServiceLoads::default();
        for (service, load, called) in [("top", top, Some("deep")), ("deep", deep, None)] {
            let status = PeerStatus {
                backend: BackendState::Ready,
                load,
                called_services: called.into_iter().map(Arc::from).collect(),
                ..PeerStatus::default()
            };
            loads.add(&Arc::from(service), &status, true);
        }
        loads
    }
}
