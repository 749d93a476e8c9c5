//! Nodes take, lose and use a duty in any order, while clocks jump and the store fails.
//!
//! By default 160 cases run with a fixed seed. The long run, which takes minutes:
//! `PROPTEST_CASES=5000 cargo test -p tallybridge-store --test duty_fuzz`.

use std::time::Duration;

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use tallybridge_lab::standin::store::{FaultOrder, LossManner, StoreOptions, StoreStandin};
use tallybridge_store::{
    Acquired, DutyOptions, Fence, GuardedKey, LeaseHolder, StoreClient, StoreClientOptions,
    StoreError,
    duty::{GuardedError, duty_key},
};
use tokio::time::Instant;

const DEFAULT_CASES: u32 = 160;
const NODES: usize = 3;

/// Life of the lease: far longer than a case takes, so that time passes only by jumps.
const TTL: Duration = Duration::from_secs(36_000);

const KEY: &str = "tallybridge/sweep/done";

#[derive(Debug, Clone)]
enum Step {
    /// A node tries to become the holder.
    Acquire(usize),
    /// A node gives the duty up.
    Release(usize),
    /// A node drops the duty without a word, as in a crash.
    Drop(usize),
    /// A node acts, whether it holds the duty, held it or never did.
    Act(usize),
    /// The clock jumps by this many hundredths of the lease's life.
    Jump(u32),
    /// The duty's key loses its lease without its holder learning of it.
    EndLease,
    /// Sets faults.
    Fault(FaultOrder),
    /// Late writes arrive.
    ReleaseLateWrites,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..NODES).prop_map(Step::Acquire),
        1 => (0..NODES).prop_map(Step::Release),
        1 => (0..NODES).prop_map(Step::Drop),
        8 => (0..NODES).prop_map(Step::Act),
        4 => (1..120_u32).prop_map(Step::Jump),
        2 => Just(Step::EndLease),
        3 => fault().prop_map(Step::Fault),
        1 => Just(Step::ReleaseLateWrites),
    ]
}

fn fault() -> impl Strategy<Value = FaultOrder> {
    let prefix = prop_oneof![
        Just(String::new()),
        Just(KEY.to_owned()),
        Just(duty_key(""))
    ];
    let loss = prop_oneof![Just(LossManner::Close), Just(LossManner::Unavailable)];
    (prefix, loss, 0..2_u32, 0..2_u32, 1..20_u32, 0..2_u32).prop_map(
        |(key_prefix, loss_manner, lost, late, late_after_requests, unavailable)| FaultOrder {
            key_prefix,
            loss_manner,
            lose_answers: Some(lost),
            late_writes: Some(late),
            late_after_requests,
            unavailable_requests: Some(unavailable),
            ..FaultOrder::default()
        },
    )
}

/// One node: the duty if it holds it, and what it acts with, which outlives the duty.
#[derive(Default)]
struct Node {
    holder: Option<LeaseHolder>,
    fence: Option<Fence>,
    /// Whether its lease was ended behind its back, so that its fence can't know.
    is_betrayed: bool,
}

/// What an actor was told of its action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Done,
    Refused,
    Unknown,
}

/// One attempt to act.
struct Action {
    told: Told,
    /// The actor's token.
    token: u64,
}

struct Trial {
    standin: StoreStandin,
    store: StoreClient,
    nodes: [Node; NODES],
    /// What was told of each action, which are numbered in the order in which they were tried.
    actions: Vec<Action>,
    last_token: u64,
}

impl Trial {
    async fn start() -> Self {
        let standin = StoreStandin::serve(StoreOptions::default()).await.unwrap();
        let options = StoreClientOptions {
            request_timeout: 1_000 * TTL,
            connect_timeout: 1_000 * TTL,
            ..StoreClientOptions::new(vec![standin.address()])
        };
        Self {
            standin,
            store: StoreClient::new(options).unwrap(),
            nodes: Default::default(),
            actions: Vec::new(),
            last_token: 0,
        }
    }

    async fn step(&mut self, step: &Step) {
        match step {
            Step::Acquire(node) => self.acquire(*node).await,
            Step::Release(node) => self.release(*node).await,
            Step::Drop(node) => drop(self.nodes[*node].holder.take()),
            Step::Act(node) => self.act(*node).await,
            Step::Jump(hundredths) => jump(TTL / 100 * *hundredths).await,
            Step::EndLease => self.end_lease().await,
            Step::Fault(order) => self.standin.fault(order),
            Step::ReleaseLateWrites => self.standin.release_late_writes(),
        }
        self.check_holders();
        self.check_actions();
    }

