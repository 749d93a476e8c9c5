//! The choice of an executor by many entries, each of which has old news of the back ends: a
//! simulation of the choice alone, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tallybridge_mesh::{
    peer::Link,
    tables::{BackendState, Choice, Executor, Load, NodeRecord, PeerStatus, PeerTable},
};
use tokio::{sync::mpsc, time::Instant};

const SERVICE: &str = "deep";
const ZONES: usize = 5;
const SLOTS: usize = 36;
/// Mean time of a call at a back end of the usual speed.
const WORK: Duration = Duration::from_millis(75);
/// Back ends of a service run at different speeds.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
/// Calls as a part of what all back ends can do.
const UTILIZATION: f64 = 0.85;
/// Time between two load reports of a back end to all that link to it.
const REPORT: Duration = Duration::from_millis(500);
/// Simulated time, of which the first quarter is not counted.
const DURATION: Duration = Duration::from_secs(3);

enum Event {
    Arrives { entry: usize },
    Ends { backend: usize, entry: usize },
    Reports { backend: usize },
}

struct Backend {
    speed: f64,
    in_flight: usize,
    waiting: VecDeque<(usize, Duration)>,
}

impl Backend {
    fn load(&self) -> Load {
        Load {
            limit: SLOTS as u16,
            in_flight: self.in_flight as u16,
            queued: self.waiting.len() as u16,
            service_ms: (WORK.as_secs_f64() * 1000.0 / self.speed) as u16,
            ..Load::default()
        }
    }
}

struct Entry {
    table: PeerTable,
    part_of_calls: f64,
}

struct Simulation {
    start: Instant,
    random: SmallRng,
    events: BinaryHeap<Reverse<(Duration, usize)>>,
    pending: HashMap<usize, Event>,
    next_event: usize,
    backends: Vec<Backend>,
    entries: Vec<Entry>,
    /// Calls, and the time that they waited for a slot, after the first quarter.
    counted: usize,
    waited: Duration,
}

fn backend_address(number: usize) -> SocketAddr {
    ([10, 0, 0, number as u8 + 1], 7000).into()
}

fn record(name: String, address: SocketAddr, zone: usize, service: &str) -> NodeRecord {
    NodeRecord {
        node: name,
        address,
        zone: format!("zone-{zone}"),
        service: service.to_owned(),
        process: 1,
        slots: SLOTS as u32,
    }
}

/// An entry that knows of a fleet of so many nodes, and links to a subset of the back ends.
fn entry(number: usize, entries: usize, backends: usize, now: Instant) -> PeerTable {
    let own = ([10, 1, (number / 250) as u8, (number % 250) as u8], 7000).into();
    let own = record(format!("entry-{number}"), own, number % ZONES, "top");
    let mut table = PeerTable::new(own);
    for other in 0..entries {
        let address = ([10, 1, (other / 250) as u8, (other % 250) as u8], 7000).into();
        table.learn(
            record(format!("entry-{other}"), address, other % ZONES, "top"),
            now,
        );
    }
    for backend in 0..backends {
        let name = format!("backend-{backend}");
        table.learn(
            record(name, backend_address(backend), backend % ZONES, SERVICE),
            now,
        );
    }
    for _ in table.settle(now) {}
    for backend in 0..backends {
        let name = format!("backend-{backend}");
        let (sender, _) = mpsc::unbounded_channel();
        let link = Arc::new(Link::new(&name, sender));
        let record = record(name, backend_address(backend), backend % ZONES, SERVICE);
        if table.connected(record, link, now) {
            let ready = PeerStatus {
                backend: BackendState::Ready,
                load: Load {
                    limit: SLOTS as u16,
                    ..Load::default()
                },
                ..PeerStatus::default()
            };
            table.status(backend_address(backend), ready, now);
        }
    }
    table
}

