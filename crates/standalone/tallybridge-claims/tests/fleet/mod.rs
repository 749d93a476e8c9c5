//! A simulated fleet of nodes with real claim tables and rounds. Tests deliver, drop, duplicate and
//! reorder the messages in flight between the nodes.

mod attempt;
mod executors;
mod messages;
mod oracle;

use std::collections::BTreeSet;

use tallybridge_claims::{
    Candidate, ClaimTable, PartitionId, PartitionMap, Presence, SKEW_MS, SyncReport, Verdict, plan,
};
use tallybridge_core::{AttemptId, InstanceId, NodeId, RequestKey};
use tallybridge_wire::Message;

use attempt::{Attempt, Phase};
use oracle::Oracle;

/// The partition of every key in the simulation.
pub const PARTITION: PartitionId = PartitionId(0);

const START_UNIX_MS: u64 = 1_800_000_000_000;
const CALL_TIMEOUT_MS: u64 = 60_000;
const KEY_CAPACITY: usize = 1000;
const MAX_DELIVERIES: usize = 2000;

struct Node {
    id: NodeId,
    skew_ms: i64,
    table: ClaimTable,
    map: PartitionMap,
    frozen: bool,
    suspected: bool,
}

struct Envelope {
    from: NodeId,
    to: NodeId,
    message: Message,
    /// The attempt of a claim or query message, or `None` for copies.
    attempt: Option<AttemptId>,
}

pub struct Fleet {
    now_unix_ms: u64,
    store: PartitionMap,
    nodes: Vec<Node>,
    in_flight: Vec<Envelope>,
    keys: Vec<RequestKey>,
    attempts: Vec<Attempt>,
    reports: BTreeSet<SyncReport>,
    oracle: Oracle,
    last_issued_number: u64,
}

fn node_id(index: usize, instance: u64) -> NodeId {
    let port = u16::try_from(index + 1).expect("node indices fit in a port");
    NodeId {
        address: ([127, 0, 0, 1], port).into(),
        instance: InstanceId(instance),
    }
}

/// Maps a selector of any size to an index below `length`; returns `None` for an empty list.
fn pick(length: usize, selector: usize) -> Option<usize> {
    (length > 0).then(|| selector % length)
}

impl Fleet {
    /// Creates nodes with the given clock skews, and one key for each entry of `max_runs`.
    pub fn new(skews_ms: &[i64], max_runs: &[u8]) -> Self {
        let mut fleet = Self {
            now_unix_ms: START_UNIX_MS,
            store: PartitionMap::default(),
            nodes: Vec::new(),
            in_flight: Vec::new(),
            keys: Vec::new(),
            attempts: Vec::new(),
            reports: BTreeSet::new(),
            oracle: Oracle::default(),
            last_issued_number: 0,
        };
        for (index, skew_ms) in skews_ms.iter().enumerate() {
            let id = node_id(index, index as u64 + 1);
            fleet.nodes.push(Node {
                id,
                skew_ms: *skew_ms,
                table: ClaimTable::new(id, KEY_CAPACITY),
                map: PartitionMap::default(),
                frozen: false,
                suspected: false,
            });
        }
        for key_max_runs in max_runs {
            let key = fleet.issue_key(*key_max_runs, 0);
            fleet.keys.push(key);
        }
        fleet.plan(0);
        (0..skews_ms.len()).for_each(|index| fleet.apply_map(index));
        fleet
    }

    fn issue_key(&mut self, max_runs: u8, skew_ms: i64) -> RequestKey {
        loop {
            self.last_issued_number += 1;
            let key = RequestKey {
                issued_unix_ms: self.now_unix_ms.saturating_add_signed(skew_ms),
                digest: u128::from(self.last_issued_number),
            };
            if PartitionId::of(&key) == PARTITION {
                self.oracle.add_request(key, max_runs);
                return key;
            }
        }
    }

    /// Replaces a key by a new one with the same number of allowed runs.
    pub fn renew_key(&mut self, selector: usize, skew_ms: i64) {
        let index = pick(self.keys.len(), selector).expect("the fleet has keys");
        let max_runs = self.oracle.max_runs(&self.keys[index]);
        self.keys[index] = self.issue_key(max_runs, skew_ms);
    }

    fn node_index(&self, selector: usize) -> usize {
        selector % self.nodes.len()
    }

    fn clock(&self, index: usize) -> u64 {
        self.now_unix_ms
            .saturating_add_signed(self.nodes[index].skew_ms)
    }

    fn index_of(&self, id: NodeId) -> Option<usize> {
        self.nodes.iter().position(|node| node.id == id)
    }

