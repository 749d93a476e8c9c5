//! Slots with an address each, the processes in them, and datagrams under way.

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

/// Time between two ticks of a process.
pub const TICK: Duration = Duration::from_millis(100);

const PORT: u16 = 7400;
const RACKS_PER_ZONE: usize = 8;

/// What happens to datagrams.
#[derive(Debug, Clone, Default)]
pub struct Weather {
    /// Share that is lost.
    pub loss: f64,
    /// Share that arrives twice.
    pub duplication: f64,
    /// Longest delay on top of the shortest; datagrams overtake each other.
    pub jitter: Duration,
    /// Zones whose datagrams to another zone are lost.
    pub cuts: BTreeSet<(usize, usize)>,
}

enum Happening {
    Tick {
        slot: usize,
        start: u64,
    },
    Arrival {
        from: SocketAddr,
        to: usize,
        bytes: Vec<u8>,
    },
}

/// An address and what runs there.
pub struct Slot {
    pub address: SocketAddr,
    pub zone: usize,
    pub process: Option<Process>,
    /// Counts the starts, so that ticks of an earlier process are told apart.
    start: u64,
    /// Seeds of the address: the lagging machine list.
    pub sent_bytes: u64,
    pub sent_datagrams: u64,
}

/// The network.
pub struct Network {
    pub slots: Vec<Slot>,
    pub weather: Weather,
    pub settings: MembershipSettings,
    zones: usize,
    began: Instant,
    elapsed: Duration,
    order: u64,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    by_address: BTreeMap<SocketAddr, usize>,
    rng: SmallRng,
    pub check_monotonic: bool,
}

impl Network {
    /// So many empty slots spread over so many zones; two zones make a region.
    pub fn new(slots: usize, zones: usize, seed: u64) -> Self {
        let slots: Vec<Slot> = (0..slots).map(|index| Slot::new(index, zones)).collect();
        let by_address = slots
            .iter()
            .enumerate()
            .map(|(index, slot)| (slot.address, index))
            .collect();
        Self {
            slots,
            weather: Weather {
                jitter: Duration::from_millis(20),
                ..Weather::default()
            },
            settings: MembershipSettings::default(),
            zones,
            began: Instant::now(),
            elapsed: Duration::ZERO,
            order: 0,
            due: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            by_address,
            rng: SmallRng::seed_from_u64(seed),
            check_monotonic: true,
        }
    }

    pub fn now(&self) -> Instant {
        self.began + self.elapsed
    }

    pub fn elapsed(&self) -> Duration {
        self.elapsed
    }

    /// Starts a process in a slot, as a new instance, with some addresses of the machine list.
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
        slot.start += 1;
        let start = slot.start;
        let offset = Duration::from_millis(self.rng.random_range(0..100));
        self.schedule(offset, Happening::Tick { slot: index, start });
        node
    }

    /// Starts all slots.
    pub fn start_all(&mut self) {
        for index in 0..self.slots.len() {
            self.start(index);
        }
    }

    /// Ends the process of a slot without a word.
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
            let answers = process.thaw(now);
            self.send(index, answers);
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

    /// Cuts a zone off another, in one direction.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.weather.cuts.insert((from, to));
    }

    /// Nothing is cut, lost or frozen any more.
    pub fn make_whole(&mut self) {
        self.weather.cuts.clear();
        self.weather.loss = 0.0;
        for index in 0..self.slots.len() {
            self.thaw(index);
        }
    }

    /// Whether nothing is cut, lost or frozen.
    pub fn is_whole(&self) -> bool {
        let thawed = self.processes().all(|process| !process.frozen);
        thawed && self.weather.cuts.is_empty() && self.weather.loss == 0.0
    }

    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        self.slots.iter().filter_map(|slot| slot.process.as_ref())
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.elapsed + time;
        while let Some(Reverse((at, order))) = self.due.peek().copied() {
            if at > end {
                break;
            }
            self.due.pop();
            self.elapsed = at;
            if let Some(happening) = self.happenings.remove(&order) {
                self.happen(happening);
            }
        }
        self.elapsed = end;
    }

    /// Lets time pass until something holds; `None` when it does not within the limit.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let began = self.elapsed;
        while self.elapsed - began <= limit {
            if holds(self) {
                return Some(self.elapsed - began);
            }
            self.run(TICK);
        }
        None
    }

    fn happen(&mut self, happening: Happening) {
        let now = self.now();
        let (index, answers) = match happening {
            Happening::Tick { slot, start } => {
                if self.slots[slot].start != start {
                    return;
                }
                let Some(process) = &mut self.slots[slot].process else {
                    return;
                };
                let sent = process.tick(now);
                self.schedule(TICK, Happening::Tick { slot, start });
                (slot, sent)
            }
            Happening::Arrival { from, to, bytes } => {
                let Some(process) = &mut self.slots[to].process else {
                    return;
                };
                (to, process.deliver((from, bytes), now))
            }
        };
        if self.check_monotonic
            && let Some(process) = &mut self.slots[index].process
        {
            process.check_monotonic();
        }
        self.send(index, answers);
    }

    fn send(&mut self, index: usize, datagrams: Vec<(SocketAddr, Vec<u8>)>) {
        for (to, bytes) in datagrams {
            let slot = &mut self.slots[index];
            slot.sent_bytes += bytes.len() as u64;
            slot.sent_datagrams += 1;
            let Some(to) = self.by_address.get(&to).copied() else {
                continue;
            };
            let copies = 1 + usize::from(self.chance(self.weather.duplication));
            for _ in 0..copies {
                self.forward(index, to, bytes.clone());
            }
        }
    }

    fn forward(&mut self, index: usize, to: usize, bytes: Vec<u8>) {
        let way = (self.slots[index].zone, self.slots[to].zone);
        if self.weather.cuts.contains(&way) || self.chance(self.weather.loss) {
            return;
        }
        let jitter = self.weather.jitter.as_micros() as u64;
        let delay = Duration::from_micros(500 + self.rng.random_range(0..=jitter));
        let from = self.slots[index].address;
        self.schedule(delay, Happening::Arrival { from, to, bytes });
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share)
    }

    fn schedule(&mut self, delay: Duration, happening: Happening) {
        self.order += 1;
        self.due.push(Reverse((self.elapsed + delay, self.order)));
        self.happenings.insert(self.order, happening);
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
            start: 0,
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
