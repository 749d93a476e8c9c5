//! Pins a digest of each kind of decision, simulated from a seed in virtual time, to detect unintended
//! changes of behaviour. An intended change of decisions updates the digest.

mod support;

use std::{fmt::Debug, net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use tallybridge_mesh::{
    clock::BootInstant,
    configuration::tenants::{RateLimit, Tenant, TenantRank},
    link::{Link, framing::QueuedFrame},
    protocol::{
        BackendState, CallMessage, CrashReport, Frame, Load, NodeRecord, PeerStatus,
        QuarantinedRequest, QuotaGrant, QuotaRequest, RequestDigest,
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

/// A digest over the `Debug` output of decisions, which includes the names of types and fields.
#[derive(Default)]
struct Decisions {
    hasher: Xxh3,
    /// Decisions as text; a failed assertion prints the last ones.
    texts: Vec<String>,
}

impl Decisions {
    fn record(&mut self, decision: impl Debug) {
        let text = format!("{decision:?}\n");
        self.hasher.update(text.as_bytes());
        self.texts.push(text);
    }

    #[track_caller]
    fn assert_digest(&self, digest: u64, count: usize) {
        let start = self.texts.len().saturating_sub(5);
        let actual = (self.hasher.digest(), self.texts.len());
        let last_decisions = self.texts[start..].concat();
        assert_eq!(
            actual,
            (digest, count),
            "digest is {:#x}; last decisions:\n{last_decisions}",
            actual.0
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
        registers_peers: false,
        keeps_notices: false,
    }
}

/// Creates a table of executors whose scores differ by more than the random part of a score (below
/// 0.06): utilizations are 0.14 apart, and another zone costs 2.5 times as much.
fn peers(random: &mut SmallRng, is_full: bool, now: Instant) -> PeerTable {
    let mut table = PeerTable::new(record(1, "home"));
    let fault = if is_full {
        0
    } else {
        random.random_range(1..5)
    };
    // A table has one kind of fault, because two kinds of penalties could produce equal scores.
    let mut steps: Vec<u16> = (0..if is_full { 9 } else { 6 }).collect();
    steps.shuffle(random);
    for (index, step) in steps.into_iter().take(6).enumerate() {
        let port = index as u16 + 2;
        let zone = if random.random_bool(0.5) {
            "home"
        } else {
            "away"
        };
        let is_faulty = random.random_bool(0.4);
        let load = Load {
            limit: 100,
            in_flight: step * 14,
            service_ms: if is_faulty && fault == 1 { 2000 } else { 20 },
            failing: if is_faulty && fault == 2 { 255 } else { 0 },
            ..Load::default()
        };
        let backend = match (is_faulty, fault) {
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

/// Returns the ports of the executors tried by a call that each of them refuses, in order.
fn placement_order(table: &mut PeerTable, local: Option<Load>, now: Instant) -> Vec<u16> {
    let mut tried = Vec::new();
    loop {
        let query = PlacementQuery {
            service: "ledger",
            local,
            tried: &tried,
            is_idempotent: false,
        };
        let chosen = match table.choose(&query, now) {
            Some(Executor::Peer(address, _)) => address,
            Some(Executor::Local) => address(1),
            None => return tried.iter().map(SocketAddr::port).collect(),
        };
        tried.push(chosen);
    }
}

#[tokio::test(start_paused = true)]
async fn placement_matches_digest() {
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
            let failing = address(random.random_range(2..8));
            (0..100).for_each(|_| table.record_outcome(failing, true));
        }
        let order = placement_order(&mut table, local, now);
        for _ in 0..40 {
            assert_eq!(
                placement_order(&mut table, local, now),
                order,
                "placement order differs between repetitions"
            );
        }
        decisions.record(order);
    }
    decisions.assert_digest(0xc15e_0c8d_e051_25f8, 200);
}

#[tokio::test(start_paused = true)]
async fn admission_in_overloaded_chain_matches_digest() {
    let mut decisions = Decisions::default();
    for relative_load in [0.8, 1.5, 4.0] {
        let mut fleet = ChainFleet::new(chain(relative_load));
        decisions.record(fleet.run(Duration::from_secs(4)).await);
        fleet.keep_backends(2, 1);
        decisions.record(fleet.run(Duration::from_secs(4)).await);
        fleet.slow_down(1, 3.0);
        decisions.record(fleet.run(Duration::from_secs(4)).await);
        fleet.restart_all(2, Duration::from_millis(500));
        decisions.record(fleet.run(Duration::from_secs(4)).await);
    }
    decisions.assert_digest(0xbb50_c82a_7409_674d, 12);
}

fn chain(relative_load: f64) -> ChainPlan {
    let deep = || CallPlan::new(2, 30, Vec::new());
    let middle = CallPlan::new(1, 15, deep().repeated(2));
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
            demand("payment", 0, 30.0, CallPlan::new(0, 40, middle.repeated(2))),
            demand("visit", 1, 20.0, CallPlan::new(0, 40, Vec::new())),
        ],
        warm_up: Duration::from_secs(1),
    }
    .with_relative_load(2, 3, relative_load)
}

#[tokio::test(start_paused = true)]
async fn retry_budgets_match_digest() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut decisions = Decisions::default();
    let services: [Arc<str>; 2] = ["ledger".into(), "portal".into()];
    let settings = RetrySettings {
        ratio: 0.2,
        window_ms: 10_000,
        slack: 55,
    };
    let mut budgets = RetryBudgets::with_rounding(settings, 0.0);
    for _ in 0..20_000 {
        advance(Duration::from_millis(random.random_range(0..3))).await;
        let service = &services[random.random_range(0..2)];
        let first_attempt = FirstAttempt {
            is_below_retry: random.random_bool(0.05),
        };
        budgets.record_first_attempt(service, first_attempt, BootInstant::now());
        if random.random_bool(0.4) {
            let retry = RetryRequest {
                calls_others: random.random_bool(0.3),
                is_urgent: random.random_bool(0.4),
            };
            decisions.record(budgets.withdraw(service, retry, BootInstant::now()));
        }
    }
    decisions.assert_digest(0xf094_c2bb_40a4_0876, 7973);
}

/// Covers the frames that a link sends and the times at which it fails its calls.
#[tokio::test(start_paused = true)]
async fn unresponsive_link_matches_digest() {
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
            decisions.record((step, link.is_suspect(), sent_kinds(&mut frames)));
            let mut unfinished = Vec::new();
            for (start, is_idempotent, mut call) in calls {
                let reply = timeout(Duration::ZERO, call.reply()).await;
                decisions.record((start, is_idempotent, reply.is_ok()));
                // A caller stops waiting after 30 steps.
                if reply.is_err() && step - start < 30 {
                    unfinished.push((start, is_idempotent, call));
                }
            }
            calls = unfinished;
        }
    }
    decisions.assert_digest(0x913a_51b4_6070_6140, 1195);
}

