//! Entry nodes with their own tables and endpoints with slots and a queue, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tallybridge_core::{InstanceId, LoadReport, NodeId, ServiceName};
use tallybridge_routing::{AttemptResult, Endpoint, EndpointTable, Locality, RoutingSettings};

/// Calls that an endpoint runs at once.
pub const SLOTS: usize = 20;
/// Calls that an endpoint queues.
const QUEUE: usize = 20;
/// Mean time that a healthy endpoint takes for a call.
pub const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Part of the service time that every call takes; the rest is exponential.
const FIXED_PART: f64 = 0.4;
/// Time after which an entry node gives an attempt up.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(100);
const SAMPLE: Duration = Duration::from_millis(10);
const ONE_WAY_WITHIN_ZONE: Duration = Duration::from_micros(100);
const ONE_WAY_BETWEEN_ZONES: Duration = Duration::from_micros(500);
const SERVICE: &str = "ledger";

/// What an endpoint does with its calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behaviour {
    Healthy,
    /// Takes calls and never answers.
    Stalled,
    /// Answers that many times slower and says how loaded it is.
    Slow(f64),
    /// Answers that many times slower and reports no load and a great limit.
    SlowLiar(f64),
    /// Fails each call at once.
    FailsFast,
    /// Refuses each call at once and reports no load.
    RefusesFast,
    /// Never answers every second call.
    HalfDead,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    id: u64,
    entry: usize,
}

struct BackEnd {
    node: NodeId,
    zone: usize,
    behaviour: Behaviour,
    running: usize,
    queue: VecDeque<Call>,
    arrivals: u64,
    /// Changes with the behaviour: work of an earlier one is lost.
    epoch: u64,
}

struct Entry {
    zone: usize,
    /// Calls per second.
    rate: f64,
    table: EndpointTable,
    rng: SmallRng,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrival(usize),
    AtBackEnd(usize, Call),
    Done(usize, u64, Call),
    Answer(usize, Call, AttemptEnd),
    Timeout(usize, Call),
    Tick,
    Sample,
    Behave(usize, Behaviour),
}

#[derive(Debug, Clone, Copy)]
enum AttemptEnd {
    Answered(LoadReport),
    Refused(LoadReport),
    Failed,
}

/// A choice that was made: when and which endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    pub at: Duration,
    pub endpoint: usize,
}

/// The simulated service with its callers.
pub struct World {
    now: Duration,
    origin: Instant,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: BTreeMap<u64, Event>,
    sequence: u64,
    back_ends: Vec<BackEnd>,
    entries: Vec<Entry>,
    in_flight: BTreeMap<u64, Duration>,
    rng: SmallRng,
    pub choices: Vec<Choice>,
    /// When each answered call was answered.
    pub answers: Vec<Duration>,
    /// Samples of each endpoint's calls running and queued, by time.
    pub samples: Vec<(Duration, Vec<usize>)>,
}

impl World {
    /// `per_zone` endpoints in each of three zones; an entry node for each zone and share of the
    /// traffic given; `load` of the endpoints' capacity.
    pub fn new(per_zone: usize, entries: &[(usize, f64)], load: f64, seed: u64) -> Self {
        let back_ends: Vec<BackEnd> = (0..3 * per_zone).map(|n| back_end(n, n % 3)).collect();
        let capacity = (back_ends.len() * SLOTS) as f64 / SERVICE_TIME.as_secs_f64();
        let mut world = Self {
            now: Duration::ZERO,
            origin: Instant::now() + Duration::from_secs(3600),
            events: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            sequence: 0,
            back_ends,
            entries: Vec::new(),
            in_flight: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            choices: Vec::new(),
            answers: Vec::new(),
            samples: Vec::new(),
        };
        for (number, (zone, share)) in entries.iter().enumerate() {
            let rng = SmallRng::seed_from_u64(seed + 1 + number as u64);
            world.add_entry(*zone, share * load * capacity, rng);
        }
        world.after(Duration::ZERO, Event::Tick);
        world.after(Duration::ZERO, Event::Sample);
        world
    }

