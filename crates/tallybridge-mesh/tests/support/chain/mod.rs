//! A simulation, in virtual time, of entries and back ends of a chain of services. It uses the real
//! admission, slots, queues, learned costs and table of running calls.
//!
//! Each back end has a node, and each node is the entry for an equal share of the requests. A call
//! acquires a slot, works, makes its nested calls in turn and fails if one of them fails. Links and
//! their delays, retry budgets and outdated reports are not simulated.

pub mod node;
pub mod plan;

use std::{sync::Arc, time::Duration};

use tallybridge_core::Criticality;
use tallybridge_mesh::{
    Route,
    configuration::tenants::TenantRank,
    protocol::SlotTimes,
    tables::{Parent, ServiceLoads},
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout_at},
};

use self::{
    node::{ChainNode, Counts, Tally},
    plan::{CallPlan, ChainPlan, Demand},
};
use super::route;

/// Time between two rounds of new requests.
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_TICK: u32 = 10;
/// Maximum time that the first call of a request waits for a slot.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(300);
/// Lower bound of the slot time that is assumed for a refused nested call.
const MIN_CALL_TIME: Duration = Duration::from_millis(1);
/// Share of a nested call's timeout that the call may wait for a slot.
const NESTED_WAIT_SHARE: f64 = 0.6;

/// The simulated nodes and back ends, and the requests in progress.
pub struct ChainFleet {
    plan: Arc<ChainPlan>,
    routes: Vec<Arc<Route>>,
    nodes: Arc<Vec<Arc<ChainNode>>>,
    requests: JoinSet<()>,
    pending: Vec<f64>,
    steps: u32,
    tally: Arc<Tally>,
}

impl ChainFleet {
    pub fn new(plan: ChainPlan) -> Self {
        let plan = Arc::new(plan);
        let routes: Vec<Arc<Route>> = plan.demands.iter().map(route_of).collect();
        Self {
            nodes: Arc::new(ChainNode::from_plan(&plan)),
            pending: vec![0.0; routes.len()],
            tally: Arc::new(Tally::new(routes.len())),
            routes,
            plan,
            requests: JoinSet::new(),
            steps: 0,
        }
    }

    /// Restarts all nodes and back ends without their state. Back ends of `delayed_service` accept
    /// calls `delay` after the others.
    pub fn restart_all(&mut self, delayed_service: usize, delay: Duration) {
        self.requests.abort_all();
        self.requests = JoinSet::new();
        self.nodes = Arc::new(ChainNode::from_plan(&self.plan));
        for node in self
            .nodes
            .iter()
            .filter(|node| node.service == delayed_service)
        {
            node.delay_start(delay);
        }
    }

    /// Restarts every `step`-th node, starting at index `first`, without its state. Back ends keep
    /// running.
    pub fn restart_some(&mut self, first: usize, step: usize) {
        let nodes = self.nodes.iter().enumerate();
        let nodes = nodes.map(|(index, node)| match index % step == first {
            true => Arc::new(node.restarted()),
            false => node.clone(),
        });
        self.nodes = Arc::new(nodes.collect());
    }

    /// Makes every entry learn that each route costs only the first service of its chain.
    pub fn learn_only_first_service(&mut self) {
        for node in self.nodes.iter() {
            for (route, demand) in self.routes.iter().zip(&self.plan.demands) {
                let mut times = SlotTimes::default();
                let first_service = &self.plan.services[demand.call.service].name;
                times.add(first_service, demand.call.work);
                for _ in 0..200 {
                    node.record_answer(route, true, &times);
                }
            }
        }
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Removes all back ends of a service except the `backends` slowest ones.
    pub fn keep_backends(&mut self, service: usize, backends: usize) {
        let nodes = self.nodes.iter().filter(|node| node.service == service);
        for node in nodes.skip(backends) {
            node.remove();
        }
        Arc::make_mut(&mut self.plan).services[service].available = backends;
    }

    /// Multiplies the work time of the service's calls by `factor` from now on.
    pub fn slow_down(&mut self, service: usize, factor: f64) {
        for node in self.nodes.iter().filter(|node| node.service == service) {
            node.set_slowdown(factor);
        }
        Arc::make_mut(&mut self.plan).services[service].slowdown = factor;
    }

    /// Runs the simulation for `time` and counts the requests of that time and their outcomes so far.
    pub async fn run(&mut self, time: Duration) -> Counts {
        let tally = Arc::new(Tally::new(self.routes.len()));
        self.tally = tally.clone();
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.send();
            sleep(STEP).await;
            if self.is_tick_due() {
                self.tick();
            }
            while self.requests.try_join_next().is_some() {}
        }
        tally.counts(&self.plan)
    }

    fn is_tick_due(&mut self) -> bool {
        self.steps += 1;
        self.steps.is_multiple_of(STEPS_PER_TICK)
    }

    fn send(&mut self) {
        let seconds = STEP.as_secs_f64();
        for index in 0..self.routes.len() {
            self.pending[index] += self.plan.demands[index].per_second * seconds;
            while self.pending[index] >= 1.0 {
                self.pending[index] -= 1.0;
                let entry = self.tally.record_arrival(index) + index * 5;
                let request = Request {
                    plan: self.plan.clone(),
                    nodes: self.nodes.clone(),
                    entry: entry % self.nodes.len(),
                    route: self.routes[index].clone(),
                    demand: index,
                    tally: self.tally.clone(),
                };
                self.requests.spawn(request.run());
            }
        }
    }