fn call(is_idempotent: bool) -> CallMessage {
    CallMessage {
        remaining_ms: 1000,
        wait_ms: 100,
        criticality: 0,
        route_number: 1,
        is_idempotent,
        is_urgent: false,
        is_retry: false,
        is_head_request: false,
        attempt: Bytes::from_static(b"a"),
        head: Bytes::new(),
        body: Bytes::new(),
    }
}

/// Returns the kind bytes of the frames sent since the last call.
fn sent_kinds(frames: &mut mpsc::UnboundedReceiver<QueuedFrame>) -> Vec<u8> {
    let mut kinds = Vec::new();
    while let Ok(frame) = frames.try_recv() {
        let frame = frame.to_bytes();
        assert!(Frame::decode(&mut BytesMut::from(&frame[..])).is_ok());
        kinds.push(frame[5]);
    }
    kinds
}

#[tokio::test(start_paused = true)]
async fn quarantine_matches_digest() {
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
                let shared = quarantine.record_crash(&report, now);
                decisions
                    .record(shared.map(|shared| shared.iter().map(to_tuple).collect::<Vec<_>>()));
            }
            3 => decisions.record(quarantine.clear(digest, now)),
            4 => quarantine.remove_expired(now),
            5 => {
                let request = QuarantinedRequest {
                    digest,
                    crashes: random.random_range(1..5),
                    remaining: Duration::from_secs(random.random_range(0..40)),
                };
                decisions.record(quarantine.merge(request, now));
            }
            _ => {}
        }
        // Random jitter delays the release of a request but does not affect the reported times.
        let mut quarantined: Vec<_> = quarantine.quarantined(now).iter().map(to_tuple).collect();
        quarantined.sort();
        decisions.record(quarantined);
    }
    decisions.assert_digest(0xe47a_d82d_e0ee_8b0a, 4521);
}

/// Converts a request to a form whose `Debug` output has no names.
fn to_tuple(request: &QuarantinedRequest) -> (String, u8, u128) {
    (
        request.digest.to_string(),
        request.crashes,
        request.remaining.as_millis(),
    )
}

#[tokio::test(start_paused = true)]
async fn quota_grants_match_digest() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut decisions = Decisions::default();
    let mut owner = OwnedQuotas::new(QuotaSlack {
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
    let mut owner_since = BootInstant::now();
    for _ in 0..20_000 {
        advance(Duration::from_millis(random.random_range(0..6))).await;
        let now = BootInstant::now();
        if random.random_bool(0.0005) {
            owner_since = now;
        }
        let request = QuotaRequest {
            entry: random.random_range(0..5),
            extra_tokens: random.random_range(0..4),
            admitted: random.random_range(0..3),
            spending: Vec::new(),
        };
        let tenant = &tenants[random.random_range(0..2)];
        // The digest covers the texts of the tuples.
        decisions.record(match owner.grant(tenant, request, owner_since, now) {
            QuotaGrant::Tokens { tokens, .. } => ("tokens", u64::from(tokens)),
            QuotaGrant::Exhausted { wait, .. } => ("spent", wait.as_millis() as u64),
            QuotaGrant::NotOwner => ("not home", 0),
        });
        owner.forget_idle(now);
    }
    decisions.assert_digest(0x6d10_aa27_95bb_9eaa, 20_000);
}