    fn post(&mut self, from: NodeId, attempt: Option<AttemptId>, messages: Vec<(NodeId, Message)>) {
        let envelopes = messages.into_iter().map(|(to, message)| Envelope {
            from,
            to,
            message,
            attempt,
        });
        self.in_flight.extend(envelopes);
    }

    pub fn freeze(&mut self, selector: usize, frozen: bool) {
        let index = self.node_index(selector);
        self.nodes[index].frozen = frozen;
    }

    pub fn suspect(&mut self, selector: usize, suspected: bool) {
        let index = self.node_index(selector);
        self.nodes[index].suspected = suspected;
    }

    /// Replaces a node by a new instance with an empty table at the same address.
    pub fn replace_node(&mut self, selector: usize) {
        let index = self.node_index(selector);
        self.last_issued_number += 1;
        let id = node_id(index, 1000 + self.last_issued_number);
        let node = &mut self.nodes[index];
        node.id = id;
        node.table = ClaimTable::new(id, KEY_CAPACITY);
        node.map = PartitionMap::default();
        node.frozen = false;
        node.suspected = false;
    }

    /// Plans and stores the next map with the given clock skew.
    pub fn plan(&mut self, skew_ms: i64) {
        let candidates = self
            .nodes
            .iter()
            .enumerate()
            .map(|(index, node)| Candidate {
                node: node.id,
                region: "r".into(),
                zone: format!("z{}", index % 3).into(),
                rack: String::new(),
                presence: if node.suspected {
                    Presence::Unavailable
                } else {
                    Presence::Live
                },
            });
        let candidates: Vec<Candidate> = candidates.collect();
        let now = self.now_unix_ms.saturating_add_signed(skew_ms);
        let next = plan(&self.store, &candidates, &self.reports, now);
        assert!(
            next == self.store || next.version() > self.store.version(),
            "a changed map must have a greater version"
        );
        self.store = next;
    }

    /// Plans the next map; all nodes but one apply it, copy missing claims and report.
    pub fn reconfigure(&mut self, lagging_node: usize) {
        self.plan(0);
        let lagging_node = self.node_index(lagging_node);
        let others = (0..self.nodes.len()).filter(|index| *index != lagging_node);
        for index in others.clone() {
            self.apply_map(index);
        }
        for index in others {
            self.copy(index);
            self.deliver_copies();
            self.report(index);
        }
    }

    /// Applies the stored map at a node that is not frozen.
    pub fn apply_map(&mut self, selector: usize) {
        let index = self.node_index(selector);
        if !self.nodes[index].frozen {
            self.nodes[index].map = self.store.clone();
            self.nodes[index].table.apply(&self.store);
        }
    }

    /// Sends the outstanding copy requests of a node.
    pub fn copy(&mut self, selector: usize) {
        let index = self.node_index(selector);
        let node = &self.nodes[index];
        if node.frozen {
            return;
        }
        let requests = node.table.copy_requests().into_iter();
        let requests = requests.filter(|(_, request)| request.partition == PARTITION.0);
        let messages = requests.map(|(to, request)| (to, Message::ClaimCopy(request)));
        let (id, messages) = (node.id, messages.collect());
        self.post(id, None, messages);
    }

    /// Adds the sync reports of a node to the planner's reports.
    pub fn report(&mut self, selector: usize) {
        let index = self.node_index(selector);
        let reports = self.nodes[index].table.sync_reports();
        self.reports
            .extend(reports.filter(|report| report.partition == PARTITION));
    }

    pub fn advance(&mut self, duration_ms: u64) {
        self.now_unix_ms += duration_ms;
    }

    /// Sets the clock skew of a node, which may move its clock back.
    pub fn set_clock_skew(&mut self, selector: usize, skew_ms: i64) {
        let index = self.node_index(selector);
        self.nodes[index].skew_ms = skew_ms;
    }

    pub fn expire(&mut self, selector: usize) {
        let index = self.node_index(selector);
        let now = self.clock(index);
        if !self.nodes[index].frozen {
            self.nodes[index].table.expire(now);
        }
    }

    /// Ends all faults and asserts that a new request is granted a run.
    pub fn assert_recovers(&mut self) {
        for index in 0..self.nodes.len() {
            self.freeze(index, false);
            self.suspect(index, false);
        }
        for _ in 0..6 {
            self.plan(0);
            for index in 0..self.nodes.len() {
                self.apply_map(index);
                self.copy(index);
                self.deliver_all();
                self.report(index);
            }
        }
        self.advance(5 * SKEW_MS);
        self.renew_key(0, 0);
        self.call(0, 0, false);
        self.deliver_all();
        let Phase::Claiming(round) = &self
            .attempts
            .last()
            .expect("the fleet has an attempt")
            .phase
        else {
            panic!("the new request is not claiming a run");
        };
        assert_eq!(*round.verdict(), Verdict::Granted { run: 1 });
    }
}
