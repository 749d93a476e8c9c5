//! Every kind of decision, played from a seed in virtual time, with one digest for each: a change that
//! is meant to leave decisions as they are leaves the digests as they are.
//!
//! A change that is meant to change a decision changes its digest with it.

mod support;

use std::{fmt::Debug, net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use tallybridge_mesh::{
    clock::BootInstant,
    configuration::tenants::{RateLimit, Tenant, TenantRank},
    link::Link,
    protocol::{
        BackendState, CallMessage, CrashReport, Frame, Load, NodeRecord, PeerStatus,
        QuarantinedRequest, QuotaAsk, QuotaGrant, RequestDigest,
    },
    settings::RetrySettings,
    tables::{
        Executor, FirstAttempt, PeerTable, PlacementQuery, RetryBudgets, RetryRequest,
        quarantine::Quarantine,
        quotas::{OwnedQuotas, QuotaSlack},
    },
};
use tokio::{
    sync::mpsc,
    time::{Instant, advance, timeout},
};
use xxhash_rust::xxh3::Xxh3;

use self::support::chain::{
    ChainFleet,
    plan::{CallPlan, ChainPlan, Demand, ServicePlan},
};

const SEED: u64 = 20_261_203;

/// Sums up decisions in the order in which they were made.
#[derive(Default)]
struct Decisions {
    hasher: Xxh3,
    /// The same in words, which a failing test shows the end of.
    last: Vec<String>,
}

impl Decisions {
    fn note(&mut self, decision: impl Debug) {
        let text = format!("{decision:?}\n");
        self.hasher.update(text.as_bytes());
        self.last.push(text);
    }

    #[track_caller]
    fn expect(&self, digest: u64, count: usize) {
        let start = self.last.len().saturating_sub(5);
        let found = (self.hasher.digest(), self.last.len());
        let end = self.last[start..].concat();
        assert_eq!(
            found,
            (digest, count),
            "digest {:#x}, ends with\n{end}",
            found.0
        );
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn record(port: u16, zone: &str) -> NodeRecord {
    NodeRecord {
        node: format!("n{port}"),
        address: address(port),
        zone: zone.to_owned(),
        service: "ledger".to_owned(),
        process: 1,
        slots: 0,
    }
}

/// A table in which no two executors are so much alike that chance decides between them: what chance
/// adds to a score is below 0.06, utilizations are 0.14 apart, and crossing a zone costs two and a half
/// of that.
fn peers(random: &mut SmallRng, is_full: bool, now: Instant) -> PeerTable {
    let mut table = PeerTable::new(record(1, "home"));
    let trouble = if is_full {
        0
    } else {
        random.random_range(1..5)
    };
    // What is slow or fails costs whole utilizations, as full executors do: one of both at a time.
    let mut steps: Vec<u16> = (0..if is_full { 9 } else { 6 }).collect();
    steps.shuffle(random);
    for (index, step) in steps.into_iter().take(6).enumerate() {
        let port = index as u16 + 2;
        let zone = if random.random_bool(0.5) {
            "home"
        } else {
            "away"
        };
        let is_struck = random.random_bool(0.4);
        let load = Load {
            limit: 100,
            in_flight: step * 14,
            service_ms: if is_struck && trouble == 1 { 2000 } else { 20 },
            failing: if is_struck && trouble == 2 { 255 } else { 0 },
            ..Load::default()
        };
        let backend = match (is_struck, trouble) {
            (true, 3) => BackendState::Leaving,
            (true, 4) => BackendState::Stopping,
            _ => BackendState::Ready,
        };
        let record = record(port, zone);
        table.learn(record.clone(), now);
        let _ = table.select_links(now);
        let link = Arc::new(Link::new("peer", mpsc::unbounded_channel().0));
        assert!(table.record_link_opened(record, link, now));
        let status = PeerStatus {
            backend,
            load,
            ..PeerStatus::default()
        };
        table.record_status(address(port), status, now);
    }
    table
}

/// The ports of the executors that a call is sent to, one after the other, each refusing it.
fn placed(table: &mut PeerTable, local: Option<Load>, now: Instant) -> Vec<u16> {
    let mut tried = Vec::new();
    loop {
        let choice = PlacementQuery {
            service: "ledger",
            local,
            tried: &tried,
            is_idempotent: false,
        };
        let chosen = match table.choose(&choice, now) {
            Some(Executor::Peer(address, _)) => address,
            Some(Executor::Local) => address(1),
            None => return tried.iter().map(SocketAddr::port).collect(),
        };
        tried.push(chosen);
    }
}

#[tokio::test(start_paused = true)]
async fn placement() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut decisions = Decisions::default();
    let now = Instant::now();
    for case in 0..200 {
        let is_full = case % 3 == 0;
        let mut table = peers(&mut random, is_full, now);
        let local = random.random_bool(0.3).then_some(Load {
            limit: 100,
            in_flight: 7,
            service_ms: 20,
            ..Load::default()
        });
        if random.random_bool(0.3) {
            table.avoid(address(random.random_range(2..8)), now);
        }
        if !is_full && random.random_bool(0.3) {
            let lost = address(random.random_range(2..8));
            (0..100).for_each(|_| table.record_outcome(lost, true));
        }
        let order = placed(&mut table, local, now);
        for _ in 0..40 {
            assert_eq!(placed(&mut table, local, now), order, "chance decides");
        }
        decisions.note(order);
    }
    decisions.expect(0xc15e_0c8d_e051_25f8, 200);
}

#[tokio::test(start_paused = true)]
async fn admission_and_service_of_an_overloaded_chain() {
    let mut decisions = Decisions::default();
    for shortage in [0.8, 1.5, 4.0] {
        let mut fleet = ChainFleet::new(chain(shortage));
        decisions.note(fleet.run(Duration::from_secs(4)).await);
        fleet.leave(2, 1);
        decisions.note(fleet.run(Duration::from_secs(4)).await);
        fleet.slow(1, 3.0);
        decisions.note(fleet.run(Duration::from_secs(4)).await);
        fleet.lose_all(2, Duration::from_millis(500));
        decisions.note(fleet.run(Duration::from_secs(4)).await);
    }
    decisions.expect(0xbb50_c82a_7409_674d, 12);
}

fn chain(shortage: f64) -> ChainPlan {
    let deep = || CallPlan::new(2, 30, Vec::new());
    let middle = CallPlan::new(1, 15, deep().times(2));
    let demand = |name, priority, per_second, call| Demand {
        name,
        priority,
        per_second,
        call,
    };
    ChainPlan {
        services: vec![
            ServicePlan::new("top", 60, &[0.8, 1.2]),
            ServicePlan::new("middle", 60, &[0.8, 1.2]),
            ServicePlan::new("deep", 20, &[0.7, 0.7, 1.6]),
        ],
        demands: vec![
            demand("read", 2, 60.0, CallPlan::new(0, 40, vec![middle.clone()])),
            demand("payment", 0, 30.0, CallPlan::new(0, 40, middle.times(2))),
            demand("visit", 1, 20.0, CallPlan::new(0, 40, Vec::new())),
        ],
        cold: Duration::from_secs(1),
    }
    .asking(2, 3, shortage)
}

#[tokio::test(start_paused = true)]
async fn retries() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut decisions = Decisions::default();
    let services: [Arc<str>; 2] = ["ledger".into(), "portal".into()];
    let mut budgets = RetryBudgets::new(RetrySettings {
        ratio: 0.2,
        window_ms: 10_000,
        slack: 55,
    });
    for _ in 0..20_000 {
        advance(Duration::from_millis(random.random_range(0..3))).await;
        let service = &services[random.random_range(0..2)];
        let sending = FirstAttempt {
            is_below_retry: random.random_bool(0.05),
        };
        budgets.record_first_attempt(service, sending, BootInstant::now());
        if random.random_bool(0.4) {
            let repeat = RetryRequest {
                calls_others: random.random_bool(0.3),
                is_urgent: random.random_bool(0.4),
            };
            decisions.note(budgets.withdraw(service, repeat, BootInstant::now()));
        }
    }
    decisions.expect(0xf094_c2bb_40a4_0876, 7973);
}

/// What a link sends, and when it gives up the calls on it.
#[tokio::test(start_paused = true)]
async fn giving_up_on_a_silent_link() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut decisions = Decisions::default();
    for links in [12, 300] {
        let (sender, mut frames) = mpsc::unbounded_channel();
        let link = Arc::new(Link::new("peer", sender));
        let mut calls = Vec::new();
        for step in 0..400 {
            advance(Duration::from_millis(50)).await;
            if random.random_bool(0.02) && calls.len() < 4 {
                let is_idempotent = random.random_bool(0.5);
                calls.push((step, is_idempotent, link.call(call(is_idempotent)).unwrap()));
            }
            link.check(Instant::now(), links);
            decisions.note((step, link.is_suspect(), sent(&mut frames)));
            let mut open = Vec::new();
            for (began, is_idempotent, mut call) in calls {
                let ended = timeout(Duration::ZERO, call.reply()).await;
                decisions.note((began, is_idempotent, ended.is_ok()));
                // A caller that has waited long enough leaves.
                if ended.is_err() && step - began < 30 {
                    open.push((began, is_idempotent, call));
                }
            }
            calls = open;
        }
    }
    decisions.expect(0x913a_51b4_6070_6140, 1195);
}

