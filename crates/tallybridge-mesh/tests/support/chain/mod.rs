//! A fleet in virtual time: entries and back ends of a chain of services, with the product's own
//! admission, slots, queues and learned costs, and a plain way through them.
//!
//! A node stands beside each back end and is an entry for its share of the requests. A call takes a
//! slot, does its own work, makes its calls and fails if one of them does, as the users' back ends
//! do. What an answer tells is put together by the product's own table of running calls. Left out:
//! links and their delays, budgets of repeats, the choice among back ends by news that is old.

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

/// Time between two steps.
const STEP: Duration = Duration::from_millis(10);
/// Steps between two looks of a node.
const STEPS_PER_LOOK: u32 = 10;
/// Time in which a request is refused rather than held.
const WAIT: Duration = Duration::from_millis(300);
/// Time that a call is taken to hold a slot at the least.
const LEAST_CALL_TIME: Duration = Duration::from_millis(1);
/// Share of the time left that a nested call may wait.
const NESTED_WAIT: f64 = 0.6;

/// The fleet.
pub struct ChainFleet {
    plan: Arc<ChainPlan>,
    routes: Vec<Arc<Route>>,
    nodes: Arc<Vec<Arc<ChainNode>>>,
    under_way: JoinSet<()>,
    due: Vec<f64>,
    steps: u32,
    tally: Arc<Tally>,
}

impl ChainFleet {
    /// A fleet that has just started for the first time.
    pub fn new(plan: ChainPlan) -> Self {
        let plan = Arc::new(plan);
        let routes: Vec<Arc<Route>> = plan.demands.iter().map(route_of).collect();
        Self {
            nodes: Arc::new(ChainNode::all(&plan)),
            due: vec![0.0; routes.len()],
            tally: Arc::new(Tally::new(routes.len())),
            routes,
            plan,
            under_way: JoinSet::new(),
            steps: 0,
        }
    }

    /// All nodes and back ends are lost, with all that they knew, and start again; back ends of one
    /// service take work only some time after the others.
    pub fn lose_all(&mut self, last: usize, after: Duration) {
        self.under_way.abort_all();
        self.under_way = JoinSet::new();
        self.nodes = Arc::new(ChainNode::all(&self.plan));
        for node in self.nodes.iter().filter(|node| node.service == last) {
            node.starts_late(after);
        }
    }

    /// Every so many-th node is lost, beginning with the one at a place, with all that it knew, and starts
    /// again. Back ends live on.
    pub fn lose_some(&mut self, first: usize, every: usize) {
        let nodes = self.nodes.iter().enumerate();
        let nodes = nodes.map(|(index, node)| match index % every == first {
            true => Arc::new(node.begin_anew()),
            false => node.clone(),
        });
        self.nodes = Arc::new(nodes.collect());
    }

    /// Every entry takes it for certain that no route costs any service but its own anything.
    pub fn mislead(&mut self) {
        for node in self.nodes.iter() {
            for (route, demand) in self.routes.iter().zip(&self.plan.demands) {
                let mut times = SlotTimes::default();
                let own = &self.plan.services[demand.call.service].name;
                times.add(own, demand.call.work);
                for _ in 0..200 {
                    node.answered(route, true, &times);
                }
            }
        }
    }

    /// Nodes of the fleet.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Nothing but so many back ends of a service are left, from the slowest on.
    pub fn leave(&mut self, service: usize, backends: usize) {
        let nodes = self.nodes.iter().filter(|node| node.service == service);
        for node in nodes.skip(backends) {
            node.remove();
        }
        Arc::make_mut(&mut self.plan).services[service].left = backends;
    }

    /// Calls of a service take so many times as long from now on.
    pub fn slow(&mut self, service: usize, factor: f64) {
        for node in self.nodes.iter().filter(|node| node.service == service) {
            node.slow(factor);
        }
        Arc::make_mut(&mut self.plan).services[service].slowed = factor;
    }

