//! A fleet of nodes with real claim tables and rounds, and a pool of messages in flight between
//! them that are delivered, lost, repeated and reordered at will.

mod attempt;
mod oracle;

use std::collections::BTreeSet;

use tallybridge_claims::{
    Candidate, ClaimRound, ClaimTable, PartitionId, PartitionMap, Presence, QueryRound, SKEW_MS,
    SyncReport, Verdict, plan,
};
use tallybridge_core::{AttemptId, InstanceId, NodeId, RequestKey};
use tallybridge_wire::{
    Message,
    claim::{ClaimPage, PageContent},
};

use attempt::{Attempt, Phase, answer};
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

    /// A caller sends a request to a node that has a slot for it, or has none and refuses it.
    pub fn call(&mut self, node: usize, key: usize, refused: bool) {
        let (index, key) = (self.node(node), self.keys[key % self.keys.len()]);
        let executor = self.nodes[index].id;
        let Some(entry) = self.nodes[index].map.entry(PARTITION) else {
            return;
        };
        if self.nodes[index].frozen {
            return;
        }
        let id = AttemptId {
            instance: executor.instance,
            sequence: self.attempts.len() as u64 + 1,
        };
        let phase = if refused {
            Phase::Refused {
                query: QueryRound::new(entry, key, id),
                runs_before: self.oracle.runs(&key),
            }
        } else {
            Phase::Claiming(ClaimRound::new(entry, key, id, self.oracle.max_runs(&key)))
        };
        let attempt = Attempt {
            id,
            executor,
            key,
            deadline_unix_ms: self.clock(index) + PATIENCE_MS,
            phase,
        };
        self.post(executor, Some(id), attempt.pending());
        self.attempts.push(attempt);
    }

    /// The attempts of running, unfrozen nodes that are in a phase.
    fn attempts_in(&self, phase: impl Fn(&Phase) -> bool) -> Vec<usize> {
        let is_awake = |attempt: &Attempt| {
            let index = self.index_of(attempt.executor);
            index.is_some_and(|index| !self.nodes[index].frozen)
        };
        let attempts = self.attempts.iter().enumerate();
        let matching = attempts.filter(|(_, one)| phase(&one.phase) && is_awake(one));
        matching.map(|(index, _)| index).collect()
    }

    fn choose(&self, selector: usize, phase: impl Fn(&Phase) -> bool) -> Option<usize> {
        let matching = self.attempts_in(phase);
        pick(matching.len(), selector).map(|position| matching[position])
    }

    /// An executor that was granted a run hands the call to its back end, or finds it too late.
    pub fn run(&mut self, selector: usize) {
        let granted = |phase: &Phase| matches!(phase, Phase::Claiming(round) if matches!(round.verdict(), Verdict::Granted { .. }));
        let Some(index) = self.choose(selector, granted) else {
            return;
        };
        let now = self.clock(self.index_of(self.attempts[index].executor).expect("awake"));
        let attempt = &mut self.attempts[index];
        let Phase::Claiming(round) = &attempt.phase else {
            unreachable!("chosen as granted");
        };
        if round.may_run(attempt.deadline_unix_ms, now) {
            let number = self.oracle.run(&attempt.key, attempt.id);
            attempt.phase = Phase::Running(round.clone(), number);
        } else {
            self.refuse_attempt(index);
        }
    }

    /// A back end answers.
    pub fn finish(&mut self, selector: usize) {
        let running = |phase: &Phase| matches!(phase, Phase::Running(..));
        let Some(index) = self.choose(selector, running) else {
            return;
        };
        let attempt = &mut self.attempts[index];
        let Phase::Running(round, number) = std::mem::replace(&mut attempt.phase, Phase::Done)
        else {
            unreachable!("chosen as running");
        };
        let message = Message::ClaimFinish(round.finish(answer(number)));
        let messages = round.replicas().iter().map(|to| (*to, message.clone()));
        let (executor, id) = (attempt.executor, attempt.id);
        self.post(executor, Some(id), messages.collect());
    }

    /// An executor gives up on an attempt that has not run.
    pub fn refuse(&mut self, selector: usize) {
        if let Some(index) = self.choose(selector, |phase| matches!(phase, Phase::Claiming(_))) {
            self.refuse_attempt(index);
        }
    }

    fn refuse_attempt(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        let messages = attempt.refuse(&mut self.oracle);
        let (executor, id) = (attempt.executor, attempt.id);
        self.post(executor, Some(id), messages);
    }

    /// An executor asks again, with its newest map when the replicas know a newer one.
    pub fn resend(&mut self, selector: usize) {
        let waiting = |phase: &Phase| matches!(phase, Phase::Claiming(_) | Phase::Refused { .. });
        let Some(index) = self.choose(selector, waiting) else {
            return;
        };
        let executor = self.attempts[index].executor;
        let node = self.index_of(executor).expect("awake");
        let entry = self.nodes[node].map.entry(PARTITION).expect("had a map");
        let attempt = &mut self.attempts[index];
        if let Phase::Claiming(round) = &attempt.phase
            && let Verdict::StaleEpoch { current } = *round.verdict()
            && entry.epoch >= current
        {
            attempt.phase = Phase::Claiming(round.clone().restart(entry));
        }
        let (id, messages) = (attempt.id, attempt.pending());
        self.post(executor, Some(id), messages);
    }

    /// An executor stops waiting for a replica.
    pub fn fail(&mut self, selector: usize) {
        let waiting = |phase: &Phase| matches!(phase, Phase::Claiming(_) | Phase::Refused { .. });
        let Some(index) = self.choose(selector, waiting) else {
            return;
        };
        let attempt = &mut self.attempts[index];
        let messages = attempt.fail(&mut self.oracle);
        let (executor, id) = (attempt.executor, attempt.id);
        self.post(executor, Some(id), messages);
    }

    /// Delivers a message in flight; one to a frozen node waits, one to a dead one is lost.
    pub fn deliver(&mut self, selector: usize) {
        let Some(position) = pick(self.pool.len(), selector) else {
            return;
        };
        let to = self.pool[position].to;
        match self.index_of(to) {
            Some(index) if self.nodes[index].frozen => {}
            Some(index) => {
                let envelope = self.pool.remove(position);
                self.receive(index, envelope);
            }
            None => {
                self.pool.remove(position);
            }
        }
    }

    /// Delivers what is in flight to one node.
    pub fn deliver_to(&mut self, selector: usize) {
        let to = self.nodes[self.node(selector)].id;
        let pending = self.pool.iter().filter(|one| one.to == to).count();
        for _ in 0..pending {
            if let Some(position) = self.pool.iter().position(|one| one.to == to) {
                self.deliver(position);
            }
        }
    }

    /// Delivers everything in order until nothing is in flight but to frozen nodes.
    pub fn settle(&mut self) {
        for _ in 0..SETTLE_STEPS {
            let awake = |one: &Envelope| {
                let index = self.index_of(one.to);
                index.is_none_or(|index| !self.nodes[index].frozen)
            };
            let Some(position) = self.pool.iter().position(awake) else {
                return;
            };
            self.deliver(position);
        }
    }

    fn receive(&mut self, index: usize, envelope: Envelope) {
        let message = over_the_wire(&envelope.message);
        let now = self.clock(index);
        let node = &mut self.nodes[index];
        let (here, from, id) = (node.id, envelope.from, envelope.attempt);
        if let Some(reply) = node.table.handle(from, &message, now) {
            self.post(here, id, vec![(from, reply)]);
        }
        if matches!(&message, Message::ClaimPage(page) if asks_further(page)) {
            self.copy(index);
        }
        let attempt = self
            .attempts
            .iter_mut()
            .find(|one| Some(one.id) == id && one.executor == here);
        if let Some(attempt) = attempt {
            let messages = attempt.reply(from, &message, &mut self.oracle);
            self.post(here, id, messages);
        }
    }

    pub fn lose(&mut self, selector: usize) {
        if let Some(position) = pick(self.pool.len(), selector) {
            self.pool.remove(position);
        }
    }

    pub fn repeat(&mut self, selector: usize) {
        if let Some(position) = pick(self.pool.len(), selector) {
            let one = &self.pool[position];
            let (from, to, message, attempt) = (one.from, one.to, one.message.clone(), one.attempt);
            self.post(from, attempt, vec![(to, message)]);
        }
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
        self.store = plan(&self.store, &candidates, &self.reports, now);
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

fn asks_further(page: &ClaimPage) -> bool {
    matches!(page.content, PageContent::Claims { more: 1, .. })
}

fn over_the_wire(message: &Message) -> Message {
    let payload = message.to_payload().expect("encodes");
    Message::from_payload(message.kind(), &payload).expect("decodes")
}