fn call(is_idempotent: bool) -> CallMessage {
    CallMessage {
        remaining_ms: 1000,
        wait_ms: 100,
        criticality: 0,
        kind: 1,
        is_idempotent,
        is_urgent: false,
        is_retry: false,
        is_head_request: false,
        attempt: Bytes::from_static(b"a"),
        head: Bytes::new(),
        body: Bytes::new(),
    }
}

/// The kinds of the frames that were sent, as they stand on the wire.
fn sent(frames: &mut mpsc::UnboundedReceiver<Bytes>) -> Vec<u8> {
    let mut kinds = Vec::new();
    while let Ok(frame) = frames.try_recv() {
        assert!(Frame::take(&mut BytesMut::from(&frame[..])).is_ok());
        kinds.push(frame[5]);
    }
    kinds
}

#[tokio::test(start_paused = true)]
async fn quarantine() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut decisions = Decisions::default();
    let mut quarantine = Quarantine::default();
    let digests: Vec<_> = (0..12_u8).map(|byte| RequestDigest([byte; 16])).collect();
    for step in 0..3_000_u64 {
        advance(Duration::from_millis(random.random_range(0..4_000))).await;
        let now = BootInstant::now();
        let digest = digests[random.random_range(0..digests.len())];
        match random.random_range(0..10) {
            0..3 => {
                let report = CrashReport {
                    id: step,
                    suspects: vec![digest],
                };
                let held = quarantine.record_crash(&report, now);
                decisions.note(held.map(|held| held.iter().map(plain).collect::<Vec<_>>()));
            }
            3 => decisions.note(quarantine.clear(digest, now)),
            4 => quarantine.remove_expired(now),
            5 => {
                let held = QuarantinedRequest {
                    digest,
                    crashes: random.random_range(1..5),
                    left: Duration::from_secs(random.random_range(0..40)),
                };
                decisions.note(quarantine.merge(held, now));
            }
            _ => {}
        }
        // A node releases a request up to a fifth of its hold late, by chance: what is sure is that none
        // is released before.
        let mut held: Vec<_> = quarantine.quarantined(now).iter().map(plain).collect();
        held.sort();
        decisions.note(held);
    }
    decisions.expect(0xe47a_d82d_e0ee_8b0a, 4521);
}

