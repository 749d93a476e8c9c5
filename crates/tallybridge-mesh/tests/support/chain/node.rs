//! A node, its back end, and what is counted.

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
    Route,
    protocol::{BackendState, PeerStatus, SlotTimes},
    tables::{
        AdmissionControl, NestedEnd, Parent, RunningAttempts, ServiceLoads,
        backend::slots::{BackendSlots, NoSlot, Slot},
    },
};
use tokio::time::Instant;

use super::{ChainPlan, Ended, rank};

#[derive(Debug)]
struct NodeState {
    admission: AdmissionControl,
    running: RunningAttempts,
    called: HashSet<usize>,
    is_there: bool,
    /// When the back end takes work for the first time.
    starts: Instant,
    speed: f64,
    slowed: f64,
}

/// A node with the back end beside it.
#[derive(Debug)]
pub struct ChainNode {
    pub service: usize,
    slots: u32,
    backend_slots: BackendSlots,
    cold: Duration,
    state: Mutex<NodeState>,
}

impl ChainNode {
    /// All nodes of a fleet, as they are when they start.
    pub fn all(plan: &ChainPlan) -> Vec<Arc<Self>> {
        let services = plan.services.iter().enumerate();
        let of_service = services.flat_map(|(index, service)| {
            let backends = service.speeds.iter().enumerate();
            backends.map(move |(place, speed)| (index, service, place, *speed))
        });
        of_service
            .map(|(index, service, place, speed)| {
                let backend_slots = BackendSlots::default();
                backend_slots.set_slots(service.slots);
                Arc::new(Self {
                    service: index,
                    slots: service.slots,
                    backend_slots,
                    cold: plan.cold,
                    state: Mutex::new(NodeState {
                        admission: AdmissionControl::default(),
                        running: RunningAttempts::default(),
                        called: HashSet::new(),
                        is_there: place < service.left,
                        starts: Instant::now(),
                        speed,
                        slowed: service.slowed,
                    }),
                })
            })
            .collect()
    }

