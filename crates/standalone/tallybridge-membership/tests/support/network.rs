//! Simulated network: slots with fixed addresses, their processes and the datagrams in transit.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tallybridge_core::{InstanceId, NodeId};
use tallybridge_membership::{MemberIdentity, MembershipSettings, Placement};

use super::process::Process;

pub const TICK: Duration = Duration::from_millis(100);

const PORT: u16 = 7400;
const RACKS_PER_ZONE: usize = 8;

/// Faults injected into the delivery of datagrams.
#[derive(Debug, Clone, Default)]
pub struct NetworkFaults {
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is delivered twice.
    pub duplication: f64,
    /// Maximum random delay on top of the minimum delay; reorders datagrams.
    pub jitter: Duration,
    /// Pairs of source and destination zone between which all datagrams are lost.
    pub cuts: BTreeSet<(usize, usize)>,
}

enum SimEvent {
    Tick {
        slot: usize,
        generation: u64,
    },
    Arrival {
        from: SocketAddr,
        to: usize,
        bytes: Vec<u8>,
    },
}

/// Fixed address and the process that runs there, if any.
pub struct Slot {
    pub address: SocketAddr,
    pub zone: usize,
    pub process: Option<Process>,
    /// Number of starts; distinguishes scheduled ticks of earlier processes.
    generation: u64,
    pub sent_bytes: u64,
    pub sent_datagrams: u64,
}

pub struct Network {
    pub slots: Vec<Slot>,
    pub faults: NetworkFaults,
    pub settings: MembershipSettings,
    zones: usize,
    started_at: Instant,
    elapsed: Duration,
    last_event_id: u64,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled_events: BTreeMap<u64, SimEvent>,
    by_address: BTreeMap<SocketAddr, usize>,
    rng: SmallRng,
    pub check_precedence: bool,
}

impl Network {
    /// Creates empty slots and distributes them over the zones; a region has two zones.
    pub fn new(slots: usize, zones: usize, seed: u64) -> Self {
        let slots: Vec<Slot> = (0..slots).map(|index| Slot::new(index, zones)).collect();
        let by_address = slots
            .iter()
            .enumerate()
            .map(|(index, slot)| (slot.address, index))
            .collect();
        Self {
            slots,
            faults: NetworkFaults {
                jitter: Duration::from_millis(20),
                ..NetworkFaults::default()
            },
            settings: MembershipSettings::default(),
            zones,
            started_at: Instant::now(),
            elapsed: Duration::ZERO,
            last_event_id: 0,
            due: BinaryHeap::new(),
            scheduled_events: BTreeMap::new(),
            by_address,
            rng: SmallRng::seed_from_u64(seed),
            check_precedence: true,
        }
    }

    pub fn now(&self) -> Instant {
        self.started_at + self.elapsed
    }

    pub fn elapsed(&self) -> Duration {
        self.elapsed
    }

    /// Starts a new instance in a slot, with the addresses of all slots as seeds.
    pub fn start(&mut self, index: usize) -> NodeId {
        let seeds: Vec<SocketAddr> = self.slots.iter().map(|slot| slot.address).collect();
        let slot = &self.slots[index];
        let node = NodeId {
            address: slot.address,
            instance: InstanceId(self.rng.random()),
        };
        let identity = MemberIdentity {
            node,
            placement: placement(index, slot.zone),
        };
        let seed = self.rng.random();
        let process = Process::start(identity, self.settings.clone(), &seeds, seed, self.now());
        let slot = &mut self.slots[index];
        slot.process = Some(process);
        slot.generation += 1;
        let generation = slot.generation;
        let offset = Duration::from_millis(self.rng.random_range(0..100));
        self.schedule(
            offset,
            SimEvent::Tick {
                slot: index,
                generation,
            },
        );
        node
    }

    pub fn start_all(&mut self) {
        for index in 0..self.slots.len() {
            self.start(index);
        }
    }

    /// Ends the process of a slot without an announcement.
    pub fn kill(&mut self, index: usize) {
        self.slots[index].process = None;
    }

    pub fn freeze(&mut self, index: usize) {
        if let Some(process) = &mut self.slots[index].process {
            process.frozen = true;
        }
    }

    pub fn thaw(&mut self, index: usize) {
        let now = self.now();
        let Some(process) = &mut self.slots[index].process else {
            return;
        };
        if process.frozen {
            let outgoing = process.thaw(now);
            self.send(index, outgoing);
        }
    }

    pub fn leave(&mut self, index: usize) {
        let now = self.now();
        if let Some(process) = &mut self.slots[index].process {
            process.table.leave(now);
        }
    }