    async fn acquire(&mut self, node: usize) {
        let options = DutyOptions {
            name: "sweep".to_owned(),
            holder: format!("node-{node}"),
            ttl: TTL,
            margin: TTL / 10,
        };
        if let Ok(Acquired::Held(held)) = LeaseHolder::acquire(&self.store, &options).await {
            let fence = held.fence();
            assert!(fence.token().0 > self.last_token, "tokens grow");
            self.last_token = fence.token().0;
            self.nodes[node] = Node {
                holder: Some(held),
                fence: Some(fence),
                is_betrayed: false,
            };
        }
    }

    async fn release(&mut self, node: usize) {
        if let Some(holder) = self.nodes[node].holder.take() {
            // A release that fails leaves the key until its lease lapses.
            let _ = holder.release().await;
        }
    }

    async fn act(&mut self, node: usize) {
        let Some(fence) = self.nodes[node].fence.clone() else {
            return;
        };
        let number = self.actions.len();
        let token = fence.token().0;
        let key = GuardedKey::new(self.store.clone(), fence, KEY.to_owned());
        let result = key
            .update(|done| format!("{}{number},", done.unwrap_or_default()))
            .await;
        let told = match result {
            Ok(_) => Told::Done,
            Err(GuardedError::Store(StoreError::OutcomeUnknown { .. })) => Told::Unknown,
            Err(_) => Told::Refused,
        };
        self.actions.push(Action { told, token });
    }

    async fn end_lease(&mut self) {
        let Some(entry) = self.standin.entries(&duty_key("sweep")).pop() else {
            return;
        };
        let record: serde_json::Value = serde_json::from_str(&entry.value.unwrap()).unwrap();
        let lease = serde_json::from_value(record["lease"].clone()).unwrap();
        if !matches!(
            self.store.revoke_lease(lease).await,
            Err(StoreError::Unavailable { .. })
        ) {
            for node in &mut self.nodes {
                node.is_betrayed = true;
            }
        }
    }

    /// A node that believes to hold the duty holds it in the store, unless it can't know better.
    fn check_holders(&self) {
        let now = Instant::now();
        let held = self.standin.entries(&duty_key("sweep")).pop();
        let held_token = held.map(|entry| entry.version);
        let nodes = self.nodes.iter().filter(|node| !node.is_betrayed);
        for fence in nodes.filter_map(|node| node.fence.as_ref()) {
            if fence.check(now).is_ok() {
                assert_eq!(held_token, Some(fence.token().0), "a duty believed held");
            }
        }
    }

    /// What was told as done is there, what was refused is not, nothing is there twice, and
    /// nobody acted after a later holder.
    fn check_actions(&self) {
        let done = self.done();
        for (number, action) in self.actions.iter().enumerate() {
            let times = done.iter().filter(|done| **done == number).count();
            match action.told {
                Told::Done => assert_eq!(times, 1, "action {number} of {done:?} is done"),
                Told::Refused => assert_eq!(times, 0, "action {number} of {done:?} is refused"),
                Told::Unknown => assert!(times <= 1, "action {number} of {done:?} may be done"),
            }
        }
        assert!(done.is_sorted(), "the order of the actions done: {done:?}");
        let tokens: Vec<u64> = done.iter().map(|done| self.actions[*done].token).collect();
        assert!(tokens.is_sorted(), "tokens of the actions done: {tokens:?}");
    }

    fn done(&self) -> Vec<usize> {
        let Some(entry) = self.standin.entries(KEY).pop() else {
            return Vec::new();
        };
        let record: serde_json::Value = serde_json::from_str(&entry.value.unwrap()).unwrap();
        let list = record["value"].as_str().unwrap();
        let numbers = list.split_terminator(',');
        numbers.map(|number| number.parse().unwrap()).collect()
    }
}

/// Lets the clock jump, as it seems to a process that was paused for that long.
async fn jump(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    tokio::time::resume();
}

fn run_case(steps: &[Step]) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut trial = Trial::start().await;
        for step in steps {
            trial.step(step).await;
        }
    });
}

fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_CASES);
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x6475_7479),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_duty_is_done_by_one_node_at_a_time(steps in vec(step(), 1..40)) {
        run_case(&steps);
    }
}
