//! Several operators change the configuration while the store fails in every way it knows.
//!
//! By default 64 cases run with a fixed seed. The long run, which takes minutes:
//! `PROPTEST_CASES=2000 cargo test -p tallybridge-store --test configuration_log`.

mod log_oracle;

use std::time::Duration;

use futures::future::join_all;
use log_oracle::{
    Oracle, Told,
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

/// Far longer than a case takes, so that no verdict hangs on the machine's speed.
const LONG: Duration = Duration::from_secs(300);

/// One author's wish in a round of concurrent ones.
#[derive(Debug, Clone)]
struct Wish {
    /// Which entries it touches.
    entries: Vec<u8>,
    /// How many revisions the author's base lies behind the log.
    lag: u64,
    /// Whether the author waits until the fate is known.
    patient: bool,
}

#[derive(Debug, Clone)]
enum Step {
    /// Sets faults.
    Fault(FaultOrder),
    /// Authors make changes at the same time.
    Round(Vec<Wish>),
    /// Authors who were left in the dark ask again.
    AskAgain,
    /// A reader follows the log.
    Follow,
}

fn fault() -> impl Strategy<Value = FaultOrder> {
    let loss = prop_oneof![Just(LossManner::Close), Just(LossManner::Unavailable)];
    let losses = (0..3_u32, loss);
    let lateness = (0..3_u32, 1..8_u32);
    let prefix = prop_oneof![2 => Just(""), 1 => Just(SNAPSHOT_KEY)];
    (losses, lateness, prefix, 0..4_u32, 0..3_u32).prop_map(
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

fn wish() -> impl Strategy<Value = Wish> {
    (vec(0..=REMOVAL, 1..3), 0..4_u64, prop::bool::weighted(0.7)).prop_map(
        |(entries, lag, patient)| Wish {
            entries,
            lag,
            patient,
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => fault().prop_map(Step::Fault),
        4 => vec(wish(), 1..5).prop_map(Step::Round),
        1 => Just(Step::AskAgain),
        2 => Just(Step::Follow),
    ]
}

/// The log under test with a reader and the oracle.
struct Trial {
    standin: StoreStandin,
    log: ConfigurationLog,
    oracle: Oracle,
    cursor: LogCursor,
    document: Document,
    random: SmallRng,
    changes: u32,
}

impl Trial {
    async fn start() -> Self {
        let standin = StoreStandin::serve(StoreOptions::default()).await.unwrap();
        let options = StoreClientOptions {
            request_timeout: LONG,
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
            changes: 0,
        }
    }

    async fn step(&mut self, step: &Step) {
        match step {
            Step::Fault(order) => self.standin.fault(order),
            Step::Round(wishes) => self.round(wishes).await,
            Step::AskAgain => self.ask_again().await,
            Step::Follow => self.follow().await,
        }
        self.oracle.read(&self.standin);
        self.oracle.check();
    }

    async fn round(&mut self, wishes: &[Wish]) {
        let changes: Vec<(ChangeRequest, bool)> = wishes
            .iter()
            .map(|wish| (self.change(wish), wish.patient))
            .collect();
        self.append(changes).await;
    }

    async fn ask_again(&mut self) {
        let unsettled = self.oracle.unsettled().into_iter();
        self.append(unsettled.map(|change| (change, true)).collect())
            .await;
    }

    /// Makes changes at the same time and notes what their authors are told.
    async fn append(&mut self, changes: Vec<(ChangeRequest, bool)>) {
        let log = &self.log;
        let random = &mut self.random;
        let appends = changes.into_iter().map(|(change, patient)| {
            let mut random = SmallRng::from_rng(random);
            let deadline = Instant::now() + if patient { LONG } else { Duration::ZERO };
            async move {
                let answer = log.append(&change, deadline, &mut random).await;
                Told { change, answer }
            }
        });
        for told in join_all(appends).await {
            self.oracle.tell(told);
        }
    }

    fn change(&mut self, wish: &Wish) -> ChangeRequest {
        self.changes += 1;
        let number = self.changes;
        let edits = wish.entries.iter().map(|entry| edit(*entry, number));
        ChangeRequest {
            base: Revision(self.oracle.revision().saturating_sub(wish.lag)),
            edits: edits.collect(),
            author: format!("author-{number}"),
            comment: String::new(),
            change_id: Uuid::from_u128(u128::from(number)),
        }
    }

    /// The reader may fail, but it never goes back and what it holds is always one revision.
    async fn follow(&mut self) {
        let before = self.cursor.revision();
        if let Ok(records) = self.log.watch(&mut self.cursor, Duration::ZERO).await {
            for record in &records {
                self.document.apply(record).unwrap();
            }
        }
        assert!(self.cursor.revision() >= before);
        assert_eq!(self.cursor.revision(), self.document.revision);
        self.oracle.read(&self.standin);
        assert_eq!(self.document, self.oracle.document(self.document.revision));
    }

    /// The store recovers, everything late arrives, and everybody learns their fate.
    async fn settle(&mut self) {
        self.standin.fault(&FaultOrder {
            lose_answers: Some(0),
            late_writes: Some(0),
            unavailable_requests: Some(0),
            limited_requests: Some(0),
            ..FaultOrder::default()
        });
        self.step(&Step::AskAgain).await;
        self.standin.release_late_writes();
        self.oracle.read(&self.standin);
        self.oracle.check();
        assert!(self.oracle.unsettled().is_empty());
        self.check_readers().await;
    }

    async fn check_readers(&mut self) {
        // The first watch may only learn the store's counter or see what it has already.
        for _ in 0..2 {
            self.follow().await;
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
        let mut trial = Trial::start().await;
        for step in steps {
            trial.step(step).await;
        }
        trial.settle().await;
    });
}

#[tokio::test]
async fn an_older_snapshot_never_replaces_a_newer_one() {
    let mut trial = Trial::start().await;
    let wish = Wish {
        entries: vec![0],
        lag: 0,
        patient: true,
    };
    for _ in 0..3 {
        trial.step(&Step::Round(vec![wish.clone()])).await;
    }
    for revision in [3, 2] {
        let document = trial.oracle.document(Revision(revision));
        trial.log.compact(&document).await.unwrap();
        trial.oracle.read(&trial.standin);
    }
    assert_eq!(
        trial.log.read_document().await.unwrap().revision,
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
    fn every_author_is_told_the_truth(steps in vec(step(), 1..16)) {
        run_case(&steps);
    }
}
