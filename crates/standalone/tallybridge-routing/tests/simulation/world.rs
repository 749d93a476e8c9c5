//! Simulation in virtual time of entry nodes with their own tables, and of endpoints with slots and
//! a queue.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tallybridge_core::{InstanceId, LoadReport, NodeId, ServiceName};
use tallybridge_routing::{AttemptResult, Endpoint, EndpointTable, Locality, RoutingSettings};

/// Number of calls that an endpoint runs at once.
pub const SLOTS: usize = 20;
/// Number of calls that an endpoint can queue.
const QUEUE_CAPACITY: usize = 20;
/// Mean time in which a healthy endpoint runs a call.
pub const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Share of the service time that is constant. The rest is exponentially distributed.
const FIXED_SHARE: f64 = 0.4;
/// Time after which an entry node counts an attempt as failed.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
const TICK_INTERVAL: Duration = Duration::from_millis(100);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
const ONE_WAY_DELAY_WITHIN_ZONE: Duration = Duration::from_micros(100);
const ONE_WAY_DELAY_BETWEEN_ZONES: Duration = Duration::from_micros(500);
const SERVICE_NAME: &str = "ledger";

/// How an endpoint handles its calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behaviour {
    Healthy,
    /// Accepts calls and never answers.
    Stalled,
    /// Takes longer by the factor and reports its true load.
    Slow(f64),
    /// Takes longer by the factor and reports no load and a large limit.
    SlowMisreporting(f64),
    /// Fails each call at once.
    FailsFast,
    /// Refuses each call at once, and reports no load.
    RefusesFast,
    /// Leaves every second call unanswered.
    DropsEverySecond,
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
    /// Increases when the behaviour changes. Completions of an earlier epoch are ignored.
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
    NewCall(usize),
    CallArrived(usize, Call),
    Completed(usize, u64, Call),
    ReplyArrived(usize, Call, AttemptEnd),
    Timeout(usize, Call),
    Tick,
    Sample,
    ChangeBehaviour(usize, Behaviour),
}

#[derive(Debug, Clone, Copy)]
enum AttemptEnd {
    Answered(LoadReport),
    Refused(LoadReport),
    Failed,
}

/// Time and result of a choice.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    pub at: Duration,
    pub endpoint: usize,
}

/// The simulated service with its entry nodes.
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
    /// Arrival times of the answers.
    pub answers: Vec<Duration>,
    /// Number of calls running and queued at each endpoint, by time of the sample.
    pub samples: Vec<(Duration, Vec<usize>)>,
}

