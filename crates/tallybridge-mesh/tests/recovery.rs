//! Recovery of a fleet that loses nodes while a service is overloaded.
//!
//! Guards against route costs that are learned from failures right after a restart. Such costs omit
//! the overloaded service, so every request is admitted and fails, and no answer corrects the costs.

mod support;

use std::{fmt, time::Duration};

use self::support::chain::{
    ChainFleet,
    node::Counts,
    plan::{CallPlan, ChainPlan, Demand, ServicePlan},
};

const DEEPEST_SERVICE: usize = 3;
/// Index of the route of payments, which has the highest priority.
const PAYMENT_ROUTE: usize = 1;
/// Time that a fleet gets to recover before the measurement.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Minimum share served after the recovery, relative to the share served before the loss.
const MIN_RECOVERED_FRACTION: f64 = 0.9;

/// Returns a plan of four services in a chain. A read makes four calls to the deepest service, a
/// payment eight, a balance request one directly and a download none.
fn chain_plan() -> ChainPlan {
    let price_lookup = || CallPlan::new(DEEPEST_SERVICE, 30, Vec::new());
    let package_call = || CallPlan::new(2, 15, price_lookup().repeated(4));
    let payment_service_call = CallPlan::new(1, 15, vec![package_call()]);
    ChainPlan {
        services: vec![
            ServicePlan::new("top", 142, &[0.6, 1.0, 1.4]),
            ServicePlan::new("payments", 142, &[0.6, 1.0, 1.4]),
            ServicePlan::new("packages", 142, &[0.7, 0.7, 1.6]),
            ServicePlan::new("deep", 38, &[0.7, 0.7, 1.6]),
        ],
        demands: vec![
            demand(
                "read",
                2,
                190.0,
                CallPlan::new(0, 120, vec![payment_service_call]).with_timeout_ms(800),
            ),
            demand(
                "payment",
                0,
                100.0,
                CallPlan::new(1, 160, package_call().repeated(2)).with_timeout_ms(1000),
            ),
            demand("download", 2, 28.0, CallPlan::new(2, 96, Vec::new())),
            demand(
                "balance",
                2,
                40.0,
                CallPlan::new(DEEPEST_SERVICE, 480, Vec::new()),
            ),
        ],
        warm_up: Duration::from_secs(3),
    }
}

fn demand(name: &'static str, priority: u8, per_second: f64, call: CallPlan) -> Demand {
    Demand {
        name,
        priority,
        per_second,
        call,
    }
}

/// Requests served before a loss of nodes and after the recovery.
struct RecoveryRun {
    before: Counts,
    after: Counts,
}

impl RecoveryRun {
    /// Runs a fleet with an overloaded service, restarts all its nodes and measures the recovery. The
    /// back ends of that service start `restart_delay` after the others.
    async fn run(mut fleet: ChainFleet, service: usize, restart_delay: Duration) -> Self {
        fleet.run(Duration::from_secs(10)).await;
        let before = fleet.run(Duration::from_secs(5)).await;
        fleet.restart_all(service, restart_delay);
        fleet.run(RECOVERY_TIME + restart_delay).await;
        let after = fleet.run(Duration::from_secs(5)).await;
        Self { before, after }
    }

    /// Returns whether the shares of all requests and of payments have recovered.
    fn has_recovered(&self) -> bool {
        let has_recovered = |after: f64, before: f64| after >= before * MIN_RECOVERED_FRACTION;
        has_recovered(self.after.served_share(), self.before.served_share())
            && has_recovered(
                self.after.served_share_of(PAYMENT_ROUTE),
                self.before.served_share_of(PAYMENT_ROUTE),
            )
    }
}

impl fmt::Display for RecoveryRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.3} before, {:.3} after;",
            self.before.served_share(),
            self.after.served_share()
        )?;
        for (before, after) in self.before.0.iter().zip(&self.after.0) {
            write!(
                f,
                " {} {} to {} of {},",
                before.name, before.served, after.served, after.came
            )?;
            write!(f, " {} failed;", after.failed)?;
        }
        Ok(())
    }
}

/// Runs a recovery with scaled traffic and a service that has only one back end left.
async fn run_recovery(traffic: f64, overloaded: usize, restart_delay: Duration) -> RecoveryRun {
    let mut plan = chain_plan();
    for demand in &mut plan.demands {
        demand.per_second *= traffic;
    }
    let mut fleet = ChainFleet::new(plan);
    fleet.run(Duration::from_secs(5)).await;
    fleet.keep_backends(overloaded, 1);
    RecoveryRun::run(fleet, overloaded, restart_delay).await
}

#[tokio::test(start_paused = true)]
async fn recovers_from_loss_of_all_nodes() {
    let mut failed = Vec::new();
    for traffic in [0.8, 1.0, 1.5, 2.5] {
        for restart_delay_ms in [0, 300, 1000, 2000] {
            let restart_delay = Duration::from_millis(restart_delay_ms);
            let run = run_recovery(traffic, DEEPEST_SERVICE, restart_delay).await;
            println!("traffic {traffic}, {restart_delay_ms} ms restart delay: {run}");
            if !run.has_recovered() {
                failed.push((traffic, restart_delay_ms));
            }
        }
    }
    assert!(failed.is_empty(), "not recovered: {failed:?}");
}

