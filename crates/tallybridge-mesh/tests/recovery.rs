//! A fleet that loses all its nodes while a service is short comes back to what it served before.
//!
//! Nodes had begun to serve again within a second of the loss, and yet for as long as the deepest
//! service was short nothing of a read came through: "of 398 price look-ups none is served, 377
//! fail, none is refused", where 0.15 of them were served and the rest refused before. What a read
//! costs the deepest service was learned from its first four answers, also if these were failures;
//! a chain that fails since its last call is turned away never tells of the service that turned it
//! away. So reads counted as costing it nothing, were admitted whole, failed, and nothing that could
//! teach better was ever answered.

mod support;

use std::{fmt, time::Duration};

use self::support::chain::{
    ChainFleet,
    node::Counts,
    plan::{CallPlan, ChainPlan, Demand, ServicePlan},
};

const DEEPEST: usize = 3;
/// Place of the urgent route.
const URGENT: usize = 1;
/// Time in which a fleet is to be back where it was.
const COMES_BACK: Duration = Duration::from_secs(5);
/// What is served afterwards at the least, as a share of what was served before.
const OF_BEFORE: f64 = 0.9;

/// Four services in a chain: reads make four calls of the deepest one, payments eight, balances go
/// to it directly, and downloads need it not at all.
fn chain() -> ChainPlan {
    let peek = || CallPlan::new(DEEPEST, 30, Vec::new());
    let manifest = || CallPlan::new(2, 15, peek().repeated(4));
    let status = CallPlan::new(1, 15, vec![manifest()]);
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
                CallPlan::new(0, 120, vec![status]).with_timeout_ms(800),
            ),
            demand(
                "payment",
                0,
                100.0,
                CallPlan::new(1, 160, manifest().repeated(2)).with_timeout_ms(1000),
            ),
            demand("download", 2, 28.0, CallPlan::new(2, 96, Vec::new())),
            demand("balance", 2, 40.0, CallPlan::new(DEEPEST, 480, Vec::new())),
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

/// What became of one fleet.
struct Course {
    before: Counts,
    after: Counts,
}

impl Course {
    /// Runs a fleet in which a service is short, loses all nodes and runs on. The back ends of that
    /// service start `late` after the others.
    async fn run(mut fleet: ChainFleet, service: usize, late: Duration) -> Self {
        fleet.run(Duration::from_secs(10)).await;
        let before = fleet.run(Duration::from_secs(5)).await;
        fleet.restart_all(service, late);
        fleet.run(COMES_BACK + late).await;
        let after = fleet.run(Duration::from_secs(5)).await;
        Self { before, after }
    }

    /// Whether as much is served again of all, and of the urgent requests.
    fn is_back(&self) -> bool {
        let is_back = |after: f64, before: f64| after >= before * OF_BEFORE;
        is_back(self.after.served_share(), self.before.served_share())
            && is_back(
                self.after.served_share_of(URGENT),
                self.before.served_share_of(URGENT),
            )
    }
}

