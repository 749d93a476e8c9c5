//! A simulated node with its back end, and the counts of requests.

use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tallybridge_core::Criticality;
use tallybridge_mesh::{
    PolicySettings, Route,
    protocol::{BackendState, PeerStatus, SlotTimes},
    tables::{
        AdmissionControl, NestedEnd, Parent, RunningAttempts, ServiceLoads,
        backend::slots::{BackendSlots, NoSlot, Slot},
    },
};
use tokio::time::Instant;

use super::{CallResult, ChainPlan, rank};

#[derive(Debug)]
struct NodeState {
    admission: AdmissionControl,
    running: RunningAttempts,
    called_services: HashSet<usize>,
    is_present: bool,
    /// Start of the back end's warm-up, from which it accepts calls.
    ready_at: Instant,
    speed: f64,
    slowdown: f64,
}

/// A node and its back end.
#[derive(Debug)]
pub struct ChainNode {
    pub service: usize,
    slots: u32,
    backend_slots: BackendSlots,
    warm_up: Duration,
    state: Mutex<NodeState>,
}

impl ChainNode {
    /// Creates all nodes of a plan in their initial state.
    pub fn from_plan(plan: &ChainPlan) -> Vec<Arc<Self>> {
        let services = plan.services.iter().enumerate();
        let backends = services.flat_map(|(index, service)| {
            let backends = service.speeds.iter().enumerate();
            backends.map(move |(position, speed)| (index, service, position, *speed))
        });
        backends
            .map(|(index, service, position, speed)| {
                let backend_slots = BackendSlots::default();
                backend_slots.set_slots(service.slots);
                Arc::new(Self {
                    service: index,
                    slots: service.slots,
                    backend_slots,
                    warm_up: plan.warm_up,
                    state: Mutex::new(NodeState {
                        admission: AdmissionControl::with_first_credit(
                            PolicySettings::default(),
                            0.0,
                        ),
                        running: RunningAttempts::default(),
                        called_services: HashSet::new(),
                        is_present: position < service.available,
                        ready_at: Instant::now(),
                        speed,
                        slowdown: service.slowdown,
                    }),
                })
            })
            .collect()
    }