    /// Runs for some time and counts the requests that came in it, once they have ended.
    pub async fn run(&mut self, time: Duration) -> Counts {
        let tally = Arc::new(Tally::new(self.routes.len()));
        self.tally = tally.clone();
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.send();
            sleep(STEP).await;
            if self.is_look_due() {
                self.tick();
            }
            while self.under_way.try_join_next().is_some() {}
        }
        tally.counts(&self.plan)
    }

    /// Whether it is time for the next look.
    fn is_look_due(&mut self) -> bool {
        self.steps += 1;
        self.steps.is_multiple_of(STEPS_PER_LOOK)
    }

    fn send(&mut self) {
        let seconds = STEP.as_secs_f64();
        for index in 0..self.routes.len() {
            self.due[index] += self.plan.demands[index].per_second * seconds;
            while self.due[index] >= 1.0 {
                self.due[index] -= 1.0;
                let entry = self.tally.came(index) + index * 5;
                let request = Request {
                    plan: self.plan.clone(),
                    nodes: self.nodes.clone(),
                    entry: entry % self.nodes.len(),
                    route: self.routes[index].clone(),
                    demand: index,
                    tally: self.tally.clone(),
                };
                self.under_way.spawn(request.run());
            }
        }
    }

    fn tick(&self) {
        let mut loads = ServiceLoads::default();
        for node in self.nodes.iter() {
            let name = &self.plan.services[node.service].name;
            loads.add(name, &node.status(&self.plan), node.takes_work());
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

/// A request on its way.
struct Request {
    plan: Arc<ChainPlan>,
    nodes: Arc<Vec<Arc<ChainNode>>>,
    entry: usize,
    route: Arc<Route>,
    demand: usize,
    tally: Arc<Tally>,
}

/// A call on its way.
struct Call<'a> {
    plan: &'a CallPlan,
    name: String,
    criticality: Criticality,
    wait_until: Instant,
    deadline: Instant,
}

/// How a call ended.
pub enum Ended {
    Answered { well: bool, times: SlotTimes },
    Refused,
}

impl Request {
    async fn run(self) {
        let demand = &self.plan.demands[self.demand];
        let service = &self.plan.services[demand.call.service].name;
        let entry = &self.nodes[self.entry];
        if !entry.admits(&self.route, service) {
            self.tally.refused(self.demand);
            return;
        }
        let now = Instant::now();
        let call = Call {
            plan: &demand.call,
            name: format!("{}x{}", self.demand, self.tally.next_name()),
            criticality: match demand.priority {
                0 => Criticality::CriticalPlus,
                1 => Criticality::SheddablePlus,
                _ => Criticality::Sheddable,
            },
            wait_until: now + WAIT,
            deadline: now + demand.call.patience,
        };
        match self.forward(&call).await {
            Ended::Answered { well, times } => {
                entry.answered(&self.route, well, &times);
                self.tally.ended(self.demand, well);
            }
            Ended::Refused => {
                entry.unanswered(&self.route);
                self.tally.refused(self.demand);
            }
        }
    }

    /// Sends a call to the back end with the most room, and once more elsewhere if that is full.
    async fn forward(&self, call: &Call<'_>) -> Ended {
        let mut tried = Vec::new();
        while let Some(target) = self.choose(call.plan.service, &tried) {
            tried.push(target);
            let executing = Box::pin(self.execute(target, call));
            match timeout_at(call.deadline, executing).await {
                Ok(Ended::Refused) => {}
                Ok(answered) => return answered,
                Err(_) => return Ended::Refused,
            }
        }
        Ended::Refused
    }

    fn choose(&self, service: usize, tried: &[usize]) -> Option<usize> {
        let nodes = self.nodes.iter().enumerate();
        let usable = nodes.filter(|(index, node)| {
            node.service == service && node.takes_work() && !tried.contains(index)
        });
        let by_room = |node: &Arc<ChainNode>| (node.utilization() * 1000.0) as u64;
        usable
            .min_by_key(|(_, node)| by_room(node))
            .map(|(index, _)| index)
    }

    async fn execute(&self, target: usize, call: &Call<'_>) -> Ended {
        let node = &self.nodes[target];
        let Ok(slot) = node.slot(call.criticality, call.wait_until).await else {
            return Ended::Refused;
        };
        let parent = Parent {
            is_urgent: call.criticality == Criticality::CriticalPlus,
            is_retry: false,
        };
        let running = node.begin(&call.name, parent);
        sleep(node.time_of(call.plan.work)).await;
        let mut well = true;
        for (index, nested) in call.plan.calls.iter().enumerate() {
            if !self.nested(node, call, nested, index).await {
                well = false;
                break;
            }
        }
        let times = running.times(&self.plan.services[node.service].name, slot.held_for());
        Ended::Answered { well, times }
    }

    async fn nested(
        &self,
        node: &ChainNode,
        call: &Call<'_>,
        plan: &CallPlan,
        index: usize,
    ) -> bool {
        let now = Instant::now();
        let left = call.deadline.saturating_duration_since(now);
        let allowed = plan.patience.min(left);
        let nested = Call {
            plan,
            name: format!("{}.{index}", call.name),
            criticality: call.criticality.max(Criticality::Critical),
            wait_until: now + allowed.mul_f64(NESTED_WAIT),
            deadline: now + allowed,
        };
        node.nested_begins(&call.name, plan.service);
        let ended = self.forward(&nested).await;
        let well = matches!(ended, Ended::Answered { well: true, .. });
        let of_service = self
            .nodes
            .iter()
            .filter(|node| node.service == plan.service);
        let times = of_service.map(|node| node.call_time());
        let least = times.filter(|time| !time.is_zero()).min();
        let least = least.unwrap_or_default().max(LEAST_CALL_TIME);
        let service = &self.plan.services[plan.service].name;
        node.nested_ended(&call.name, &ended, service, least);
        well
    }
}

/// The rank of requests where no tenant goes before another.
fn rank() -> TenantRank {
    TenantRank::default()
}