impl World {
    /// Creates `per_zone` endpoints in each of three zones, and one entry node per pair of zone and
    /// traffic share in `entries`. The entry nodes offer `load` times the capacity of the
    /// endpoints.
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
        world.schedule_after(Duration::ZERO, Event::Tick);
        world.schedule_after(Duration::ZERO, Event::Sample);
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
            service: SERVICE_NAME.into(),
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
        self.schedule_after(Duration::ZERO, Event::NewCall(number));
    }

    /// Changes the behaviour of an endpoint at the time `at`.
    pub fn schedule_behaviour(&mut self, at: Duration, endpoint: usize, behaviour: Behaviour) {
        self.schedule_after(at, Event::ChangeBehaviour(endpoint, behaviour));
    }

    /// Runs the simulation up to the time `until`.
    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, sequence))) = self.events.pop() {
            self.now = at;
            if at > until {
                return;
            }
            let event = self
                .scheduled
                .remove(&sequence)
                .expect("each queued event is scheduled");
            self.handle(event);
        }
    }

    /// Returns the share of the choices from `from` up to `until` that selected the endpoint.
    pub fn choice_share(&self, endpoint: usize, from: Duration, until: Duration) -> f64 {
        let is_within = |choice: &&Choice| choice.at >= from && choice.at < until;
        let all = self.choices.iter().filter(is_within);
        let of_endpoint = all.clone().filter(|choice| choice.endpoint == endpoint);
        of_endpoint.count() as f64 / all.count() as f64
    }

    /// Returns the number of answers divided by the number of attempts, from `from` up to `until`.
    pub fn answered_share(&self, from: Duration, until: Duration) -> f64 {
        let is_within = |at: &Duration| *at >= from && *at < until;
        let answered = self.answers.iter().copied().filter(is_within).count();
        let attempted = self
            .choices
            .iter()
            .map(|choice| choice.at)
            .filter(is_within);
        answered as f64 / attempted.count() as f64
    }

    /// Returns the mean utilisation of each endpoint since `from`.
    pub fn utilisations(&self, from: Duration) -> Vec<f64> {
        let samples = || self.samples.iter().filter(|(at, _)| *at >= from);
        let mean = |endpoint: usize| {
            let sum: usize = samples().map(|(_, calls)| calls[endpoint]).sum();
            sum as f64 / samples().count() as f64 / SLOTS as f64
        };
        (0..self.back_ends.len()).map(mean).collect()
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.scheduled.insert(self.sequence, event);
        self.events.push(Reverse((self.now + delay, self.sequence)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NewCall(entry) => self.handle_arrival(entry),
            Event::CallArrived(endpoint, call) => self.receive_call(endpoint, call),
            Event::Completed(endpoint, epoch, call) => self.complete_call(endpoint, epoch, call),
            Event::ReplyArrived(endpoint, call, end) => self.finish_attempt(endpoint, call, end),
            Event::Timeout(endpoint, call) => {
                self.finish_attempt(endpoint, call, AttemptEnd::Failed)
            }
            Event::Tick => {
                let now = self.origin + self.now;
                self.entries
                    .iter_mut()
                    .for_each(|entry| entry.table.tick(now));
                self.schedule_after(TICK_INTERVAL, Event::Tick);
            }
            Event::Sample => {
                let calls = |back_end: &BackEnd| back_end.running + back_end.queue.len();
                let sample = self.back_ends.iter().map(calls).collect();
                self.samples.push((self.now, sample));
                self.schedule_after(SAMPLE_INTERVAL, Event::Sample);
            }
            Event::ChangeBehaviour(endpoint, behaviour) => {
                let back_end = &mut self.back_ends[endpoint];
                back_end.behaviour = behaviour;
                back_end.epoch += 1;
                back_end.running = 0;
                back_end.queue.clear();
            }
        }
    }

    fn handle_arrival(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        let now = self.origin + self.now;
        let node = entry
            .table
            .choose(&ServiceName::from(SERVICE_NAME), &[], now, &mut entry.rng)
            .expect("no endpoint is leaving");
        let interarrival = exponential(&mut entry.rng) / entry.rate;
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
        let delay = self.one_way_delay(endpoint, number);
        self.schedule_after(delay, Event::CallArrived(endpoint, call));
        self.schedule_after(ATTEMPT_TIMEOUT, Event::Timeout(endpoint, call));
        self.schedule_after(
            Duration::from_secs_f64(interarrival),
            Event::NewCall(number),
        );
    }

    fn receive_call(&mut self, endpoint: usize, call: Call) {
        let back_end = &mut self.back_ends[endpoint];
        back_end.arrivals += 1;
        match back_end.behaviour {
            Behaviour::Stalled => {}
            Behaviour::DropsEverySecond if back_end.arrivals.is_multiple_of(2) => {}
            Behaviour::FailsFast => self.send_reply(endpoint, call, AttemptEnd::Failed),
            Behaviour::RefusesFast => {
                self.send_reply(endpoint, call, AttemptEnd::Refused(idle_report()));
            }
            _ if back_end.running < SLOTS => self.start_call(endpoint, call),
            _ if back_end.queue.len() < QUEUE_CAPACITY => back_end.queue.push_back(call),
            _ => {
                let report = back_end.report();
                self.send_reply(endpoint, call, AttemptEnd::Refused(report));
            }
        }
    }

    fn start_call(&mut self, endpoint: usize, call: Call) {
        let back_end = &mut self.back_ends[endpoint];
        back_end.running += 1;
        let epoch = back_end.epoch;
        let slowdown = match back_end.behaviour {
            Behaviour::Slow(factor) | Behaviour::SlowMisreporting(factor) => factor,
            _ => 1.0,
        };
        let random_part = (1.0 - FIXED_SHARE) * exponential(&mut self.rng);
        let duration = SERVICE_TIME.mul_f64(slowdown * (FIXED_SHARE + random_part));
        self.schedule_after(duration, Event::Completed(endpoint, epoch, call));
    }

    fn complete_call(&mut self, endpoint: usize, epoch: u64, call: Call) {
        let back_end = &mut self.back_ends[endpoint];
        if back_end.epoch != epoch {
            return;
        }
        back_end.running -= 1;
        let next = back_end.queue.pop_front();
        let report = back_end.report();
        if let Some(next) = next {
            self.start_call(endpoint, next);
        }
        self.send_reply(endpoint, call, AttemptEnd::Answered(report));
    }

    fn send_reply(&mut self, endpoint: usize, call: Call, end: AttemptEnd) {
        let delay = self.one_way_delay(endpoint, call.entry);
        self.schedule_after(delay, Event::ReplyArrived(endpoint, call, end));
    }

    fn finish_attempt(&mut self, endpoint: usize, call: Call, end: AttemptEnd) {
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

    fn one_way_delay(&self, endpoint: usize, entry: usize) -> Duration {
        if self.back_ends[endpoint].zone == self.entries[entry].zone {
            ONE_WAY_DELAY_WITHIN_ZONE
        } else {
            ONE_WAY_DELAY_BETWEEN_ZONES
        }
    }
}

impl BackEnd {
    fn report(&self) -> LoadReport {
        if let Behaviour::SlowMisreporting(_) = self.behaviour {
            return idle_report();
        }
        LoadReport {
            in_flight: u16::try_from(self.running).expect("the slot count fits in 16 bits"),
            limit: u16::try_from(SLOTS).expect("the slot count fits in 16 bits"),
            queued: u16::try_from(self.queue.len()).expect("the queue length fits in 16 bits"),
            ..LoadReport::default()
        }
    }
}

fn back_end(number: usize, zone: usize) -> BackEnd {
    let port = u16::try_from(number + 1).expect("the endpoint number fits in 16 bits");
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