    /// Returns the node after a restart: without its state, but with the same back end.
    pub fn restarted(&self) -> Self {
        let backend_slots = BackendSlots::default();
        backend_slots.set_slots(self.slots);
        let state = self.state();
        Self {
            service: self.service,
            slots: self.slots,
            backend_slots,
            warm_up: self.warm_up,
            state: Mutex::new(NodeState {
                admission: AdmissionControl::with_first_credit(PolicySettings::default(), 0.0),
                running: RunningAttempts::default(),
                called_services: HashSet::new(),
                ..*state
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, NodeState> {
        self.state.lock().unwrap()
    }

    pub fn remove(&self) {
        self.state().is_present = false;
    }

    pub fn set_slowdown(&self, factor: f64) {
        self.state().slowdown = factor;
    }

    pub fn delay_start(&self, delay: Duration) {
        self.state().ready_at += delay;
    }

    pub fn accepts_calls(&self) -> bool {
        let state = self.state();
        state.is_present && Instant::now() >= state.ready_at
    }

    pub fn utilization(&self) -> f64 {
        self.backend_slots.load().utilization(0)
    }

    /// Returns the time that `work` takes at the current speed.
    pub fn work_time(&self, work: Duration) -> Duration {
        let state = self.state();
        let warm_up_factor = match state.ready_at.elapsed() < self.warm_up {
            true => 2.0,
            false => 1.0,
        };
        work.mul_f64(warm_up_factor * state.slowdown / state.speed)
    }

    pub async fn acquire_slot(
        &self,
        criticality: Criticality,
        wait_until: Instant,
    ) -> Result<Slot, NoSlot> {
        self.backend_slots.acquire(criticality, wait_until).await
    }

    pub fn status(&self, plan: &ChainPlan) -> PeerStatus {
        let accepts_calls = self.accepts_calls();
        let state = self.state();
        PeerStatus {
            backend: match accepts_calls {
                true => BackendState::Ready,
                false => BackendState::Unavailable,
            },
            load: self.backend_slots.load(),
            called_services: state
                .called_services
                .iter()
                .map(|service| plan.services[*service].name.clone())
                .collect(),
            ..PeerStatus::default()
        }
    }

    pub fn tick(&self, loads: &ServiceLoads) {
        self.backend_slots.tick();
        self.state().admission.adapt(loads);
    }

    pub fn admits(&self, route: &Route, service: &Arc<str>) -> bool {
        self.state().admission.admits(route, service, rank())
    }

    pub fn record_answer(&self, route: &Route, is_success: bool, times: &SlotTimes) {
        self.state()
            .admission
            .record_answer(route, rank(), is_success, times);
    }

    pub fn record_no_answer(&self, route: &Route) {
        self.state().admission.record_unanswered(route, rank());
    }

    pub fn begin_call(&self, name: &str, parent: Parent) -> RunningCall<'_> {
        let name = Bytes::copy_from_slice(name.as_bytes());
        self.state().running.begin(&name, parent);
        RunningCall { node: self, name }
    }

    pub fn begin_nested(&self, parent: &str, service: usize) {
        let parent = Bytes::copy_from_slice(parent.as_bytes());
        let mut state = self.state();
        state.running.begin_nested(&parent);
        state.called_services.insert(service);
    }

    /// Records the end of a nested call to `service`. A refused call counts as `min_time` of slot time.
    pub fn end_nested(
        &self,
        parent: &str,
        result: &CallResult,
        service: &Arc<str>,
        min_time: Duration,
    ) {
        let parent = Bytes::copy_from_slice(parent.as_bytes());
        let end = match result {
            CallResult::Answered {
                is_success: true,
                times,
            } => NestedEnd::Succeeded(times.clone()),
            CallResult::Answered {
                is_success: false,
                times,
            } => NestedEnd::Failed(times.clone()),
            CallResult::Refused => {
                let mut times = SlotTimes::default();
                times.add(service, min_time);
                NestedEnd::Failed(times)
            }
        };
        self.state().running.end_nested(&parent, &end);
    }

    /// Returns the mean time that a call runs at the back end.
    pub fn call_time(&self) -> Duration {
        Duration::from_millis(self.backend_slots.load().service_ms.into())
    }
}

/// A call that runs at a back end until dropped.
pub struct RunningCall<'a> {
    node: &'a ChainNode,
    name: Bytes,
}

impl RunningCall<'_> {
    /// Returns the slot times of the call and its nested calls; `held` is the call's own.
    pub fn slot_times(&self, own_service: &Arc<str>, held: Duration) -> SlotTimes {
        let mut times = self.node.state().running.nested_slot_times(&self.name);
        times.add(own_service, held);
        times
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.node.state().running.end(&self.name);
    }
}

#[derive(Debug, Default)]
struct RouteTally {
    arrived: AtomicUsize,
    served: AtomicUsize,
    failed: AtomicUsize,
    refused: AtomicUsize,
}

/// Running counts of requests, by route.
#[derive(Debug)]
pub struct Tally {
    routes: Vec<RouteTally>,
}

impl Tally {
    pub fn new(routes: usize) -> Self {
        Self {
            routes: (0..routes).map(|_| RouteTally::default()).collect(),
        }
    }

    /// Counts a new request and returns the number of earlier ones.
    pub fn record_arrival(&self, route: usize) -> usize {
        self.routes[route].arrived.fetch_add(1, Ordering::Relaxed)
    }

    pub fn record_end(&self, route: usize, is_success: bool) {
        let tally = &self.routes[route];
        let count = if is_success {
            &tally.served
        } else {
            &tally.failed
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    pub fn record_refusal(&self, route: usize) {
        self.routes[route].refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a number that is unique among all requests.
    pub fn next_id(&self) -> usize {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        NEXT.fetch_add(1, Ordering::Relaxed)
    }

    pub fn counts(&self, plan: &ChainPlan) -> Counts {
        let get = |count: &AtomicUsize| count.load(Ordering::Relaxed);
        let routes = plan.demands.iter().zip(&self.routes);
        Counts(
            routes
                .map(|(demand, tally)| RouteCounts {
                    name: demand.name,
                    came: get(&tally.arrived),
                    served: get(&tally.served),
                    failed: get(&tally.failed),
                    refused: get(&tally.refused),
                })
                .collect(),
        )
    }
}

/// Counts of the requests of one route. Digests in `decisions.rs` include the field names.
#[derive(Debug, Clone)]
pub struct RouteCounts {
    pub name: &'static str,
    pub came: usize,
    pub served: usize,
    pub failed: usize,
    pub refused: usize,
}

/// Counts of the requests in one run, by route.
#[derive(Debug, Clone)]
pub struct Counts(pub Vec<RouteCounts>);

impl Counts {
    /// Returns the share of all requests that were served.
    pub fn served_share(&self) -> f64 {
        let served: usize = self.0.iter().map(|route| route.served).sum();
        let arrived: usize = self.0.iter().map(|route| route.came).sum();
        served as f64 / arrived as f64
    }

    /// Returns the share of one route's requests that were served.
    pub fn served_share_of(&self, route: usize) -> f64 {
        self.0[route].served as f64 / self.0[route].came as f64
    }
}
