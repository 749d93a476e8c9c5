//! A model in virtual time of a back end behind the real limit, queue and early refusal.
//!
//! The back end has a fixed number of slots and a FIFO queue for further calls. It runs queued calls
//! even after their callers have timed out. The work of a call is its time in a slot at normal
//! speed; goodput is the work that is answered before the deadline.

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

const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Entries of `Outcome::limits` per second.
pub const TICKS_PER_SECOND: usize = 100;
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Mean work and share of each kind of call.
const CALL_KINDS: [(Duration, f64); 3] = [
    (Duration::from_millis(20), 0.6),
    (Duration::from_millis(60), 0.3),
    (Duration::from_millis(200), 0.1),
];
const MEAN_WORK_SECONDS: f64 = 0.05;
/// Shares of the criticality classes, least critical first.
pub const CLASS_SHARES: [f64; 4] = [0.3, 0.3, 0.3, 0.1];

/// The parameters of a run.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub slots: usize,
    pub limit: LimitSettings,
    pub queue: QueueSettings,
    /// Demand relative to capacity.
    pub load: f64,
    pub duration: Duration,
    pub deadline: Duration,
    /// Retries of a failed call by its caller.
    pub caller_retries: u8,
    /// The period in which the back end runs at a tenth of its speed and the demand is doubled.
    pub slowdown: Option<(Duration, Duration)>,
    pub seed: u64,
}

/// The work and the number of calls of one class in one second of a run.
///
/// Work is in seconds of slot time. Answered work counts in the second of the answer, and answered
/// calls count in the second of their arrival.
#[derive(Clone, Copy, Default)]
pub struct Totals {
    pub offered: f64,
    pub answered: f64,
    pub offered_calls: u32,
    pub answered_calls: u32,
}

/// The totals of each second by class, and the limit at each tick.
pub struct Outcome {
    pub seconds: Vec<[Totals; 4]>,
    pub limits: Vec<u16>,
}

impl Outcome {
    /// Returns the totals of each class over the seconds in `range`.
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

    /// Returns the answered work per second of `range`, relative to the capacity of `slots`.
    pub fn goodput(&self, range: std::ops::Range<usize>, slots: usize) -> f64 {
        let time = (range.len() * slots) as f64;
        self.by_class(range)
            .iter()
            .map(|class| class.answered)
            .sum::<f64>()
            / time
    }

