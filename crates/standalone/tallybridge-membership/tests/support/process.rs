//! Simulated node process with a member table.

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

/// Capacity of the simulated socket buffer of a frozen process; further datagrams are lost.
const SOCKET_BUFFER_DATAGRAMS: usize = 200;

/// Sender address and encoded datagram.
pub type Received = (SocketAddr, Vec<u8>);

pub struct Process {
    pub table: MemberTable,
    rng: SmallRng,
    pub frozen: bool,
    inbox: Vec<Received>,
    /// Latest precedence of each member's record.
    latest_precedence: BTreeMap<NodeId, (Incarnation, Health)>,
    /// Revision to apply at the next tick, which simulates a fetch from the peer that is ahead.
    pub fetched: Option<u64>,
    /// Wall-clock time spent in the table, in decoding and in encoding.
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
            latest_precedence: BTreeMap::new(),
            fetched: None,
            busy: Duration::ZERO,
            events: Vec::new(),
            keep_events: false,
        }
    }

    /// Runs one tick and returns the datagrams to send; does nothing while frozen.
    pub fn tick(&mut self, now: Instant) -> Vec<(SocketAddr, Vec<u8>)> {
        if self.frozen {
            return Vec::new();
        }
        let started_at = Instant::now();
        if let Some(revision) = self.fetched.take() {
            self.table.set_revision(revision);
        }
        let outgoing = probe::run(&mut self.table, now, &mut self.rng);
        let bytes = encode_all(&outgoing);
        self.take_events();
        self.busy += started_at.elapsed();
        bytes
    }

    /// Handles a datagram, or buffers it while the process is frozen.
    pub fn deliver(&mut self, received: Received, now: Instant) -> Vec<(SocketAddr, Vec<u8>)> {
        if self.frozen {
            if self.inbox.len() < SOCKET_BUFFER_DATAGRAMS {
                self.inbox.push(received);
            }
            return Vec::new();
        }
        let started_at = Instant::now();
        let (from, bytes) = received;
        let datagram = decode_datagram(&bytes).expect("a delivered datagram decodes");
        let outgoing = receive(&mut self.table, from, datagram, now, &mut self.rng);
        let replies = encode_all(&outgoing);
        self.take_events();
        self.busy += started_at.elapsed();
        replies
    }

    /// Ends a freeze and handles the buffered datagrams.
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

    /// Panics if a record of a member was replaced by an older one.
    pub fn check_precedence(&mut self) {
        for record in self.table.members() {
            let current = record.precedence();
            let previous = self.latest_precedence.insert(record.node, current);
            assert!(
                previous.is_none_or(|previous| previous <= current),
                "{} replaced its record of {} with an older one: {previous:?} to {current:?}",
                self.table.identity(),
                record.node
            );
        }
    }
}

fn encode_all(outgoing: &[Outgoing]) -> Vec<(SocketAddr, Vec<u8>)> {
    outgoing
        .iter()
        .map(|outgoing| {
            let bytes = encode_datagram(&outgoing.datagram).expect("an outgoing datagram encodes");
            assert_eq!(bytes.len(), outgoing.datagram.encoded_len());
            (outgoing.to, bytes)
        })
        .collect()
}
