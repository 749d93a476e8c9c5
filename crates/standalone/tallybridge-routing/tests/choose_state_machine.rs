//! Compares random sequences of membership changes, choices and attempt ends with an oracle.
//!
//! The oracle is the set of endpoints that take new work and the number of attempts in flight for
//! each node.
//!
//! To run more cases with another seed: `PROPTEST_CASES=10000 PROPTEST_RNG_SEED=<number> cargo test
//! -p tallybridge-routing --test choose_state_machine --release`.

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

const SERVICE_COUNT: u8 = 2;
const ADDRESS_COUNT: u8 = 10;
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

/// An address keeps its service, zone and region. Only its instance changes.
fn endpoint(address: u8, instance: u64) -> Endpoint {
    let region = if address < 8 { "near" } else { "far" };
    Endpoint {
        node: node(address, instance),
        service: service(address % SERVICE_COUNT),
        region: region.into(),
        zone: format!("zone-{}", address / SERVICE_COUNT % 3).into(),
    }
}

/// End of an attempt. The test adds the latency when it makes an [`AttemptResult`].
#[derive(Debug, Clone, Copy)]
enum AttemptEnd {
    Answered,
    AnsweredLeaving,
    Refused,
    Failed,
    Cancelled,
}

#[derive(Debug, Clone)]
enum Transition {
    /// Adds the address to the members, or removes it if it is already a member.
    ToggleMember(u8),
    /// Replaces the instance at the address.
    Restart(u8),
    Leave(u8),
    Choose {
        service: u8,
        excluded: BTreeSet<u8>,
    },
    Finish {
        attempt: Index,
        end: AttemptEnd,
    },
    FinishUnknown(u8),
    Advance(Duration),
}

/// Members by address, with their instances. A member that left after announcing its end returns as
/// another instance.
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

    fn restart(&mut self, address: u8) {
        *self.instances.entry(address).or_default() += 1;
    }

    fn toggle(&mut self, address: u8) {
        if self.present.remove(&address) {
            return;
        }
        if self.leaving.contains(&self.current(address)) {
            self.restart(address);
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
        let address = || 0..ADDRESS_COUNT;
        let excluded = prop::collection::btree_set(address(), 0..4);
        let end = prop_oneof![
            6 => Just(AttemptEnd::Answered),
            1 => Just(AttemptEnd::AnsweredLeaving),
            3 => Just(AttemptEnd::Refused),
            6 => Just(AttemptEnd::Failed),
            2 => Just(AttemptEnd::Cancelled),
        ];
        prop_oneof![
            4 => address().prop_map(Transition::ToggleMember),
            1 => address().prop_map(Transition::Restart),
            1 => address().prop_map(Transition::Leave),
            12 => (0..SERVICE_COUNT, excluded)
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
            Transition::Restart(address) => state.restart(*address),
            Transition::Leave(address) => {
                state.leaving.insert(state.current(*address));
            }
            _ => {}
        }
        state
    }
}

/// The table under test, with its attempts in flight.
struct Router {
    table: EndpointTable,
    rng: SmallRng,
    now: Instant,
    attempts: Vec<(NodeId, Instant)>,
    /// Nodes whose answers reported that they are leaving.
    reported_leaving: BTreeSet<NodeId>,
}

impl Router {
    fn takes_new_work(&self, members: &Members, address: u8) -> bool {
        let node = members.current(address);
        members.present.contains(&address)
            && !members.leaving.contains(&node)
            && !self.reported_leaving.contains(&node)
    }

