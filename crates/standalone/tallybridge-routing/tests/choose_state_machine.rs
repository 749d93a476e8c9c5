//! Random sequences of membership changes, choices and ends of attempts against a plain oracle:
//! the set of endpoints that take new work and a count of attempts for each node.
//!
//! Long run with fresh seeds: `PROPTEST_CASES=10000 PROPTEST_RNG_SEED=<number> cargo test -p
//! tallybridge-routing --test choose_state_machine --release`.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use proptest::{
    prelude::*,
    sample::Index,
    test_runner::{Config, RngAlgorithm, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::{SeedableRng, rngs::SmallRng};
use tallybridge_core::{InstanceId, LoadReport, NodeId, ServiceName};
use tallybridge_routing::{
    AttemptResult, Endpoint, EndpointState, EndpointStatus, EndpointTable, Locality, NoEndpoint,
    RoutingSettings,
};

const SERVICES: u8 = 2;
const ADDRESSES: u8 = 10;
const SEED: u64 = 7;

fn service(number: u8) -> ServiceName {
    format!("service-{number}").into()
}

fn node(address: u8, instance: u64) -> NodeId {
    NodeId {
        address: SocketAddr::from(([127, 0, 1, address], 7000)),
        instance: InstanceId(instance),
    }
}

/// An address keeps its service, zone and region; only the instance changes.
fn endpoint(address: u8, instance: u64) -> Endpoint {
    let region = if address < 8 { "near" } else { "far" };
    Endpoint {
        node: node(address, instance),
        service: service(address % SERVICES),
        region: region.into(),
        zone: format!("zone-{}", address / SERVICES % 3).into(),
    }
}

/// How an attempt ends, to be made into an [`AttemptResult`] where its latency is known.
#[derive(Debug, Clone, Copy)]
enum End {
    Answered,
    AnsweredLeaving,
    Refused,
    Failed,
    Cancelled,
}

#[derive(Debug, Clone)]
enum Transition {
    /// The address joins or, if it is a member, goes.
    ToggleMember(u8),
    /// The member at the address is replaced by another instance.
    Restart(u8),
    Leave(u8),
    Choose {
        service: u8,
        excluded: BTreeSet<u8>,
    },
    Finish {
        attempt: Index,
        end: End,
    },
    FinishUnknown(u8),
    Advance(Duration),
}

/// Members by address with their instance. An instance that went comes back only as another one if
/// it was leaving.
#[derive(Debug, Clone, Default)]
struct Members {
    instances: BTreeMap<u8, u64>,
    present: BTreeSet<u8>,
    leaving: BTreeSet<NodeId>,
}

impl Members {
    fn current(&self, address: u8) -> NodeId {
        node(address, self.instances.get(&address).copied().unwrap_or(0))
    }

    fn replace(&mut self, address: u8) {
        *self.instances.entry(address).or_default() += 1;
    }

    fn toggle(&mut self, address: u8) {
        if self.present.remove(&address) {
            return;
        }
        if self.leaving.contains(&self.current(address)) {
            self.replace(address);
        }
        self.present.insert(address);
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        let endpoint_at = |address: &u8| endpoint(*address, self.current(*address).instance.0);
        self.present.iter().map(endpoint_at).collect()
    }
}

impl ReferenceStateMachine for Members {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let address = || 0..ADDRESSES;
        let excluded = prop::collection::btree_set(address(), 0..4);
        let end = prop_oneof![
            6 => Just(End::Answered),
            1 => Just(End::AnsweredLeaving),
            3 => Just(End::Refused),
            6 => Just(End::Failed),
            2 => Just(End::Cancelled),
        ];
        prop_oneof![
            4 => address().prop_map(Transition::ToggleMember),
            1 => address().prop_map(Transition::Restart),
            1 => address().prop_map(Transition::Leave),
            12 => (0..SERVICES, excluded)
                .prop_map(|(service, excluded)| Transition::Choose { service, excluded }),
            9 => (any::<Index>(), end)
                .prop_map(|(attempt, end)| Transition::Finish { attempt, end }),
            1 => address().prop_map(Transition::FinishUnknown),
            3 => (1..3000_u64).prop_map(|ms| Transition::Advance(Duration::from_millis(ms))),
        ]
        .boxed()
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        match transition {
            Transition::ToggleMember(address) => state.toggle(*address),
            Transition::Restart(address) => state.replace(*address),
            Transition::Leave(address) => {
                state.leaving.insert(state.current(*address));
            }
            _ => {}
        }
        state
    }
}

/// The table under test, with the attempts that are in flight.
struct Router {
    table: EndpointTable,
    rng: SmallRng,
    now: Instant,
    attempts: Vec<(NodeId, Instant)>,
    /// Nodes that said on an answer that they leave.
    said_leaving: BTreeSet<NodeId>,
}

impl Router {
    fn takes_new_work(&self, members: &Members, address: u8) -> bool {
        let node = members.current(address);
        members.present.contains(&address)
            && !members.leaving.contains(&node)
            && !self.said_leaving.contains(&node)
    }

