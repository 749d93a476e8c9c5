//! A back end with a fixed number of slots behind the real limit, queue and early refusal, in
//! virtual time.
//!
//! Calls beyond the slots wait inside the back end, first come first served, and it runs them even
//! when nobody waits for the answer any more. The work of a call is the time it needs in a slot at
//! normal speed; goodput is work that was answered in time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tallybridge_core::{Criticality, LoadReport};
use tallybridge_limits::{AdmissionQueue, Offer, QueueSettings, QueuedCall};
use tallybridge_overload::{
    AdmissionThreshold, ConcurrencyLimit, EarlyRefusal, LimitSettings, Sample, SampleResult,
    ThresholdSettings,
};

const TICK: Duration = Duration::from_millis(10);
/// Entries of `Outcome::limits` for each second.
pub const TICKS_PER_SECOND: usize = 100;
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// Natural latencies of the kinds of call and their shares: 50 ms on average.
const KINDS: [(Duration, f64); 3] = [
    (Duration::from_millis(20), 0.6),
    (Duration::from_millis(60), 0.3),
    (Duration::from_millis(200), 0.1),
];
const MEAN_WORK: f64 = 0.05;
/// Shares of the classes, least critical first.
pub const CLASS_SHARES: [f64; 4] = [0.3, 0.3, 0.3, 0.1];

/// What is run.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub slots: usize,
    pub limit: LimitSettings,
    pub queue: QueueSettings,
    /// Demand relative to capacity.
    pub load: f64,
    pub duration: Duration,
    pub deadline: Duration,
    /// Further attempts that a caller makes after each failure.
    pub caller_retries: u8,
    /// While this lasts the back end has a tenth of its speed and demand is twice the load.
    pub trigger: Option<(Duration, Duration)>,
    pub seed: u64,
}

/// Work in seconds of slot time, by the second of the answer, and calls, by that of their arrival.
#[derive(Clone, Copy, Default)]
pub struct Totals {
    pub offered: f64,
    pub answered: f64,
    pub offered_calls: u32,
    pub answered_calls: u32,
}

/// What was seen in each second, by class, and the limit at each tick.
pub struct Outcome {
    pub seconds: Vec<[Totals; 4]>,
    pub limits: Vec<u16>,
}

impl Outcome {
    /// Totals by class of the seconds in `range`.
    pub fn by_class(&self, range: std::ops::Range<usize>) -> [Totals; 4] {
        let mut sums = [Totals::default(); 4];
        let rows = self.seconds[range].iter();
        for (class, totals) in rows.flat_map(|row| row.iter().enumerate()) {
            sums[class].offered += totals.offered;
            sums[class].answered += totals.answered;
            sums[class].offered_calls += totals.offered_calls;
            sums[class].answered_calls += totals.answered_calls;
        }
        sums
    }

    /// Work answered in time each second of `range`, relative to `slots`.
    pub fn goodput(&self, range: std::ops::Range<usize>, slots: usize) -> f64 {
        let time = (range.len() * slots) as f64;
        self.by_class(range)
            .iter()
            .map(|class| class.answered)
            .sum::<f64>()
            / time
    }

    /// Work offered each second of `range`, relative to `slots`.
    pub fn demand(&self, range: std::ops::Range<usize>, slots: usize) -> f64 {
        let time = (range.len() * slots) as f64;
        self.by_class(range)
            .iter()
            .map(|class| class.offered)
            .sum::<f64>()
            / time
    }
}

#[derive(Clone, Copy)]
struct Call {
    criticality: Criticality,
    kind: u16,
    work: Duration,
    retries_left: u8,
    arrived: Instant,
    deadline: Instant,
    started: Instant,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Retry(usize),
    Finished(usize),
    TimedOut(usize),
    Tick,
}

/// The whole model.
pub struct Model {
    scenario: Scenario,
    begin: Instant,
    now: Instant,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    calls: Vec<Call>,
    in_flight: BTreeMap<usize, ()>,
    limit: ConcurrencyLimit,
    queue: AdmissionQueue<usize>,
    level: AdmissionThreshold,
    early: EarlyRefusal<u8, u8>,
    busy_slots: usize,
    backend_queue: VecDeque<usize>,
    outcome: Outcome,
}