    fn tick(&self) {
        let mut loads = ServiceLoads::default();
        for node in self.nodes.iter() {
            let name = &self.plan.services[node.service].name;
            loads.add(name, &node.status(&self.plan), node.accepts_calls());
        }
        for node in self.nodes.iter() {
            node.tick(&loads);
        }
    }
}

fn route_of(demand: &Demand) -> Arc<Route> {
    let prefix = format!("/{}/", demand.name);
    Arc::new(route(demand.name, "h", &prefix, demand.priority, &[]))
}

struct Request {
    plan: Arc<ChainPlan>,
    nodes: Arc<Vec<Arc<ChainNode>>>,
    entry: usize,
    route: Arc<Route>,
    demand: usize,
    tally: Arc<Tally>,
}

struct Call<'a> {
    plan: &'a CallPlan,
    name: String,
    criticality: Criticality,
    wait_until: Instant,
    deadline: Instant,
}

pub enum CallResult {
    Answered { is_success: bool, times: SlotTimes },
    Refused,
}

impl Request {
    async fn run(self) {
        let demand = &self.plan.demands[self.demand];
        let service = &self.plan.services[demand.call.service].name;
        let entry = &self.nodes[self.entry];
        if !entry.admits(&self.route, service) {
            self.tally.record_refusal(self.demand);
            return;
        }
        let now = Instant::now();
        let call = Call {
            plan: &demand.call,
            name: format!("{}x{}", self.demand, self.tally.next_id()),
            criticality: match demand.priority {
                0 => Criticality::CriticalPlus,
                1 => Criticality::SheddablePlus,
                _ => Criticality::Sheddable,
            },
            wait_until: now + MAX_SLOT_WAIT,
            deadline: now + demand.call.timeout,
        };
        match self.forward(&call).await {
            CallResult::Answered { is_success, times } => {
                entry.record_answer(&self.route, is_success, &times);
                self.tally.record_end(self.demand, is_success);
            }
            CallResult::Refused => {
                entry.record_no_answer(&self.route);
                self.tally.record_refusal(self.demand);
            }
        }
    }

    /// Sends a call to the back end with the lowest utilization, then to the others while each refuses.
    async fn forward(&self, call: &Call<'_>) -> CallResult {
        let mut tried = Vec::new();
        while let Some(target) = self.choose(call.plan.service, &tried) {
            tried.push(target);
            let executing = Box::pin(self.execute(target, call));
            match timeout_at(call.deadline, executing).await {
                Ok(CallResult::Refused) => {}
                Ok(answered) => return answered,
                Err(_) => return CallResult::Refused,
            }
        }
        CallResult::Refused
    }

    fn choose(&self, service: usize, tried: &[usize]) -> Option<usize> {
        let nodes = self.nodes.iter().enumerate();
        let candidates = nodes.filter(|(index, node)| {
            node.service == service && node.accepts_calls() && !tried.contains(index)
        });
        let permille = |node: &Arc<ChainNode>| (node.utilization() * 1000.0) as u64;
        candidates
            .min_by_key(|(_, node)| permille(node))
            .map(|(index, _)| index)
    }

    async fn execute(&self, target: usize, call: &Call<'_>) -> CallResult {
        let node = &self.nodes[target];
        let Ok(slot) = node.acquire_slot(call.criticality, call.wait_until).await else {
            return CallResult::Refused;
        };
        let parent = Parent {
            is_urgent: call.criticality == Criticality::CriticalPlus,
            is_retry: false,
        };
        let running = node.begin_call(&call.name, parent);
        sleep(node.work_time(call.plan.work)).await;
        let mut is_success = true;
        for (index, nested) in call.plan.calls.iter().enumerate() {
            if !self.run_nested(node, call, nested, index).await {
                is_success = false;
                break;
            }
        }
        let times = running.slot_times(&self.plan.services[node.service].name, slot.held_for());
        CallResult::Answered { is_success, times }
    }

    /// Runs a nested call and returns whether it succeeded.
    async fn run_nested(
        &self,
        node: &ChainNode,
        call: &Call<'_>,
        plan: &CallPlan,
        index: usize,
    ) -> bool {
        let now = Instant::now();
        let remaining = call.deadline.saturating_duration_since(now);
        let timeout = plan.timeout.min(remaining);
        let nested = Call {
            plan,
            name: format!("{}.{index}", call.name),
            criticality: call.criticality.max(Criticality::Critical),
            wait_until: now + timeout.mul_f64(NESTED_WAIT_SHARE),
            deadline: now + timeout,
        };
        node.begin_nested(&call.name, plan.service);
        let result = self.forward(&nested).await;
        let is_success = matches!(
            result,
            CallResult::Answered {
                is_success: true,
                ..
            }
        );
        let service_nodes = self
            .nodes
            .iter()
            .filter(|node| node.service == plan.service);
        let call_times = service_nodes.map(|node| node.call_time());
        let shortest = call_times.filter(|time| !time.is_zero()).min();
        let min_time = shortest.unwrap_or_default().max(MIN_CALL_TIME);
        let service = &self.plan.services[plan.service].name;
        node.end_nested(&call.name, &result, service, min_time);
        is_success
    }
}

/// Returns the rank of requests without a tenant.
fn rank() -> TenantRank {
    TenantRank::default()
}