    fn choose(&mut self, members: &Members, number: u8, excluded: &BTreeSet<u8>) {
        let mut present = members.present.clone();
        present.retain(|address| address % SERVICES == number);
        let mut open = present.clone();
        open.retain(|address| self.takes_new_work(members, *address));
        let eligible: BTreeSet<NodeId> = open
            .difference(excluded)
            .map(|address| members.current(*address))
            .collect();
        let excluded: Vec<NodeId> = excluded.iter().map(|a| members.current(*a)).collect();
        let chosen = self
            .table
            .choose(&service(number), &excluded, self.now, &mut self.rng);
        match chosen {
            Ok(node) => {
                assert!(eligible.contains(&node), "{node} is not of {eligible:?}");
                self.attempts.push((node, self.now));
            }
            Err(reason) => {
                assert!(
                    eligible.is_empty(),
                    "{reason}, but {eligible:?} may be chosen"
                );
                let expected = if present.is_empty() {
                    NoEndpoint::UnknownService
                } else if open.is_empty() {
                    NoEndpoint::AllLeaving
                } else {
                    NoEndpoint::AllExcluded
                };
                assert_eq!(reason, expected);
            }
        }
    }

    fn finish(&mut self, attempt: &Index, end: End) {
        if self.attempts.is_empty() {
            return;
        }
        let (node, start) = self.attempts.remove(attempt.index(self.attempts.len()));
        let load = LoadReport {
            in_flight: 3,
            limit: 10,
            leaving: matches!(end, End::AnsweredLeaving),
            ..LoadReport::default()
        };
        let latency = self.now - start;
        let result = match end {
            End::Answered | End::AnsweredLeaving => AttemptResult::Answered { latency, load },
            End::Refused => AttemptResult::RefusedNotRun { load: Some(load) },
            End::Failed => AttemptResult::Failed,
            End::Cancelled => AttemptResult::Cancelled,
        };
        if load.leaving {
            self.said_leaving.insert(node);
        }
        self.table.finish(node, result, self.now);
    }

    fn in_flight(&self) -> BTreeMap<NodeId, usize> {
        let mut counts = BTreeMap::new();
        for (node, _) in &self.attempts {
            *counts.entry(*node).or_default() += 1;
        }
        counts
    }
}

impl StateMachineTest for Router {
    type SystemUnderTest = Self;
    type Reference = Members;

    fn init_test(_: &Members) -> Self {
        let local = Locality {
            region: "near".into(),
            zone: "zone-0".into(),
        };
        Self {
            table: EndpointTable::new(local, RoutingSettings::default()),
            rng: SmallRng::seed_from_u64(SEED),
            now: Instant::now() + Duration::from_secs(3600),
            attempts: Vec::new(),
            said_leaving: BTreeSet::new(),
        }
    }

    fn apply(mut router: Self, members: &Members, transition: Transition) -> Self {
        router.now += Duration::from_millis(1);
        match transition {
            Transition::ToggleMember(address) => {
                let node = members.current(address);
                if router.said_leaving.contains(&node) && members.present.contains(&address) {
                    // Known again only as long as an attempt keeps its row; the next answer says
                    // that it leaves, so the oracle follows what the table can know.
                    let is_kept = router.attempts.iter().any(|(known, _)| *known == node);
                    if !is_kept {
                        router.said_leaving.remove(&node);
                    }
                }
                router.table.set_endpoints(members.endpoints(), router.now);
            }
            Transition::Restart(_) => router.table.set_endpoints(members.endpoints(), router.now),
            Transition::Leave(address) => router.table.mark_leaving(members.current(address)),
            Transition::Choose { service, excluded } => router.choose(members, service, &excluded),
            Transition::Finish { attempt, end } => router.finish(&attempt, end),
            Transition::FinishUnknown(address) => {
                let stranger = node(address, u64::MAX);
                router
                    .table
                    .finish(stranger, AttemptResult::Failed, router.now);
            }
            Transition::Advance(time) => {
                router.now += time;
                router.table.tick(router.now);
            }
        }
        router
    }

    fn check_invariants(router: &Self, members: &Members) {
        let in_flight = router.in_flight();
        let rows = router.table.snapshot();
        let counted: BTreeMap<NodeId, usize> = rows
            .iter()
            .filter(|row| row.in_flight > 0)
            .map(|row| (row.endpoint.node, row.in_flight))
            .collect();
        assert_eq!(counted, in_flight, "attempts in flight");
        let is_listed = |row: &&EndpointStatus| row.state != EndpointState::Gone;
        let listed: BTreeSet<NodeId> = rows
            .iter()
            .filter(is_listed)
            .map(|row| row.endpoint.node)
            .collect();
        let expected: BTreeSet<NodeId> = members
            .endpoints()
            .iter()
            .map(|member| member.node)
            .collect();
        assert_eq!(listed, expected, "members");
        for number in 0..SERVICES {
            assert_ejections_are_bounded(&rows, &service(number));
        }
    }
}

/// At most half are ejected, but one of two or three may be, and never the only one.
fn assert_ejections_are_bounded(rows: &[EndpointStatus], service: &ServiceName) {
    let is_open = |row: &&EndpointStatus| {
        row.endpoint.service == *service
            && !matches!(row.state, EndpointState::Gone | EndpointState::Leaving)
    };
    let open = rows.iter().filter(is_open);
    let ejected = open
        .clone()
        .filter(|row| row.state == EndpointState::Ejected)
        .count();
    let most = match open.count() {
        0 | 1 => 0,
        count => (count / 2).max(1),
    };
    assert!(ejected <= most, "{ejected} ejected, at most {most}");
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: std::env::var("PROPTEST_CASES")
            .ok()
            .and_then(|cases| cases.parse().ok())
            .unwrap_or(128),
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: std::env::var("PROPTEST_RNG_SEED")
            .ok()
            .and_then(|seed| seed.parse().ok())
            .map_or(RngSeed::Fixed(SEED), RngSeed::Fixed),
        failure_persistence: None,
        ..Config::default()
    })]
    #[test]
    fn choices_and_counts_match_the_oracle(sequential 1..120 => Router);
}
