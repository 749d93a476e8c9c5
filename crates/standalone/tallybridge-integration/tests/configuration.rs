//! The configuration over a whole fleet: no node goes back, what is in force is the log, and once
//! the store is back and the links are whole every node has the newest revision.
//!
//! The long run: `PROPTEST_CASES=100 cargo test -p tallybridge-integration --test configuration`.

mod support;

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use support::{
    fleet::{Fleet, TIMES, fold},
    switch::Cut,
};
use tallybridge_config::Revision;
use tallybridge_lab::standin::store::{FaultOrder, LossManner, OutageManner};
use tallybridge_node::actor::configuration::{ApplyRecords, ApplySnapshot};
use uuid::Uuid;

const NODES: usize = 3;
const CASES: u32 = 10;
/// Time that an operator gives a change under faults.
const OPERATOR_PATIENCE: Duration = Duration::from_millis(400);

#[derive(Debug, Clone, Copy)]
enum Step {
    Append,
    Outage {
        ms: u64,
        hang: bool,
    },
    Unavailable(u32),
    LoseAnswers {
        count: u32,
        hang: bool,
    },
    LateWrite {
        after: u32,
    },
    Slow(u64),
    Restart(usize),
    Cut(usize, Cut),
    Heal,
    /// A watcher that was paused sends what it read long ago.
    OldSnapshot {
        node: usize,
        per_cent: usize,
    },
    /// Records that do not follow what the node has.
    Records {
        node: usize,
        per_cent: usize,
    },
    Pause(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => Just(Step::Append),
        1 => (100..600_u64, any::<bool>()).prop_map(|(ms, hang)| Step::Outage { ms, hang }),
        1 => (1..6_u32).prop_map(Step::Unavailable),
        1 => (1..3_u32, any::<bool>()).prop_map(|(count, hang)| Step::LoseAnswers { count, hang }),
        1 => (1..8_u32).prop_map(|after| Step::LateWrite { after }),
        1 => (0..60_u64).prop_map(Step::Slow),
        2 => (0..NODES).prop_map(Step::Restart),
        1 => (0..NODES, prop_oneof![Just(Cut::Links), Just(Cut::All)])
            .prop_map(|(node, cut)| Step::Cut(node, cut)),
        1 => Just(Step::Heal),
        2 => (0..NODES, 0..=100_usize).prop_map(|(node, per_cent)| Step::OldSnapshot { node, per_cent }),
        2 => (0..NODES, 0..=100_usize).prop_map(|(node, per_cent)| Step::Records { node, per_cent }),
        2 => (50..300_u64).prop_map(Step::Pause),
    ];
    prop::collection::vec(step, 8..20)
}

/// The fleet with what the oracle remembers of it.
struct Watched {
    fleet: Fleet,
    /// Last revision seen at each node's present run.
    seen: [Revision; NODES],
    /// Changes that an operator was told are made.
    accepted: Vec<(Revision, Uuid)>,
    changes: u64,
}

impl Watched {
    async fn start() -> Self {
        let fleet = Fleet::start(NODES, TIMES).await;
        Self {
            fleet,
            seen: [Revision::default(); NODES],
            accepted: Vec::new(),
            changes: 0,
        }
    }

    async fn step(&mut self, step: Step) {
        match step {
            Step::Append => {
                self.changes += 1;
                let made = self.fleet.append(self.changes, OPERATOR_PATIENCE).await;
                self.accepted.extend(made);
            }
            Step::Restart(node) => {
                self.fleet.restart(node).await;
                self.seen[node] = Revision::default();
            }
            Step::Cut(node, cut) => self.fleet.switch.cut(self.fleet.address(node), cut),
            Step::Heal => self.fleet.switch.heal(),
            Step::OldSnapshot { node, per_cent } => {
                let log = self.fleet.log();
                let document = fold(&log[..log.len() * per_cent / 100]);
                let context = &self.fleet.nodes[node].context;
                context.ask(ApplySnapshot(document)).await.expect("runs");
            }
            Step::Records { node, per_cent } => {
                let log = self.fleet.log();
                let records = log[log.len() * per_cent / 100..].to_vec();
                let context = &self.fleet.nodes[node].context;
                context.ask(ApplyRecords(records)).await.expect("runs");
            }
            Step::Pause(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            fault => self.fleet.store.fault(&order(fault)),
        }
    }

    async fn check(&mut self) {
        for node in 0..NODES {
            let revision = self.fleet.check(node).await;
            let before = self.seen[node];
            assert!(revision >= before, "node {node}: {before} to {revision}");
            self.seen[node] = revision;
        }
    }

    /// Ends every fault; the greatest revision must reach every node.
    async fn settle(&mut self) {
        self.fleet.store.fault(&FaultOrder {
            outage_ms: Some(0),
            slow_ms: Some(0),
            lose_answers: Some(0),
            late_writes: Some(0),
            unavailable_requests: Some(0),
            ..FaultOrder::default()
        });
        self.fleet.store.release_late_writes();
        self.fleet.switch.heal();
        let greatest = self.fleet.log().len() as u64;
        self.fleet.reach(Revision(greatest)).await;
        self.check().await;
        let log = self.fleet.log();
        for (revision, change_id) in &self.accepted {
            let record = log.iter().find(|record| record.change_id == *change_id);
            let record = record.expect("an accepted change is in the log");
            assert_eq!(record.revision, *revision);
        }
    }
}

fn order(fault: Step) -> FaultOrder {
    let mut order = FaultOrder::default();
    match fault {
        Step::Outage { ms, hang } => {
            order.outage_ms = Some(ms);
            if hang {
                order.outage_manner = OutageManner::Hang;
            }
        }
        Step::Unavailable(count) => order.unavailable_requests = Some(count),
        Step::LoseAnswers { count, hang } => {
            order.lose_answers = Some(count);
            if hang {
                order.loss_manner = LossManner::Hang;
            }
        }
        Step::LateWrite { after } => {
            order.late_writes = Some(1);
            order.late_after_requests = after;
        }
        Step::Slow(ms) => order.slow_ms = Some(ms),
        _ => unreachable!("{fault:?} is no fault of the store"),
    }
    order
}

fn block_on<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(work)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(CASES),
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(6),
        // A case takes seconds.
        max_shrink_iters: 8,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_node_goes_back_and_all_reach_the_newest_revision(steps in steps()) {
        block_on(async {
            let mut watched = Watched::start().await;
            for step in steps {
                watched.step(step).await;
                watched.check().await;
            }
            watched.settle().await;
        });
    }
}
