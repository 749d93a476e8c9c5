//! Property test: concurrent authors append to the log while the store injects faults.
//!
//! By default 64 cases run with a fixed seed. A longer run:
//! `PROPTEST_CASES=2000 cargo test -p tallybridge-store --test configuration_log`.

mod log_oracle;

use std::time::Duration;

use futures::future::join_all;
use log_oracle::{
    Oracle, Reply,
    edits::{REMOVAL, edit},
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use rand::{SeedableRng, rngs::SmallRng};
use tallybridge_config::{Document, Revision};
use tallybridge_lab::standin::store::{FaultOrder, LossManner, StoreOptions, StoreStandin};
use tallybridge_store::{
    Backoff, ChangeRequest, ConfigurationLog, LogCursor, StoreClient, StoreClientOptions,
    log::{LogOptions, SNAPSHOT_KEY},
};
use tokio::time::Instant;
use uuid::Uuid;

const DEFAULT_CASES: u32 = 64;

/// Long enough that a slow test machine never reaches this timeout.
const LONG_TIMEOUT: Duration = Duration::from_secs(300);

/// A change that one author appends in a round of concurrent appends.
#[derive(Debug, Clone)]
struct PlannedChange {
    entries: Vec<u8>,
    /// Number of revisions by which the base is behind the log.
    base_lag: u64,
    /// Whether the author retries until the outcome is known.
    waits_for_outcome: bool,
}

#[derive(Debug, Clone)]
enum Step {
    Fault(FaultOrder),
    /// Authors append changes concurrently.
    Append(Vec<PlannedChange>),
    /// Authors whose outcome is unknown repeat their requests.
    RepeatUnsettled,
    /// The reader watches the log.
    Watch,
}

fn fault() -> impl Strategy<Value = FaultOrder> {
    let loss_manner = prop_oneof![Just(LossManner::Close), Just(LossManner::Unavailable)];
    let lost_responses = (0..3_u32, loss_manner);
    let late_writes = (0..3_u32, 1..8_u32);
    let prefix = prop_oneof![2 => Just(""), 1 => Just(SNAPSHOT_KEY)];
    (lost_responses, late_writes, prefix, 0..4_u32, 0..3_u32).prop_map(
        |((lost, loss_manner), (late, late_after_requests), prefix, unavailable, limited)| {
            FaultOrder {
                key_prefix: prefix.to_owned(),
                lose_answers: Some(lost),
                loss_manner,
                late_writes: Some(late),
                late_after_requests,
                unavailable_requests: Some(unavailable),
                limited_requests: Some(limited),
                ..FaultOrder::default()
            }
        },
    )
}

fn planned_change() -> impl Strategy<Value = PlannedChange> {
    (vec(0..=REMOVAL, 1..3), 0..4_u64, prop::bool::weighted(0.7)).prop_map(
        |(entries, base_lag, waits_for_outcome)| PlannedChange {
            entries,
            base_lag,
            waits_for_outcome,
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => fault().prop_map(Step::Fault),
        4 => vec(planned_change(), 1..5).prop_map(Step::Append),
        1 => Just(Step::RepeatUnsettled),
        2 => Just(Step::Watch),
    ]
}

/// The log under test, with a reader and the oracle.
struct Harness {
    standin: StoreStandin,
    log: ConfigurationLog,
    oracle: Oracle,
    cursor: LogCursor,
    document: Document,
    random: SmallRng,
    change_count: u32,
}

impl Harness {
    async fn start() -> Self {
        let standin = StoreStandin::serve(StoreOptions::default()).await.unwrap();
        let options = StoreClientOptions {
            request_timeout: LONG_TIMEOUT,
            ..StoreClientOptions::new(vec![standin.address()])
        };
        let log_options = LogOptions {
            page_limit: 3,
            snapshot_interval: 4,
            backoff: Backoff {
                first: Duration::from_micros(100),
                longest: Duration::from_millis(1),
            },
        };
        Self {
            log: ConfigurationLog::new(StoreClient::new(options).unwrap(), log_options),
            standin,
            oracle: Oracle::default(),
            cursor: LogCursor::after(Revision::default()),
            document: Document::default(),
            random: SmallRng::seed_from_u64(1),
            change_count: 0,
        }
    }

    async fn step(&mut self, step: &Step) {
        match step {
            Step::Fault(order) => self.standin.fault(order),
            Step::Append(planned_changes) => self.append_round(planned_changes).await,
            Step::RepeatUnsettled => self.repeat_unsettled().await,
            Step::Watch => self.watch_log().await,
        }
        self.oracle.read_log(&self.standin);
        self.oracle.check();
    }

    async fn append_round(&mut self, planned_changes: &[PlannedChange]) {
        let changes: Vec<(ChangeRequest, bool)> = planned_changes
            .iter()
            .map(|planned_change| {
                (
                    self.change_request(planned_change),
                    planned_change.waits_for_outcome,
                )
            })
            .collect();
        self.append(changes).await;
    }

    async fn repeat_unsettled(&mut self) {
        let unsettled = self.oracle.unsettled().into_iter();
        self.append(unsettled.map(|change| (change, true)).collect())
            .await;
    }

    /// Appends changes concurrently and records the results.
    async fn append(&mut self, changes: Vec<(ChangeRequest, bool)>) {
        let log = &self.log;
        let random = &mut self.random;
        let appends = changes.into_iter().map(|(change, waits_for_outcome)| {
            let mut random = SmallRng::from_rng(random);
            let deadline = Instant::now()
                + if waits_for_outcome {
                    LONG_TIMEOUT
                } else {
                    Duration::ZERO
                };
            async move {
                let result = log.append(&change, deadline, &mut random).await;
                Reply { change, result }
            }
        });
        for reply in join_all(appends).await {
            self.oracle.record_reply(reply);
        }
    }

    fn change_request(&mut self, planned_change: &PlannedChange) -> ChangeRequest {
        self.change_count += 1;
        let number = self.change_count;
        let edits = planned_change
            .entries
            .iter()
            .map(|entry| edit(*entry, number));
        ChangeRequest {
            base: Revision(
                self.oracle
                    .revision()
                    .saturating_sub(planned_change.base_lag),
            ),
            edits: edits.collect(),
            author: format!("author-{number}"),
            comment: String::new(),
            change_id: Uuid::from_u128(u128::from(number)),
        }
    }

    /// Checks that the reader never moves back and that its document matches its revision.
    async fn watch_log(&mut self) {
        let before = self.cursor.revision();
        if let Ok(records) = self.log.watch(&mut self.cursor, Duration::ZERO).await {
            for record in &records {
                self.document.apply(record).unwrap();
            }
        }
        assert!(self.cursor.revision() >= before);
        assert_eq!(self.cursor.revision(), self.document.revision);
        self.oracle.read_log(&self.standin);
        assert_eq!(self.document, self.oracle.document(self.document.revision));
    }

    /// Clears all faults, then checks that every outcome is known.
    async fn clear_faults_and_check(&mut self) {
        self.standin.fault(&FaultOrder {
            lose_answers: Some(0),
            late_writes: Some(0),
            unavailable_requests: Some(0),
            limited_requests: Some(0),
            ..FaultOrder::default()
        });
        self.step(&Step::RepeatUnsettled).await;
        self.standin.release_late_writes();
        self.oracle.read_log(&self.standin);
        self.oracle.check();
        assert!(self.oracle.unsettled().is_empty());
        self.check_readers().await;
    }

    async fn check_readers(&mut self) {
        // The first watch may return nothing new, because it only reads the version of the store or
        // sees old changes.
        for _ in 0..2 {
            self.watch_log().await;
        }
        let last = Revision(self.oracle.revision());
        assert_eq!(self.document.revision, last);
        assert_eq!(self.log.read_document().await.unwrap(), self.document);
        let history = self.log.history(2).await.unwrap();
        let newest: Vec<u64> = history.iter().map(|record| record.revision.0).collect();
        let expected: Vec<u64> = (1..=last.0).rev().take(2).collect();
        assert_eq!(newest, expected);
    }
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
        harness.clear_faults_and_check().await;
    });
}

#[tokio::test]
async fn older_snapshot_never_replaces_newer() {
    let mut harness = Harness::start().await;
    let planned_change = PlannedChange {
        entries: vec![0],
        base_lag: 0,
        waits_for_outcome: true,
    };
    for _ in 0..3 {
        harness
            .step(&Step::Append(vec![planned_change.clone()]))
            .await;
    }
    for revision in [3, 2] {
        let document = harness.oracle.document(Revision(revision));
        harness.log.compact(&document).await.unwrap();
        harness.oracle.read_log(&harness.standin);
    }
    assert_eq!(
        harness.log.read_document().await.unwrap().revision,
        Revision(3)
    );
}

fn cases() -> u32 {
    std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_CASES)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: cases(),
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x7461_6c6c_7962),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn append_results_match_log(steps in vec(step(), 1..16)) {
        run_case(&steps);
    }
}