    /// The node that starts in the place of this one, beside the same back end.
    pub fn begin_anew(&self) -> Self {
        let backend_slots = BackendSlots::default();
        backend_slots.set_slots(self.slots);
        let state = self.state();
        Self {
            service: self.service,
            slots: self.slots,
            backend_slots,
            cold: self.cold,
            state: Mutex::new(NodeState {
                admission: AdmissionControl::default(),
                running: RunningAttempts::default(),
                called: HashSet::new(),
                ..*state
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, NodeState> {
        self.state.lock().unwrap()
    }

    pub fn remove(&self) {
        self.state().is_there = false;
    }

    pub fn slow(&self, factor: f64) {
        self.state().slowed = factor;
    }

    pub fn starts_late(&self, after: Duration) {
        self.state().starts += after;
    }

    pub fn takes_work(&self) -> bool {
        let state = self.state();
        state.is_there && Instant::now() >= state.starts
    }

    pub fn utilization(&self) -> f64 {
        self.backend_slots.load().utilization(0)
    }

    /// Time that some work takes now.
    pub fn time_of(&self, work: Duration) -> Duration {
        let state = self.state();
        let cold = match state.starts.elapsed() < self.cold {
            true => 2.0,
            false => 1.0,
        };
        work.mul_f64(cold * state.slowed / state.speed)
    }

    pub async fn slot(
        &self,
        criticality: Criticality,
        wait_until: Instant,
    ) -> Result<Slot, NoSlot> {
        self.backend_slots.acquire(criticality, wait_until).await
    }

    /// What the node tells of itself.
    pub fn status(&self, plan: &ChainPlan) -> PeerStatus {
        let takes_work = self.takes_work();
        let state = self.state();
        PeerStatus {
            backend: match takes_work {
                true => BackendState::Ready,
                false => BackendState::Unavailable,
            },
            load: self.backend_slots.load(),
            calls: state
                .called
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

    pub fn answered(&self, route: &Route, well: bool, times: &SlotTimes) {
        self.state()
            .admission
            .record_answer(route, rank(), well, times);
    }

    pub fn unanswered(&self, route: &Route) {
        self.state().admission.record_unanswered(route, rank());
    }

    pub fn begin(&self, name: &str, parent: Parent) -> RunningCall<'_> {
        let name = Bytes::copy_from_slice(name.as_bytes());
        self.state().running.begin(&name, parent);
        RunningCall { node: self, name }
    }

    pub fn nested_begins(&self, parent: &str, service: usize) {
        let parent = Bytes::copy_from_slice(parent.as_bytes());
        let mut state = self.state();
        state.running.begin_nested(&parent);
        state.called.insert(service);
    }

    /// A call of a service ended, which takes so long at the least.
    pub fn nested_ended(&self, parent: &str, ended: &Ended, service: &Arc<str>, least: Duration) {
        let parent = Bytes::copy_from_slice(parent.as_bytes());
        let end = match ended {
            Ended::Answered { well: true, times } => NestedEnd::Succeeded(times.clone()),
            Ended::Answered { well: false, times } => NestedEnd::Failed(times.clone()),
            Ended::Refused => {
                let mut times = SlotTimes::default();
                times.add(service, least);
                NestedEnd::Failed(times)
            }
        };
        self.state().running.end_nested(&parent, &end);
    }

    /// Mean time that calls are with the back end.
    pub fn call_time(&self) -> Duration {
        Duration::from_millis(self.backend_slots.load().service_ms.into())
    }
}

/// A call that runs at a back end.
pub struct RunningCall<'a> {
    node: &'a ChainNode,
    name: Bytes,
}

impl RunningCall<'_> {
    /// What it cost, after it held its slot for some time.
    pub fn times(&self, own_service: &Arc<str>, held: Duration) -> SlotTimes {
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
struct Tallied {
    came: AtomicUsize,
    served: AtomicUsize,
    failed: AtomicUsize,
    refused: AtomicUsize,
}

/// What became of requests, by route.
#[derive(Debug)]
pub struct Tally {
    routes: Vec<Tallied>,
}

impl Tally {
    pub fn new(routes: usize) -> Self {
        Self {
            routes: (0..routes).map(|_| Tallied::default()).collect(),
        }
    }

    /// Counts a request that comes; returns how many came before it.
    pub fn came(&self, route: usize) -> usize {
        self.routes[route].came.fetch_add(1, Ordering::Relaxed)
    }

    pub fn ended(&self, route: usize, well: bool) {
        let tallied = &self.routes[route];
        let count = if well {
            &tallied.served
        } else {
            &tallied.failed
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    pub fn refused(&self, route: usize) {
        self.routes[route].refused.fetch_add(1, Ordering::Relaxed);
    }

    /// A name that no other call has.
    pub fn next_name(&self) -> usize {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        NEXT.fetch_add(1, Ordering::Relaxed)
    }

    pub fn counts(&self, plan: &ChainPlan) -> Counts {
        let get = |count: &AtomicUsize| count.load(Ordering::Relaxed);
        let routes = plan.demands.iter().zip(&self.routes);
        Counts(
            routes
                .map(|(demand, tallied)| RouteCounts {
                    name: demand.name,
                    came: get(&tallied.came),
                    served: get(&tallied.served),
                    failed: get(&tallied.failed),
                    refused: get(&tallied.refused),
                })
                .collect(),
        )
    }
}

/// What became of the requests of one route.
#[derive(Debug, Clone)]
pub struct RouteCounts {
    pub name: &'static str,
    pub came: usize,
    pub served: usize,
    pub failed: usize,
    pub refused: usize,
}

/// What became of the requests of a time, by route.
#[derive(Debug, Clone)]
pub struct Counts(pub Vec<RouteCounts>);

impl Counts {
    /// The share of all requests that was served.
    pub fn share(&self) -> f64 {
        let served: usize = self.0.iter().map(|route| route.served).sum();
        let came: usize = self.0.iter().map(|route| route.came).sum();
        served as f64 / came as f64
    }

    /// The share of one route's requests that was served.
    pub fn share_of(&self, route: usize) -> f64 {
        self.0[route].served as f64 / self.0[route].came as f64
    }
}