impl Model {
    /// Runs `scenario` to its end.
    pub fn run(scenario: Scenario) -> Outcome {
        let begin = Instant::now();
        let mut model = Self {
            scenario,
            begin,
            now: begin,
            rng: SmallRng::seed_from_u64(scenario.seed),
            events: BinaryHeap::new(),
            sequence: 0,
            calls: Vec::new(),
            in_flight: BTreeMap::new(),
            limit: ConcurrencyLimit::new(scenario.limit),
            queue: AdmissionQueue::new(scenario.queue),
            level: AdmissionThreshold::new(ThresholdSettings::default()),
            early: EarlyRefusal::new(),
            busy_slots: 0,
            backend_queue: VecDeque::new(),
            outcome: Outcome {
                seconds: vec![Default::default(); scenario.duration.as_secs() as usize + 1],
                limits: Vec::new(),
            },
        };
        model.queue.set_expected_service_time(KINDS[0].0);
        model.schedule(Duration::ZERO, Event::Arrival);
        model.schedule(TICK, Event::Tick);
        while let Some(Reverse((at, _, event))) = model.events.pop() {
            if at >= begin + scenario.duration {
                break;
            }
            model.now = at;
            model.handle(event);
        }
        model.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrival(),
            Event::Retry(id) => self.enter(id),
            Event::Finished(id) => self.finished(id),
            Event::TimedOut(id) => self.timed_out(id),
            Event::Tick => self.tick(),
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + after, self.sequence, event)));
    }

    fn triggered(&self) -> bool {
        let elapsed = self.now - self.begin;
        self.scenario
            .trigger
            .is_some_and(|(from, to)| (from..to).contains(&elapsed))
    }

    fn totals(&mut self, criticality: Criticality, at: Instant) -> &mut Totals {
        let second = (at - self.begin).as_secs() as usize;
        &mut self.outcome.seconds[second][criticality.index()]
    }

    fn arrival(&mut self) {
        let factor = if self.triggered() { 2.0 } else { 1.0 };
        let rate = self.scenario.load * factor * self.scenario.slots as f64 / MEAN_WORK;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival);

        let kind = pick(KINDS.map(|kind| kind.1), &mut self.rng);
        let work = KINDS[kind].0.mul_f64(self.rng.random_range(0.5..1.5));
        let criticality = Criticality::ALL[pick(CLASS_SHARES, &mut self.rng)];
        self.calls.push(Call {
            criticality,
            kind: kind as u16,
            work,
            retries_left: self.scenario.caller_retries,
            arrived: self.now,
            deadline: self.now,
            started: self.now,
        });
        let totals = self.totals(criticality, self.now);
        totals.offered += work.as_secs_f64();
        totals.offered_calls += 1;
        self.enter(self.calls.len() - 1);
    }

    fn enter(&mut self, id: usize) {
        let deadline = self.now + self.scenario.deadline;
        self.calls[id].deadline = deadline;
        let criticality = self.calls[id].criticality;
        if self
            .early
            .should_refuse(&0, criticality, self.now, &mut self.rng)
        {
            self.retry(id);
            return;
        }
        let waiting = QueuedCall {
            criticality,
            deadline,
            arrived: self.now,
            item: id,
        };
        match self.queue.offer(waiting, self.now) {
            Offer::Queued(_) => {}
            Offer::QueuedDisplacing(_, refused) | Offer::Refused(refused) => self.refuse(refused),
        }
        self.dispatch();
    }

    fn refuse(&mut self, id: usize) {
        self.level.record_refused(self.calls[id].criticality);
        self.retry(id);
    }

    fn retry(&mut self, id: usize) {
        let call = self.calls[id];
        if call.retries_left == 0 {
            return;
        }
        self.calls.push(Call {
            retries_left: call.retries_left - 1,
            ..call
        });
        self.schedule(RETRY_AFTER, Event::Retry(self.calls.len() - 1));
    }

    fn dispatch(&mut self) {
        while !self.queue.is_empty() && self.limit.try_acquire() {
            let Some(waiting) = self.queue.take(self.now) else {
                let unused = Sample {
                    latency: Duration::ZERO,
                    result: SampleResult::Ignore,
                    kind: 0,
                };
                self.limit.release(unused, self.now);
                break;
            };
            self.level
                .record_taken(waiting.criticality, self.now - waiting.arrived);
            self.calls[waiting.item].started = self.now;
            self.in_flight.insert(waiting.item, ());
            self.schedule(waiting.deadline - self.now, Event::TimedOut(waiting.item));
            self.backend_queue.push_back(waiting.item);
        }
        self.fill_slots();
    }

    fn fill_slots(&mut self) {
        while self.busy_slots < self.scenario.slots {
            let Some(id) = self.backend_queue.pop_front() else {
                break;
            };
            let slowness = if self.triggered() { 10 } else { 1 };
            self.busy_slots += 1;
            self.schedule(self.calls[id].work * slowness, Event::Finished(id));
        }
    }

    fn finished(&mut self, id: usize) {
        self.busy_slots -= 1;
        if self.in_flight.remove(&id).is_some() {
            let call = self.calls[id];
            self.release(id, SampleResult::Success);
            self.totals(call.criticality, self.now).answered += call.work.as_secs_f64();
            self.totals(call.criticality, call.arrived).answered_calls += 1;
        }
        self.dispatch();
    }

    fn timed_out(&mut self, id: usize) {
        if self.in_flight.remove(&id).is_some() {
            self.release(id, SampleResult::Overload);
            self.retry(id);
            self.dispatch();
        }
    }

    fn release(&mut self, id: usize, result: SampleResult) {
        let call = self.calls[id];
        let sample = Sample {
            latency: self.now - call.started,
            result,
            kind: call.kind,
        };
        self.limit.release(sample, self.now);
        let report = LoadReport {
            admitted_from: self.level.admitted_from(),
            ..LoadReport::default()
        };
        self.early.record(0, 0, &report, self.now);
    }

    fn tick(&mut self) {
        self.schedule(TICK, Event::Tick);
        for late in self.queue.expire(self.now) {
            self.refuse(late);
        }
        self.limit.tick(self.now);
        self.level.tick(self.now);
        self.early.tick(self.now);
        self.outcome.limits.push(self.limit.limit());
        self.dispatch();
    }
}

/// An index, drawn by its share.
fn pick<const N: usize>(shares: [f64; N], rng: &mut SmallRng) -> usize {
    let mut point = rng.random::<f64>();
    for (index, share) in shares.iter().enumerate() {
        if point < *share {
            return index;
        }
        point -= share;
    }
    N - 1
}