    fn add_entry(&mut self, zone: usize, rate: f64, rng: SmallRng) {
        let local = Locality {
            region: "region".into(),
            zone: zone_name(zone),
        };
        let mut table = EndpointTable::new(local, RoutingSettings::default());
        let members = self.back_ends.iter().map(|back_end| Endpoint {
            node: back_end.node,
            service: SERVICE.into(),
            region: "region".into(),
            zone: zone_name(back_end.zone),
        });
        table.set_endpoints(members, self.origin);
        let number = self.entries.len();
        self.entries.push(Entry {
            zone,
            rate,
            table,
            rng,
        });
        self.after(Duration::ZERO, Event::Arrival(number));
    }

    /// Changes what an endpoint does from a time on.
    pub fn behave(&mut self, at: Duration, endpoint: usize, behaviour: Behaviour) {
        self.after(at, Event::Behave(endpoint, behaviour));
    }

    /// Lets virtual time pass up to `until`.
    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, sequence))) = self.events.pop() {
            self.now = at;
            if at > until {
                return;
            }
            let event = self.scheduled.remove(&sequence).expect("it was scheduled");
            self.handle(event);
        }
    }

    /// Share of the choices from `from` up to `until` that fell on the endpoint.
    pub fn share(&self, endpoint: usize, from: Duration, until: Duration) -> f64 {
        let within = |choice: &&Choice| choice.at >= from && choice.at < until;
        let all = self.choices.iter().filter(within);
        let its = all.clone().filter(|choice| choice.endpoint == endpoint);
        its.count() as f64 / all.count() as f64
    }

    /// Calls answered from `from` up to `until` for each one made.
    pub fn answered_share(&self, from: Duration, until: Duration) -> f64 {
        let within = |at: &Duration| *at >= from && *at < until;
        let answered = self.answers.iter().copied().filter(within).count();
        let made = self.choices.iter().map(|choice| choice.at).filter(within);
        answered as f64 / made.count() as f64
    }

    /// Mean utilisation of each endpoint since `from`.
    pub fn utilisations(&self, from: Duration) -> Vec<f64> {
        let samples = || self.samples.iter().filter(|(at, _)| *at >= from);
        let mean = |endpoint: usize| {
            let sum: usize = samples().map(|(_, calls)| calls[endpoint]).sum();
            sum as f64 / samples().count() as f64 / SLOTS as f64
        };
        (0..self.back_ends.len()).map(mean).collect()
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.scheduled.insert(self.sequence, event);
        self.events.push(Reverse((self.now + delay, self.sequence)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(entry) => self.arrive(entry),
            Event::AtBackEnd(endpoint, call) => self.take(endpoint, call),
            Event::Done(endpoint, epoch, call) => self.complete(endpoint, epoch, call),
            Event::Answer(endpoint, call, end) => self.answer(endpoint, call, end),
            Event::Timeout(endpoint, call) => self.answer(endpoint, call, AttemptEnd::Failed),
            Event::Tick => {
                let now = self.origin + self.now;
                self.entries
                    .iter_mut()
                    .for_each(|entry| entry.table.tick(now));
                self.after(TICK, Event::Tick);
            }
            Event::Sample => {
                let calls = |back_end: &BackEnd| back_end.running + back_end.queue.len();
                let sample = self.back_ends.iter().map(calls).collect();
                self.samples.push((self.now, sample));
                self.after(SAMPLE, Event::Sample);
            }
            Event::Behave(endpoint, behaviour) => {
                let back_end = &mut self.back_ends[endpoint];
                back_end.behaviour = behaviour;
                back_end.epoch += 1;
                back_end.running = 0;
                back_end.queue.clear();
            }
        }
    }

    fn arrive(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        let now = self.origin + self.now;
        let node = entry
            .table
            .choose(&ServiceName::from(SERVICE), &[], now, &mut entry.rng)
            .expect("no endpoint leaves");
        let gap = exponential(&mut entry.rng) / entry.rate;
        let endpoint = usize::from(node.address.port()) - 1;
        let call = Call {
            id: self.sequence,
            entry: number,
        };
        self.in_flight.insert(call.id, self.now);
        self.choices.push(Choice {
            at: self.now,
            endpoint,
        });
        let delay = self.one_way(endpoint, number);
        self.after(delay, Event::AtBackEnd(endpoint, call));
        self.after(ATTEMPT_TIMEOUT, Event::Timeout(endpoint, call));
        self.after(Duration::from_secs_f64(gap), Event::Arrival(number));
    }

    fn take(&mut self, endpoint: usize, call: Call) {
        let back_end = &mut self.back_ends[endpoint];
        back_end.arrivals += 1;
        match back_end.behaviour {
            Behaviour::Stalled => {}
            Behaviour::HalfDead if back_end.arrivals.is_multiple_of(2) => {}
            Behaviour::FailsFast => self.reply(endpoint, call, AttemptEnd::Failed),
            Behaviour::RefusesFast => {
                self.reply(endpoint, call, AttemptEnd::Refused(idle_report()));
            }
            _ if back_end.running < SLOTS => self.serve(endpoint, call),
            _ if back_end.queue.len() < QUEUE => back_end.queue.push_back(call),
            _ => {
                let report = back_end.report();
                self.reply(endpoint, call, AttemptEnd::Refused(report));
            }
        }
    }

    fn serve(&mut self, endpoint: usize, call: Call) {
        let back_end = &mut self.back_ends[endpoint];
        back_end.running += 1;
        let epoch = back_end.epoch;
        let slowness = match back_end.behaviour {
            Behaviour::Slow(factor) | Behaviour::SlowLiar(factor) => factor,
            _ => 1.0,
        };
        let random_part = (1.0 - FIXED_PART) * exponential(&mut self.rng);
        let time = SERVICE_TIME.mul_f64(slowness * (FIXED_PART + random_part));
        self.after(time, Event::Done(endpoint, epoch, call));
    }

    fn complete(&mut self, endpoint: usize, epoch: u64, call: Call) {
        let back_end = &mut self.back_ends[endpoint];
        if back_end.epoch != epoch {
            return;
        }
        back_end.running -= 1;
        let next = back_end.queue.pop_front();
        let report = back_end.report();
        if let Some(next) = next {
            self.serve(endpoint, next);
        }
        self.reply(endpoint, call, AttemptEnd::Answered(report));
    }

    fn reply(&mut self, endpoint: usize, call: Call, end: AttemptEnd) {
        let delay = self.one_way(endpoint, call.entry);
        self.after(delay, Event::Answer(endpoint, call, end));
    }

    fn answer(&mut self, endpoint: usize, call: Call, end: AttemptEnd) {
        let Some(started) = self.in_flight.remove(&call.id) else {
            return;
        };
        let result = match end {
            AttemptEnd::Answered(load) => AttemptResult::Answered {
                latency: self.now - started,
                load,
            },
            AttemptEnd::Refused(load) => AttemptResult::RefusedNotRun { load: Some(load) },
            AttemptEnd::Failed => AttemptResult::Failed,
        };
        if let AttemptEnd::Answered(_) = end {
            self.answers.push(self.now);
        }
        let node = self.back_ends[endpoint].node;
        let now = self.origin + self.now;
        self.entries[call.entry].table.finish(node, result, now);
    }

    fn one_way(&self, endpoint: usize, entry: usize) -> Duration {
        if self.back_ends[endpoint].zone == self.entries[entry].zone {
            ONE_WAY_WITHIN_ZONE
        } else {
            ONE_WAY_BETWEEN_ZONES
        }
    }
}

impl BackEnd {
    fn report(&self) -> LoadReport {
        if let Behaviour::SlowLiar(_) = self.behaviour {
            return idle_report();
        }
        LoadReport {
            in_flight: u16::try_from(self.running).expect("slots are few"),
            limit: u16::try_from(SLOTS).expect("slots are few"),
            queued: u16::try_from(self.queue.len()).expect("the queue is short"),
            ..LoadReport::default()
        }
    }
}

fn back_end(number: usize, zone: usize) -> BackEnd {
    let port = u16::try_from(number + 1).expect("endpoints are few");
    BackEnd {
        node: NodeId {
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            instance: InstanceId(1),
        },
        zone,
        behaviour: Behaviour::Healthy,
        running: 0,
        queue: VecDeque::new(),
        arrivals: 0,
        epoch: 0,
    }
}

fn idle_report() -> LoadReport {
    LoadReport {
        limit: u16::MAX,
        ..LoadReport::default()
    }
}

fn zone_name(zone: usize) -> tallybridge_core::ZoneName {
    format!("zone-{zone}").into()
}

fn exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
