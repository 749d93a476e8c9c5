//! One node process: a table, its random source and what it has heard.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::SmallRng};
use tallybridge_core::NodeId;
use tallybridge_membership::{
    Health, Incarnation, MemberEvent, MemberIdentity, MemberTable, MembershipSettings, Outgoing,
    probe, receive,
};
use tallybridge_wire::{decode_datagram, encode_datagram};

/// Datagrams that a frozen process finds when it wakes; more are lost, as in a socket's buffer.
const SOCKET_BUFFER: usize = 200;

/// A datagram in its bytes and who sent it.
pub type Received = (SocketAddr, Vec<u8>);

/// A node process.
pub struct Process {
    pub table: MemberTable,
    rng: SmallRng,
    pub frozen: bool,
    inbox: Vec<Received>,
    /// Highest belief seen so far about each member.
    believed: BTreeMap<NodeId, (Incarnation, Health)>,
    /// Revision to take over, as after a fetch from the peer that is ahead.
    pub fetched: Option<u64>,
    /// Time spent in the table and in encoding, for measurements.
    pub busy: Duration,
    pub events: Vec<MemberEvent>,
    pub keep_events: bool,
}

impl Process {
    pub fn start(
        identity: MemberIdentity,
        settings: MembershipSettings,
        seeds: &[SocketAddr],
        seed: u64,
        now: Instant,
    ) -> Self {
        let mut table = MemberTable::new(identity, settings, now);
        table.join(seeds);
        Self {
            table,
            rng: SmallRng::seed_from_u64(seed),
            frozen: false,
            inbox: Vec::new(),
            believed: BTreeMap::new(),
            fetched: None,
            busy: Duration::ZERO,
            events: Vec::new(),
            keep_events: false,
        }
    }

    /// One tick.
    pub fn tick(&mut self, now: Instant) -> Vec<(SocketAddr, Vec<u8>)> {
        if self.frozen {
            return Vec::new();
        }
        let began = Instant::now();
        if let Some(revision) = self.fetched.take() {
            self.table.set_revision(revision);
        }
        let outgoing = probe::run(&mut self.table, now, &mut self.rng);
        let bytes = encoded(&outgoing);
        self.take_events();
        self.busy += began.elapsed();
        bytes
    }

    /// Takes in a datagram, or keeps it while frozen.
    pub fn deliver(&mut self, received: Received, now: Instant) -> Vec<(SocketAddr, Vec<u8>)> {
        if self.frozen {
            if self.inbox.len() < SOCKET_BUFFER {
                self.inbox.push(received);
            }
            return Vec::new();
        }
        let began = Instant::now();
        let (from, bytes) = received;
        let datagram = decode_datagram(&bytes).expect("whole datagram");
        let outgoing = receive(&mut self.table, from, datagram, now, &mut self.rng);
        let answers = encoded(&outgoing);
        self.take_events();
        self.busy += began.elapsed();
        answers
    }

    /// Goes on after a freeze, with what waited in the socket.
    pub fn thaw(&mut self, now: Instant) -> Vec<(SocketAddr, Vec<u8>)> {
        self.frozen = false;
        let inbox = std::mem::take(&mut self.inbox);
        inbox
            .into_iter()
            .flat_map(|received| self.deliver(received, now))
            .collect()
    }

    fn take_events(&mut self) {
        for event in self.table.events() {
            if let MemberEvent::PeerAhead { revision, .. } = event {
                self.fetched = self.fetched.max(Some(revision));
            }
            if self.keep_events {
                self.events.push(event);
            }
        }
    }

    /// Panics when a belief about a member went back.
    pub fn check_monotonic(&mut self) {
        for record in self.table.members() {
            let now = record.precedence();
            let before = self.believed.insert(record.node, now);
            assert!(
                before.is_none_or(|before| before <= now),
                "{} went back on {}: {before:?} to {now:?}",
                self.table.identity(),
                record.node
            );
        }
    }
}

fn encoded(outgoing: &[Outgoing]) -> Vec<(SocketAddr, Vec<u8>)> {
    outgoing
        .iter()
        .map(|outgoing| {
            let bytes = encode_datagram(&outgoing.datagram).expect("fits");
            assert_eq!(bytes.len(), outgoing.datagram.encoded_len());
            (outgoing.to, bytes)
        })
        .collect()
}