/// A quarantined request in words that no rename changes.
fn plain(held: &QuarantinedRequest) -> (String, u8, u128) {
    (held.digest.to_string(), held.crashes, held.left.as_millis())
}

#[tokio::test(start_paused = true)]
async fn quotas() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut decisions = Decisions::default();
    let mut home = OwnedQuotas::new(QuotaSlack {
        window: Duration::from_secs(5),
        overage: 0.1,
        requests: 20.0,
    });
    let tenants = [("small", 5.0), ("large", 200.0)].map(|(name, rate)| Tenant {
        name: name.into(),
        priority: 1,
        rank: TenantRank::default(),
        limit: Some(RateLimit {
            per_second: rate,
            burst: rate,
        }),
    });
    let mut since = BootInstant::now();
    for _ in 0..20_000 {
        advance(Duration::from_millis(random.random_range(0..6))).await;
        let now = BootInstant::now();
        if random.random_bool(0.0005) {
            since = now;
        }
        let ask = QuotaAsk {
            entry: random.random_range(0..5),
            ahead: random.random_range(0..4),
            spent: random.random_range(0..3),
            fleet: Vec::new(),
        };
        let tenant = &tenants[random.random_range(0..2)];
        decisions.note(match home.grant(tenant, ask, since, now) {
            QuotaGrant::Tokens { tokens, .. } => ("tokens", u64::from(tokens)),
            QuotaGrant::Spent { wait, .. } => ("spent", wait.as_millis() as u64),
            QuotaGrant::NotOwner => ("not home", 0),
        });
        home.forget_idle(now);
    }
    decisions.expect(0x8620_2dd0_723c_cd8a, 20_000);
}