    fn choose(&mut self, members: &Members, service_number: u8, excluded: &BTreeSet<u8>) {
        let mut present = members.present.clone();
        present.retain(|address| address % SERVICE_COUNT == service_number);
        let mut accepting = present.clone();
        accepting.retain(|address| self.takes_new_work(members, *address));
        let eligible: BTreeSet<NodeId> = accepting
            .difference(excluded)
            .map(|address| members.current(*address))
            .collect();
        let excluded: Vec<NodeId> = excluded
            .iter()
            .map(|address| members.current(*address))
            .collect();
        let chosen =
            self.table
                .choose(&service(service_number), &excluded, self.now, &mut self.rng);
        match chosen {
            Ok(node) => {
                assert!(
                    eligible.contains(&node),
                    "{node} was chosen, but only {eligible:?} are eligible"
                );
                self.attempts.push((node, self.now));
            }
            Err(reason) => {
                assert!(
                    eligible.is_empty(),
                    "choice failed ({reason}), but {eligible:?} are eligible"
                );
                let expected = if present.is_empty() {
                    NoEndpoint::UnknownService
                } else if accepting.is_empty() {
                    NoEndpoint::AllLeaving
                } else {
                    NoEndpoint::AllExcluded
                };
                assert_eq!(reason, expected);
            }
        }
    }

    fn finish(&mut self, attempt: &Index, end: AttemptEnd) {
        if self.attempts.is_empty() {
            return;
        }
        let (node, start) = self.attempts.remove(attempt.index(self.attempts.len()));
        let load = LoadReport {
            in_flight: 3,
            limit: 10,
            leaving: matches!(end, AttemptEnd::AnsweredLeaving),
            ..LoadReport::default()
        };
        let latency = self.now - start;
        let result = match end {
            AttemptEnd::Answered | AttemptEnd::AnsweredLeaving => {
                AttemptResult::Answered { latency, load }
            }
            AttemptEnd::Refused => AttemptResult::RefusedNotRun { load: Some(load) },
            AttemptEnd::Failed => AttemptResult::Failed,
            AttemptEnd::Cancelled => AttemptResult::Cancelled,
        };
        if load.leaving {
            self.reported_leaving.insert(node);
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
            reported_leaving: BTreeSet::new(),
        }
    }

    fn apply(mut router: Self, members: &Members, transition: Transition) -> Self {
        router.now += Duration::from_millis(1);
        match transition {
            Transition::ToggleMember(address) => {
                let node = members.current(address);
                if router.reported_leaving.contains(&node) && members.present.contains(&address) {
                    // The table forgets that a removed node reported its end, unless an attempt in
                    // flight keeps its row. The oracle forgets it in the same case.
                    let is_kept = router
                        .attempts
                        .iter()
                        .any(|(attempted, _)| *attempted == node);
                    if !is_kept {
                        router.reported_leaving.remove(&node);
                    }
                }
                router.table.set_endpoints(members.endpoints(), router.now);
            }
            Transition::Restart(_) => router.table.set_endpoints(members.endpoints(), router.now),
            Transition::Leave(address) => router.table.mark_leaving(members.current(address)),
            Transition::Choose { service, excluded } => router.choose(members, service, &excluded),
            Transition::Finish { attempt, end } => router.finish(&attempt, end),
            Transition::FinishUnknown(address) => {
                let unknown_node = node(address, u64::MAX);
                router
                    .table
                    .finish(unknown_node, AttemptResult::Failed, router.now);
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
        assert_eq!(
            counted, in_flight,
            "attempts in flight differ from the oracle"
        );
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
        assert_eq!(listed, expected, "members differ from the oracle");
        for number in 0..SERVICE_COUNT {
            assert_ejections_are_bounded(&rows, &service(number));
        }
    }
}

/// Checks that at most half of the endpoints are ejected. With two or three endpoints, one may be. A
/// single endpoint never is.
fn assert_ejections_are_bounded(rows: &[EndpointStatus], service: &ServiceName) {
    let accepts_work = |row: &&EndpointStatus| {
        row.endpoint.service == *service
            && !matches!(row.state, EndpointState::Gone | EndpointState::Leaving)
    };
    let accepting = rows.iter().filter(accepts_work);
    let ejected = accepting
        .clone()
        .filter(|row| row.state == EndpointState::Ejected)
        .count();
    let max_ejected = match accepting.count() {
        0 | 1 => 0,
        count => (count / 2).max(1),
    };
    assert!(
        ejected <= max_ejected,
        "{ejected} endpoints are ejected, but at most {max_ejected} may be"
    );
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
