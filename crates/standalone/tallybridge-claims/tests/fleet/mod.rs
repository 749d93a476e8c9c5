//! A fleet of nodes with real claim tables and rounds, and a pool of messages in flight between
//! them that are delivered, lost, repeated and reordered at will.

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

/// The one partition that every key of a test belongs to.
pub const PARTITION: PartitionId = PartitionId(0);

const START_UNIX_MS: u64 = 1_800_000_000_000;
const PATIENCE_MS: u64 = 60_000;
const KEY_CAPACITY: usize = 1000;
const SETTLE_STEPS: usize = 2000;

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
    /// The attempt that a claim, a query or its reply belongs to.
    attempt: Option<AttemptId>,
}

pub struct Fleet {
    now_unix_ms: u64,
    store: PartitionMap,
    nodes: Vec<Node>,
    pool: Vec<Envelope>,
    keys: Vec<RequestKey>,
    attempts: Vec<Attempt>,
    reports: BTreeSet<SyncReport>,
    oracle: Oracle,
    issued: u64,
}

fn node_id(index: usize, instance: u64) -> NodeId {
    let port = u16::try_from(index + 1).expect("few nodes");
    NodeId {
        address: ([127, 0, 0, 1], port).into(),
        instance: InstanceId(instance),
    }
}

/// Picks one of a list by a number of any size.
fn pick(length: usize, selector: usize) -> Option<usize> {
    (length > 0).then(|| selector % length)
}

impl Fleet {
    /// Nodes with these clock skews, and one key for each entry of `max_runs`.
    pub fn new(skews_ms: &[i64], max_runs: &[u8]) -> Self {
        let mut fleet = Self {
            now_unix_ms: START_UNIX_MS,
            store: PartitionMap::default(),
            nodes: Vec::new(),
            pool: Vec::new(),
            keys: Vec::new(),
            attempts: Vec::new(),
            reports: BTreeSet::new(),
            oracle: Oracle::default(),
            issued: 0,
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
        for runs in max_runs {
            let key = fleet.issue(*runs, 0);
            fleet.keys.push(key);
        }
        fleet.plan(0);
        (0..skews_ms.len()).for_each(|index| fleet.learn(index));
        fleet
    }

    fn issue(&mut self, max_runs: u8, skew_ms: i64) -> RequestKey {
        loop {
            self.issued += 1;
            let key = RequestKey {
                issued_unix_ms: self.now_unix_ms.saturating_add_signed(skew_ms),
                digest: u128::from(self.issued),
            };
            if PartitionId::of(&key) == PARTITION {
                self.oracle.issued(key, max_runs);
                return key;
            }
        }
    }

    /// The caller behind a key goes on to its next request.
    pub fn renew_key(&mut self, selector: usize, skew_ms: i64) {
        let index = pick(self.keys.len(), selector).expect("keys");
        let max_runs = self.oracle.max_runs(&self.keys[index]);
        self.keys[index] = self.issue(max_runs, skew_ms);
    }

    fn node(&self, selector: usize) -> usize {
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
        self.pool.extend(envelopes);
    }

    pub fn freeze(&mut self, selector: usize, frozen: bool) {
        let index = self.node(selector);
        self.nodes[index].frozen = frozen;
    }

    pub fn suspect(&mut self, selector: usize, suspected: bool) {
        let index = self.node(selector);
        self.nodes[index].suspected = suspected;
    }

    /// Replaces a node: another process with an empty memory listens at its address.
    pub fn kill(&mut self, selector: usize) {
        let index = self.node(selector);
        self.issued += 1;
        let id = node_id(index, 1000 + self.issued);
        let node = &mut self.nodes[index];
        node.id = id;
        node.table = ClaimTable::new(id, KEY_CAPACITY);
        node.map = PartitionMap::default();
        node.frozen = false;
        node.suspected = false;
    }

    /// A duty holder with this clock skew plans the next map and stores it.
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
            "a later map has a greater version"
        );
        self.store = next;
    }

    /// Plans anew, and all nodes but one take the map over at once and copy what they lack.
    pub fn reconfigure(&mut self, lagging: usize) {
        self.plan(0);
        let lagging = self.node(lagging);
        let others = (0..self.nodes.len()).filter(|index| *index != lagging);
        for index in others.clone() {
            self.learn(index);
        }
        for index in others {
            self.copy(index);
            self.settle_copies();
            self.report(index);
        }
    }

    /// A node takes over the map in the store.
    pub fn learn(&mut self, selector: usize) {
        let index = self.node(selector);
        if !self.nodes[index].frozen {
            self.nodes[index].map = self.store.clone();
            self.nodes[index].table.apply(&self.store);
        }
    }

    /// A node asks for the claims that it lacks.
    pub fn copy(&mut self, selector: usize) {
        let index = self.node(selector);
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

    /// The planner hears which partitions a node can vote on.
    pub fn report(&mut self, selector: usize) {
        let index = self.node(selector);
        let reports = self.nodes[index].table.sync_reports();
        self.reports
            .extend(reports.filter(|one| one.partition == PARTITION));
    }

    pub fn advance(&mut self, milliseconds: u64) {
        self.now_unix_ms += milliseconds;
    }

    /// A node's clock is set, ahead or back.
    pub fn step_clock(&mut self, selector: usize, skew_ms: i64) {
        let index = self.node(selector);
        self.nodes[index].skew_ms = skew_ms;
    }

    pub fn expire(&mut self, selector: usize) {
        let index = self.node(selector);
        let now = self.clock(index);
        if !self.nodes[index].frozen {
            self.nodes[index].table.expire(now);
        }
    }

    /// Once faults have ended, a new request is granted.
    pub fn heals(&mut self) {
        for index in 0..self.nodes.len() {
            self.freeze(index, false);
            self.suspect(index, false);
        }
        for _ in 0..6 {
            self.plan(0);
            for index in 0..self.nodes.len() {
                self.learn(index);
                self.copy(index);
                self.settle();
                self.report(index);
            }
        }
        self.advance(5 * SKEW_MS);
        self.renew_key(0, 0);
        self.call(0, 0, false);
        self.settle();
        let Phase::Claiming(round) = &self.attempts.last().expect("called").phase else {
            panic!("a new request is refused");
        };
        assert_eq!(*round.verdict(), Verdict::Granted { run: 1 });
    }
}