    /// Returns the offered work per second of `range`, relative to the capacity of `slots`.
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

pub struct Model {
    scenario: Scenario,
    started_at: Instant,
    now: Instant,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    calls: Vec<Call>,
    in_flight: BTreeMap<usize, ()>,
    limit: ConcurrencyLimit,
    queue: AdmissionQueue<usize>,
    level: AdmissionThreshold,
    early_refusal: EarlyRefusal<u8, u8>,
    busy_slots: usize,
    backend_queue: VecDeque<usize>,
    outcome: Outcome,
}

impl Model {
    pub fn run(scenario: Scenario) -> Outcome {
        let started_at = Instant::now();
        let mut model = Self {
            scenario,
            started_at,
            now: started_at,
            rng: SmallRng::seed_from_u64(scenario.seed),
            events: BinaryHeap::new(),
            sequence: 0,
            calls: Vec::new(),
            in_flight: BTreeMap::new(),
            limit: ConcurrencyLimit::new(scenario.limit),
            queue: AdmissionQueue::new(scenario.queue),
            level: AdmissionThreshold::new(ThresholdSettings::default()),
            early_refusal: EarlyRefusal::new(),
            busy_slots: 0,
            backend_queue: VecDeque::new(),
            outcome: Outcome {
                seconds: vec![Default::default(); scenario.duration.as_secs() as usize + 1],
                limits: Vec::new(),
            },
        };
        model.queue.set_expected_service_time(CALL_KINDS[0].0);
        model.schedule(Duration::ZERO, Event::Arrival);
        model.schedule(TICK_INTERVAL, Event::Tick);
        while let Some(Reverse((at, _, event))) = model.events.pop() {
            if at >= started_at + scenario.duration {
                break;
            }
            model.now = at;
            model.handle(event);
        }
        model.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::Retry(id) => self.handle_call(id),
            Event::Finished(id) => self.handle_finished(id),
            Event::TimedOut(id) => self.handle_timeout(id),
            Event::Tick => self.tick(),
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + after, self.sequence, event)));
    }

    fn is_slowed_down(&self) -> bool {
        let elapsed = self.now - self.started_at;
        self.scenario
            .slowdown
            .is_some_and(|(from, to)| (from..to).contains(&elapsed))
    }

    fn totals(&mut self, criticality: Criticality, at: Instant) -> &mut Totals {
        let second = (at - self.started_at).as_secs() as usize;
        &mut self.outcome.seconds[second][criticality.index()]
    }

    fn handle_arrival(&mut self) {
        let factor = if self.is_slowed_down() { 2.0 } else { 1.0 };
        let rate = self.scenario.load * factor * self.scenario.slots as f64 / MEAN_WORK_SECONDS;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival);

        let kind = pick_index(CALL_KINDS.map(|kind| kind.1), &mut self.rng);
        let work = CALL_KINDS[kind].0.mul_f64(self.rng.random_range(0.5..1.5));
        let criticality = Criticality::ALL[pick_index(CLASS_SHARES, &mut self.rng)];
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
        self.handle_call(self.calls.len() - 1);
    }

    fn handle_call(&mut self, id: usize) {
        let deadline = self.now + self.scenario.deadline;
        self.calls[id].deadline = deadline;
        let criticality = self.calls[id].criticality;
        if self
            .early_refusal
            .should_refuse(&0, criticality, self.now, &mut self.rng)
        {
            self.schedule_retry(id);
            return;
        }
        let queued_call = QueuedCall {
            criticality,
            deadline,
            arrived: self.now,
            item: id,
        };
        match self.queue.offer(queued_call, self.now) {
            Offer::Queued(_) => {}
            Offer::QueuedDisplacing(_, refused) | Offer::Refused(refused) => self.refuse(refused),
        }
        self.dispatch();
    }

    fn refuse(&mut self, id: usize) {
        self.level.record_refused(self.calls[id].criticality);
        self.schedule_retry(id);
    }

    fn schedule_retry(&mut self, id: usize) {
        let call = self.calls[id];
        if call.retries_left == 0 {
            return;
        }
        self.calls.push(Call {
            retries_left: call.retries_left - 1,
            ..call
        });
        self.schedule(RETRY_DELAY, Event::Retry(self.calls.len() - 1));
    }

    fn dispatch(&mut self) {
        while !self.queue.is_empty() && self.limit.try_acquire() {
            let Some(queued_call) = self.queue.take(self.now) else {
                let sample = Sample {
                    latency: Duration::ZERO,
                    result: SampleResult::Ignore,
                    kind: 0,
                };
                self.limit.release(sample, self.now);
                break;
            };
            self.level
                .record_taken(queued_call.criticality, self.now - queued_call.arrived);
            self.calls[queued_call.item].started = self.now;
            self.in_flight.insert(queued_call.item, ());
            self.schedule(
                queued_call.deadline - self.now,
                Event::TimedOut(queued_call.item),
            );
            self.backend_queue.push_back(queued_call.item);
        }
        self.fill_slots();
    }

    fn fill_slots(&mut self) {
        while self.busy_slots < self.scenario.slots {
            let Some(id) = self.backend_queue.pop_front() else {
                break;
            };
            let slowness = if self.is_slowed_down() { 10 } else { 1 };
            self.busy_slots += 1;
            self.schedule(self.calls[id].work * slowness, Event::Finished(id));
        }
    }

    fn handle_finished(&mut self, id: usize) {
        self.busy_slots -= 1;
        if self.in_flight.remove(&id).is_some() {
            let call = self.calls[id];
            self.release(id, SampleResult::Success);
            self.totals(call.criticality, self.now).answered += call.work.as_secs_f64();
            self.totals(call.criticality, call.arrived).answered_calls += 1;
        }
        self.dispatch();
    }

    fn handle_timeout(&mut self, id: usize) {
        if self.in_flight.remove(&id).is_some() {
            self.release(id, SampleResult::Overload);
            self.schedule_retry(id);
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
        self.early_refusal.record(0, 0, &report, self.now);
    }

    fn tick(&mut self) {
        self.schedule(TICK_INTERVAL, Event::Tick);
        for expired in self.queue.expire(self.now) {
            self.refuse(expired);
        }
        self.limit.tick(self.now);
        self.level.tick(self.now);
        self.early_refusal.tick(self.now);
        self.outcome.limits.push(self.limit.limit());
        self.dispatch();
    }
}

/// Draws an index with probabilities `shares`.
fn pick_index<const N: usize>(shares: [f64; N], rng: &mut SmallRng) -> usize {
    let mut point = rng.random::<f64>();
    for (index, share) in shares.iter().enumerate() {
        if point < *share {
            return index;
        }
        point -= share;
    }
    N - 1
}