/// Returns a plan of `depth` services in a chain, where `overloaded` has few slots. Reads and payments
/// reach the deepest service, payments with twice as many calls; visits stay at the first one.
fn chain_plan_of_depth(depth: usize, overloaded: usize) -> ChainPlan {
    let service = |index: usize| {
        let slots = if index == overloaded { 12 } else { 400 };
        ServicePlan::new(&format!("s{index}"), slots, &[0.7, 0.9, 1.4])
    };
    let request_path = |calls: usize| {
        let deepest = CallPlan::new(depth - 1, 20, Vec::new());
        let upper_services = (0..depth - 1).rev();
        let calls_of_first = upper_services.fold(deepest.repeated(calls), |calls, service| {
            vec![CallPlan::new(service, 10, calls)]
        });
        calls_of_first
            .into_iter()
            .next()
            .unwrap()
            .with_timeout_ms(1500)
    };
    ChainPlan {
        services: (0..depth).map(service).collect(),
        demands: vec![
            demand("read", 2, 60.0, request_path(2)),
            demand("payment", 0, 20.0, request_path(4)),
            demand("visit", 2, 20.0, CallPlan::new(0, 20, Vec::new())),
        ],
        warm_up: Duration::from_secs(3),
    }
}

#[tokio::test(start_paused = true)]
async fn chains_of_any_depth_recover() {
    let mut failed = Vec::new();
    for (depth, overloaded, relative_load, restart_delay_ms) in [
        (2, 1, 1.5, 0),
        (2, 1, 8.0, 1000),
        (5, 2, 3.0, 500),
        (5, 4, 1.2, 0),
        (5, 4, 5.0, 300),
        (12, 6, 4.0, 1000),
        (12, 11, 2.0, 0),
        (23, 22, 4.0, 500),
    ] {
        let plan =
            chain_plan_of_depth(depth, overloaded).with_relative_load(overloaded, 1, relative_load);
        let mut fleet = ChainFleet::new(plan);
        fleet.run(Duration::from_secs(3)).await;
        fleet.keep_backends(overloaded, 1);
        let run =
            RecoveryRun::run(fleet, overloaded, Duration::from_millis(restart_delay_ms)).await;
        let case = (depth, overloaded, relative_load, restart_delay_ms);
        println!("{case:?}: {run}");
        if !run.has_recovered() {
            failed.push(case);
        }
    }
    assert!(failed.is_empty(), "not recovered: {failed:?}");
}

/// Order in which a fleet loses nodes.
#[derive(Debug, Clone, Copy)]
enum NodeLoss {
    /// Every second node at once.
    HalfAtOnce,
    /// One node per second, until all have restarted.
    OneByOne,
}

#[tokio::test(start_paused = true)]
async fn recovers_from_partial_node_loss() {
    let mut failed = Vec::new();
    for loss in [NodeLoss::HalfAtOnce, NodeLoss::OneByOne] {
        let mut plan = chain_plan();
        for demand in &mut plan.demands {
            demand.per_second *= 1.5;
        }
        let mut fleet = ChainFleet::new(plan);
        fleet.run(Duration::from_secs(5)).await;
        fleet.keep_backends(DEEPEST_SERVICE, 1);
        fleet.run(Duration::from_secs(10)).await;
        let before = fleet.run(Duration::from_secs(5)).await;
        match loss {
            NodeLoss::HalfAtOnce => fleet.restart_some(0, 2),
            NodeLoss::OneByOne => {
                let nodes = fleet.len();
                for node in 0..nodes {
                    fleet.restart_some(node, nodes);
                    fleet.run(Duration::from_secs(1)).await;
                }
            }
        }
        fleet.run(RECOVERY_TIME).await;
        let after = fleet.run(Duration::from_secs(5)).await;
        let run = RecoveryRun { before, after };
        println!("{loss:?}: {run}");
        if !run.has_recovered() {
            failed.push(loss);
        }
    }
    assert!(failed.is_empty(), "not recovered: {failed:?}");
}

/// Every entry wrongly learns that each route needs only its first service.
#[tokio::test(start_paused = true)]
async fn recovers_from_wrong_route_costs() {
    let mut plan = chain_plan();
    for demand in &mut plan.demands {
        demand.per_second *= 2.5;
    }
    let mut fleet = ChainFleet::new(plan);
    fleet.run(Duration::from_secs(5)).await;
    fleet.keep_backends(DEEPEST_SERVICE, 1);
    fleet.run(Duration::from_secs(10)).await;
    let before = fleet.run(Duration::from_secs(5)).await;
    fleet.learn_only_first_service();
    fleet.run(RECOVERY_TIME).await;
    let after = fleet.run(Duration::from_secs(5)).await;
    let run = RecoveryRun { before, after };
    println!("wrong route costs: {run}");
    assert!(run.has_recovered(), "not recovered: {run}");
}