impl fmt::Display for Course {
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

/// Runs a fleet with so much more traffic, one copy of a service left, and a loss of all nodes.
async fn course(traffic: f64, short: usize, late: Duration) -> Course {
    let mut plan = chain();
    for demand in &mut plan.demands {
        demand.per_second *= traffic;
    }
    let mut fleet = ChainFleet::new(plan);
    fleet.run(Duration::from_secs(5)).await;
    fleet.keep_backends(short, 1);
    Course::run(fleet, short, late).await
}

#[tokio::test(start_paused = true)]
async fn a_deepest_service_with_one_copy_left_serves_as_much_after_a_loss_of_all() {
    let mut failed = Vec::new();
    for traffic in [0.8, 1.0, 1.5, 2.5] {
        for late_ms in [0, 300, 1000, 2000] {
            let late = Duration::from_millis(late_ms);
            let course = course(traffic, DEEPEST, late).await;
            println!("traffic {traffic}, {late_ms} ms late: {course}");
            if !course.is_back() {
                failed.push((traffic, late_ms));
            }
        }
    }
    assert!(failed.is_empty(), "not back: {failed:?}");
}

/// A chain of so many services, of which one has few slots. Reads and payments go all the way down
/// and payments make twice the calls there; visits end at the first service.
fn chain_of(depth: usize, narrow: usize) -> ChainPlan {
    let service = |index: usize| {
        let slots = if index == narrow { 12 } else { 400 };
        ServicePlan::new(&format!("s{index}"), slots, &[0.7, 0.9, 1.4])
    };
    let way = |calls: usize| {
        let deepest = CallPlan::new(depth - 1, 20, Vec::new());
        let above = (0..depth - 1).rev();
        let whole = above.fold(deepest.repeated(calls), |calls, service| {
            vec![CallPlan::new(service, 10, calls)]
        });
        whole.into_iter().next().unwrap().with_timeout_ms(1500)
    };
    ChainPlan {
        services: (0..depth).map(service).collect(),
        demands: vec![
            demand("read", 2, 60.0, way(2)),
            demand("payment", 0, 20.0, way(4)),
            demand("visit", 2, 20.0, CallPlan::new(0, 20, Vec::new())),
        ],
        warm_up: Duration::from_secs(3),
    }
}

#[tokio::test(start_paused = true)]
async fn a_chain_of_any_depth_with_any_service_short_is_back_after_a_loss_of_all() {
    let mut failed = Vec::new();
    for (depth, short, shortage, late_ms) in [
        (2, 1, 1.5, 0),
        (2, 1, 8.0, 1000),
        (5, 2, 3.0, 500),
        (5, 4, 1.2, 0),
        (5, 4, 5.0, 300),
        (12, 6, 4.0, 1000),
        (12, 11, 2.0, 0),
        (23, 22, 4.0, 500),
    ] {
        let plan = chain_of(depth, short).with_relative_load(short, 1, shortage);
        let mut fleet = ChainFleet::new(plan);
        fleet.run(Duration::from_secs(3)).await;
        fleet.keep_backends(short, 1);
        let course = Course::run(fleet, short, Duration::from_millis(late_ms)).await;
        let case = (depth, short, shortage, late_ms);
        println!("{case:?}: {course}");
        if !course.is_back() {
            failed.push(case);
        }
    }
    assert!(failed.is_empty(), "not back: {failed:?}");
}

/// How nodes are lost, though never all at once.
#[derive(Debug, Clone, Copy)]
enum Losses {
    /// Every second node at once.
    Half,
    /// One after the other, one a second.
    InTurn,
}

#[tokio::test(start_paused = true)]
async fn losses_of_nodes_one_by_one_or_half_of_them_leave_what_is_served_as_it_was() {
    let mut failed = Vec::new();
    for losses in [Losses::Half, Losses::InTurn] {
        let mut plan = chain();
        for demand in &mut plan.demands {
            demand.per_second *= 1.5;
        }
        let mut fleet = ChainFleet::new(plan);
        fleet.run(Duration::from_secs(5)).await;
        fleet.keep_backends(DEEPEST, 1);
        fleet.run(Duration::from_secs(10)).await;
        let before = fleet.run(Duration::from_secs(5)).await;
        match losses {
            Losses::Half => fleet.restart_some(0, 2),
            Losses::InTurn => {
                let nodes = fleet.len();
                for node in 0..nodes {
                    fleet.restart_some(node, nodes);
                    fleet.run(Duration::from_secs(1)).await;
                }
            }
        }
        fleet.run(COMES_BACK).await;
        let after = fleet.run(Duration::from_secs(5)).await;
        let course = Course { before, after };
        println!("{losses:?}: {course}");
        if !course.is_back() {
            failed.push(losses);
        }
    }
    assert!(failed.is_empty(), "not back: {failed:?}");
}

/// The most wrong that can be learned: that no route costs any service but its own anything.
#[tokio::test(start_paused = true)]
async fn what_is_learned_wrong_is_put_right_within_seconds() {
    let mut plan = chain();
    for demand in &mut plan.demands {
        demand.per_second *= 2.5;
    }
    let mut fleet = ChainFleet::new(plan);
    fleet.run(Duration::from_secs(5)).await;
    fleet.keep_backends(DEEPEST, 1);
    fleet.run(Duration::from_secs(10)).await;
    let before = fleet.run(Duration::from_secs(5)).await;
    fleet.learn_only_first_service();
    fleet.run(COMES_BACK).await;
    let after = fleet.run(Duration::from_secs(5)).await;
    let course = Course { before, after };
    println!("misled: {course}");
    assert!(course.is_back(), "{course}");
}