impl Simulation {
    fn new(entries: usize, backends: usize) -> Self {
        let start = Instant::now();
        // Zones differ in what their callers ask for.
        let weights: Vec<f64> = (0..entries)
            .map(|entry| 0.8 + 0.1 * (entry % ZONES) as f64)
            .collect();
        let all: f64 = weights.iter().sum();
        let entries_of = |(number, weight): (usize, f64)| Entry {
            table: entry(number, entries, backends, start),
            part_of_calls: weight / all,
        };
        let mut simulation = Self {
            start,
            random: SmallRng::seed_from_u64(7),
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next_event: 0,
            backends: (0..backends)
                .map(|number| Backend {
                    speed: SPEEDS[number / ZONES % SPEEDS.len()],
                    in_flight: 0,
                    waiting: VecDeque::new(),
                })
                .collect(),
            entries: weights.into_iter().enumerate().map(entries_of).collect(),
            counted: 0,
            waited: Duration::ZERO,
        };
        for entry in 0..entries {
            simulation.next_arrival(entry, Duration::ZERO);
        }
        for backend in 0..backends {
            let at = REPORT.mul_f64(simulation.random.random());
            simulation.schedule(at, Event::Reports { backend });
        }
        simulation
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.pending.insert(self.next_event, event);
        self.events.push(Reverse((at, self.next_event)));
        self.next_event += 1;
    }

    /// Time until the next of events that come at random, so many a second.
    fn pause(&mut self, per_second: f64) -> Duration {
        let draw: f64 = self.random.random_range(1e-9..1.0);
        Duration::from_secs_f64(-draw.ln() / per_second)
    }

    fn next_arrival(&mut self, entry: usize, now: Duration) {
        let speeds: f64 = self.backends.iter().map(|backend| backend.speed).sum();
        let all = speeds * SLOTS as f64 / WORK.as_secs_f64() * UTILIZATION;
        let pause = self.pause(all * self.entries[entry].part_of_calls);
        self.schedule(now + pause, Event::Arrives { entry });
    }

    fn run(&mut self) {
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > DURATION {
                return;
            }
            match self.pending.remove(&event) {
                Some(Event::Arrives { entry }) => self.arrive(entry, now),
                Some(Event::Ends { backend, entry }) => self.end(backend, entry, now),
                Some(Event::Reports { backend }) => self.report(backend, now),
                None => {}
            }
        }
    }

    fn arrive(&mut self, entry: usize, now: Duration) {
        self.next_arrival(entry, now);
        let choice = Choice {
            service: SERVICE,
            local: None,
            tried: &[],
            may_repeat: true,
        };
        let table = &mut self.entries[entry].table;
        let Some(Executor::Peer(address, _)) = table.choose(&choice, self.start + now) else {
            panic!("no executor");
        };
        table.sent(address);
        let SocketAddr::V4(v4) = address else {
            panic!("no such address");
        };
        let number = usize::from(v4.ip().octets()[3]) - 1;
        let backend = &mut self.backends[number];
        if backend.in_flight < SLOTS {
            backend.in_flight += 1;
            self.begin(number, entry, now, Duration::ZERO);
        } else {
            backend.waiting.push_back((entry, now));
        }
    }

    fn begin(&mut self, backend: usize, entry: usize, now: Duration, waited: Duration) {
        if now > DURATION / 4 {
            self.counted += 1;
            self.waited += waited;
        }
        let speed = self.backends[backend].speed;
        let took = self.pause(speed / WORK.as_secs_f64());
        self.schedule(now + took, Event::Ends { backend, entry });
    }

    fn end(&mut self, backend: usize, entry: usize, now: Duration) {
        let waiting = self.backends[backend].waiting.pop_front();
        match waiting {
            Some((next, since)) => self.begin(backend, next, now, now - since),
            None => self.backends[backend].in_flight -= 1,
        }
        let load = self.backends[backend].load();
        self.entries[entry]
            .table
            .load(backend_address(backend), load);
    }

    fn report(&mut self, backend: usize, now: Duration) {
        self.schedule(now + REPORT, Event::Reports { backend });
        let load = self.backends[backend].load();
        for entry in &mut self.entries {
            entry.table.load(backend_address(backend), load);
        }
    }

    /// Mean time that a call waits for a slot.
    fn mean_wait(&self) -> Duration {
        self.waited / u32::try_from(self.counted).unwrap()
    }
}

fn mean_wait(entries: usize, backends: usize) -> Duration {
    let mut simulation = Simulation::new(entries, backends);
    simulation.run();
    simulation.mean_wait()
}

#[test]
fn calls_of_many_entries_with_old_news_find_a_slot() {
    for (entries, backends) in [(12, 3), (65, 17), (194, 50), (1000, 50)] {
        let waits = mean_wait(entries, backends);
        println!("{entries} entries, {backends} back ends: calls wait {waits:?}");
        assert!(waits < WORK / 5, "{entries} entries: calls wait {waits:?}");
    }
}
