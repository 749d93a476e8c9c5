//! Property test: nodes acquire, lose and use a duty while the clock jumps and the store injects
//! faults.
//!
//! By default 160 cases run with a fixed seed. A longer run:
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
const NODE_COUNT: usize = 3;

/// Long enough that a lease expires only when a step advances the clock.
const TTL: Duration = Duration::from_secs(36_000);

const KEY: &str = "tallybridge/sweep/done";

#[derive(Debug, Clone)]
enum Step {
    Acquire(usize),
    Release(usize),
    /// A node drops its holder without a release, as in a crash.
    Drop(usize),
    /// A node updates the guarded key with its last fence, if it has one.
    Act(usize),
    /// Advances the clock by this percentage of the time to live.
    AdvanceClock(u32),
    /// Revokes the lease of the current holder in the store.
    RevokeLease,
    Fault(FaultOrder),
    /// Applies delayed writes.
    ReleaseLateWrites,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..NODE_COUNT).prop_map(Step::Acquire),
        1 => (0..NODE_COUNT).prop_map(Step::Release),
        1 => (0..NODE_COUNT).prop_map(Step::Drop),
        8 => (0..NODE_COUNT).prop_map(Step::Act),
        4 => (1..120_u32).prop_map(Step::AdvanceClock),
        2 => Just(Step::RevokeLease),
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
    let loss_manner = prop_oneof![Just(LossManner::Close), Just(LossManner::Unavailable)];
    (prefix, loss_manner, 0..2_u32, 0..2_u32, 1..20_u32, 0..2_u32).prop_map(
        |(
            key_prefix,
            loss_manner,
            lost_responses,
            late_writes,
            late_after_requests,
            unavailable,
        )| FaultOrder {
            key_prefix,
            loss_manner,
            lose_answers: Some(lost_responses),
            late_writes: Some(late_writes),
            late_after_requests,
            unavailable_requests: Some(unavailable),
            ..FaultOrder::default()
        },
    )
}

/// A node under test. The fence remains after the holder is dropped or released.
#[derive(Default)]
struct Node {
    holder: Option<LeaseHolder>,
    fence: Option<Fence>,
    /// Whether a lease was revoked after the node acquired the duty. Its fence may be wrong then.
    has_lease_revocation: bool,
}

/// Outcome of an action as the node received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ActionOutcome {
    Completed,
    Rejected,
    Unknown,
}

/// An attempt to append a number to the guarded key.
struct Action {
    outcome: ActionOutcome,
    /// Fencing token of the node.
    token: u64,
}

struct Harness {
    standin: StoreStandin,
    store: StoreClient,
    nodes: [Node; NODE_COUNT],
    /// All actions in the order of their attempts. The index is the number of the action.
    actions: Vec<Action>,
    last_token: u64,
}

impl Harness {
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
            Step::AdvanceClock(percent) => advance_clock(TTL / 100 * *percent).await,
            Step::RevokeLease => self.revoke_lease().await,
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
        if let Ok(Acquired::Held(holder)) = LeaseHolder::acquire(&self.store, &options).await {
            let fence = holder.fence();
            assert!(
                fence.token().0 > self.last_token,
                "the fencing token did not grow"
            );
            self.last_token = fence.token().0;
            self.nodes[node] = Node {
                holder: Some(holder),
                fence: Some(fence),
                has_lease_revocation: false,
            };
        }
    }

    async fn release(&mut self, node: usize) {
        if let Some(holder) = self.nodes[node].holder.take() {
            // If the release fails, the key remains until its lease expires.
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
            .update(|current| format!("{}{number},", current.unwrap_or_default()))
            .await;
        let outcome = match result {
            Ok(_) => ActionOutcome::Completed,
            Err(GuardedError::Store(StoreError::OutcomeUnknown { .. })) => ActionOutcome::Unknown,
            Err(_) => ActionOutcome::Rejected,
        };
        self.actions.push(Action { outcome, token });
    }

    async fn revoke_lease(&mut self) {
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
                node.has_lease_revocation = true;
            }
        }
    }

    /// Checks that a node with a valid fence holds the duty in the store. A node whose lease may
    /// have been revoked is exempt.
    fn check_holders(&self) {
        let now = Instant::now();
        let entry = self.standin.entries(&duty_key("sweep")).pop();
        let held_token = entry.map(|entry| entry.version);
        let nodes = self.nodes.iter().filter(|node| !node.has_lease_revocation);
        for fence in nodes.filter_map(|node| node.fence.as_ref()) {
            if fence.check(now).is_ok() {
                assert_eq!(
                    held_token,
                    Some(fence.token().0),
                    "a fence is valid but the node does not hold the duty"
                );
            }
        }
    }

    /// Checks that completed actions were applied once, rejected ones were not, and no node acted
    /// after a later holder.
    fn check_actions(&self) {
        let applied = self.applied_actions();
        for (number, action) in self.actions.iter().enumerate() {
            let times = applied.iter().filter(|other| **other == number).count();
            match action.outcome {
                ActionOutcome::Completed => assert_eq!(
                    times, 1,
                    "completed action {number} was not applied once: {applied:?}"
                ),
                ActionOutcome::Rejected => assert_eq!(
                    times, 0,
                    "rejected action {number} was applied: {applied:?}"
                ),
                ActionOutcome::Unknown => {
                    assert!(times <= 1, "action {number} was applied twice: {applied:?}")
                }
            }
        }
        assert!(
            applied.is_sorted(),
            "actions were applied out of order: {applied:?}"
        );
        let tokens: Vec<u64> = applied
            .iter()
            .map(|number| self.actions[*number].token)
            .collect();
        assert!(
            tokens.is_sorted(),
            "an earlier holder acted after a later one: {tokens:?}"
        );
    }

    fn applied_actions(&self) -> Vec<usize> {
        let Some(entry) = self.standin.entries(KEY).pop() else {
            return Vec::new();
        };
        let record: serde_json::Value = serde_json::from_str(&entry.value.unwrap()).unwrap();
        let list = record["value"].as_str().unwrap();
        let numbers = list.split_terminator(',');
        numbers.map(|number| number.parse().unwrap()).collect()
    }
}

/// Advances the clock in one jump, as seen by a process that was paused.
async fn advance_clock(time: Duration) {
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
        let mut harness = Harness::start().await;
        for step in steps {
            harness.step(step).await;
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
    fn one_node_at_a_time_acts(steps in vec(step(), 1..40)) {
        run_case(&steps);
    }
}