    pub fn depart(&mut self, index: usize) {
        let now = self.now();
        if let Some(process) = &mut self.slots[index].process {
            process.table.depart(now);
        }
    }

    /// Drops the datagrams from one zone to another.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.faults.cuts.insert((from, to));
    }

    /// Removes all cuts and losses and thaws all processes; duplication and jitter stay.
    pub fn heal(&mut self) {
        self.faults.cuts.clear();
        self.faults.loss = 0.0;
        for index in 0..self.slots.len() {
            self.thaw(index);
        }
    }

    /// Returns whether there are no cuts, no losses and no frozen processes.
    pub fn is_healed(&self) -> bool {
        let thawed = self.processes().all(|process| !process.frozen);
        thawed && self.faults.cuts.is_empty() && self.faults.loss == 0.0
    }

    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        self.slots.iter().filter_map(|slot| slot.process.as_ref())
    }

    /// Advances the virtual time and handles all events that become due.
    pub fn run(&mut self, time: Duration) {
        let end = self.elapsed + time;
        while let Some(Reverse((at, event_id))) = self.due.peek().copied() {
            if at > end {
                break;
            }
            self.due.pop();
            self.elapsed = at;
            if let Some(event) = self.scheduled_events.remove(&event_id) {
                self.handle_event(event);
            }
        }
        self.elapsed = end;
    }

    /// Advances the time until the condition holds; returns `None` if it does not within the limit.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let started_at = self.elapsed;
        while self.elapsed - started_at <= limit {
            if condition(self) {
                return Some(self.elapsed - started_at);
            }
            self.run(TICK);
        }
        None
    }

    fn handle_event(&mut self, event: SimEvent) {
        let now = self.now();
        let (index, outgoing) = match event {
            SimEvent::Tick { slot, generation } => {
                if self.slots[slot].generation != generation {
                    return;
                }
                let Some(process) = &mut self.slots[slot].process else {
                    return;
                };
                let datagrams = process.tick(now);
                self.schedule(TICK, SimEvent::Tick { slot, generation });
                (slot, datagrams)
            }
            SimEvent::Arrival { from, to, bytes } => {
                let Some(process) = &mut self.slots[to].process else {
                    return;
                };
                (to, process.deliver((from, bytes), now))
            }
        };
        if self.check_precedence
            && let Some(process) = &mut self.slots[index].process
        {
            process.check_precedence();
        }
        self.send(index, outgoing);
    }

    fn send(&mut self, index: usize, datagrams: Vec<(SocketAddr, Vec<u8>)>) {
        for (to, bytes) in datagrams {
            let slot = &mut self.slots[index];
            slot.sent_bytes += bytes.len() as u64;
            slot.sent_datagrams += 1;
            let Some(to) = self.by_address.get(&to).copied() else {
                continue;
            };
            let copies = 1 + usize::from(self.chance(self.faults.duplication));
            for _ in 0..copies {
                self.forward(index, to, bytes.clone());
            }
        }
    }

    fn forward(&mut self, index: usize, to: usize, bytes: Vec<u8>) {
        let zone_pair = (self.slots[index].zone, self.slots[to].zone);
        if self.faults.cuts.contains(&zone_pair) || self.chance(self.faults.loss) {
            return;
        }
        let jitter = self.faults.jitter.as_micros() as u64;
        let delay = Duration::from_micros(500 + self.rng.random_range(0..=jitter));
        let from = self.slots[index].address;
        self.schedule(delay, SimEvent::Arrival { from, to, bytes });
    }

    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.last_event_id += 1;
        self.due
            .push(Reverse((self.elapsed + delay, self.last_event_id)));
        self.scheduled_events.insert(self.last_event_id, event);
    }

    pub fn zones(&self) -> usize {
        self.zones
    }
}

impl Slot {
    fn new(index: usize, zones: usize) -> Self {
        let [_, _, high, low] = (index as u32 + 1).to_be_bytes();
        Self {
            address: (Ipv4Addr::new(127, 1, high, low), PORT).into(),
            zone: index % zones,
            process: None,
            generation: 0,
            sent_bytes: 0,
            sent_datagrams: 0,
        }
    }
}

fn placement(index: usize, zone: usize) -> Placement {
    const SERVICES: usize = 54;
    const ZONES_PER_REGION: usize = 2;
    Placement {
        service: format!("service-{:02}", index % SERVICES).into(),
        region: format!("region-{}", zone / ZONES_PER_REGION).into(),
        zone: format!("zone-{zone}").into(),
        rack: format!("rack-{zone}-{}", index % RACKS_PER_ZONE).into(),
    }
}
