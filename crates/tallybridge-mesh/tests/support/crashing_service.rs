//! A service in virtual time, whose back ends crash by themselves and by what they run. Calls that run,
//! suspects and the quarantine are the product's own tables; all nodes share one quarantine, as if reports
//! took no time.

use std::{ops::Add, time::Duration};

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use tallybridge_mesh::{
    clock::BootInstant,
    protocol::{CallMessage, CrashReport, RequestDigest, ServiceTag},
    tables::{
        Incarnation,
        quarantine::{CallContent, DispatchEnd, DispatchId, DispatchedCalls, Quarantine},
    },
};

use super::names;

/// Step of the time.
const STEP: Duration = Duration::from_millis(5);
/// Length of a play.
const LENGTH: Duration = Duration::from_secs(10);
/// Time for which a back end that crashed is away.
const AWAY: Duration = Duration::from_millis(250);
/// Time for which a lethal request runs before its back end crashes.
const RUNS_BEFORE_CRASH: Duration = Duration::from_millis(30);
/// Back ends that one attempt may be sent to.
const MAX_ATTEMPTS: u32 = 2;
/// Share of the retries that are paid.
const PAID: f64 = 0.5;

/// What is asked of the service, and what it bears.
#[derive(Debug, Clone)]
pub struct Demand {
    pub back_ends: usize,
    /// Things that are asked for again and again and crash nothing.
    pub things: usize,
    /// How long a run of these takes.
    pub run: Duration,
    /// Time from one request for a thing to the next, give or take a tenth.
    pub ask_each: Duration,
    /// Crashes of each back end by itself, a second that it runs.
    pub own_crashes_per_s: f64,
    /// Requests that crash each back end which runs them.
    pub lethal: usize,
    /// Time from one request of these to the next.
    pub lethal_each: Duration,
}

/// What came of a play.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    pub own_crashes: usize,
    pub lethal_crashes: usize,
    /// The most back ends that one lethal request ended in a play.
    pub most_by_one: usize,
    pub sound_asked: usize,
    pub sound_held_back: usize,
    pub sound_answered: usize,
}

impl Add for Outcome {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            own_crashes: self.own_crashes + other.own_crashes,
            lethal_crashes: self.lethal_crashes + other.lethal_crashes,
            most_by_one: self.most_by_one.max(other.most_by_one),
            sound_asked: self.sound_asked + other.sound_asked,
            sound_held_back: self.sound_held_back + other.sound_held_back,
            sound_answered: self.sound_answered + other.sound_answered,
        }
    }
}

struct BackEnd {
    calls: DispatchedCalls,
    incarnation: Incarnation,
    starts: u64,
    up_at: BootInstant,
    /// Whether it crashed with no call, which shows once it is back.
    crashed_idle: bool,
    running: Vec<Run>,
}

struct Run {
    request: usize,
    attempt: u32,
    id: DispatchId,
    ends_at: BootInstant,
}

/// One request that is asked for again and again.
struct Asked {
    message: CallMessage,
    digests: [RequestDigest; 2],
    is_lethal: bool,
    each: Duration,
    next_at: BootInstant,
    crashes: usize,
}

/// One play of a service.
pub struct Play {
    demand: Demand,
    service: ServiceTag,
    random: SmallRng,
    now: BootInstant,
    back_ends: Vec<BackEnd>,
    requests: Vec<Asked>,
    quarantine: Quarantine,
    outcome: Outcome,
}

impl Play {
    pub fn new(demand: &Demand, weighs_own_crashes: bool, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let now = BootInstant::now();
        let service = ServiceTag::of("ledger");
        let mut quarantine = Quarantine::default();
        if weighs_own_crashes {
            quarantine.set_back_ends(service, demand.back_ends);
        }
        let back_ends = (0..demand.back_ends).map(|_| BackEnd {
            calls: DispatchedCalls::new(names(), now),
            incarnation: Incarnation::new("i".into(), 0),
            starts: 0,
            up_at: now,
            crashed_idle: false,
            running: Vec::new(),
        });
        let requests = (0..demand.things + demand.lethal).map(|number| {
            let is_lethal = number >= demand.things;
            let each = if is_lethal {
                demand.lethal_each
            } else {
                demand.ask_each
            };
            let message = message(number);
            Asked {
                digests: CallContent::of(&message, &names()).digests().both(),
                message,
                is_lethal,
                each,
                next_at: now + each.mul_f64(random.random_range(0.0..1.0)),
                crashes: 0,
            }
        });
        let requests = requests.collect();
        Self {
            back_ends: back_ends.collect(),
            requests,
            demand: demand.clone(),
            service,
            random,
            now,
            quarantine,
            outcome: Outcome::default(),
        }
    }

    pub fn run(mut self) -> Outcome {
        let end = self.now + LENGTH;
        while self.now < end {
            self.now += STEP;
            for back_end in 0..self.back_ends.len() {
                self.end_runs(back_end);
                self.crash_by_itself(back_end);
            }
            for request in 0..self.requests.len() {
                self.ask(request);
            }
        }
        let lethal = self.requests.iter().filter(|asked| asked.is_lethal);
        self.outcome.most_by_one = lethal.map(|asked| asked.crashes).max().unwrap_or(0);
        self.outcome
    }

    /// Asks for a request whose time has come.
    fn ask(&mut self, request: usize) {
        let asked = &mut self.requests[request];
        if self.now < asked.next_at {
            return;
        }
        let spread = self.random.random_range(0.9..1.1);
        asked.next_at = self.now + asked.each.mul_f64(spread);
        let is_sound = !asked.is_lethal;
        self.outcome.sound_asked += usize::from(is_sound);
        let is_held_back = self.is_quarantined(request);
        self.outcome.sound_held_back += usize::from(is_sound && is_held_back);
        self.dispatch(request, 1);
    }

    fn is_quarantined(&self, request: usize) -> bool {
        let digests = &self.requests[request].digests;
        self.quarantine.find(digests, self.now).is_some()
    }

    /// Runs a request at a back end that is up, if there is one.
    fn dispatch(&mut self, request: usize, attempt: u32) {
        if self.is_quarantined(request) {
            return;
        }
        let asked = &self.requests[request];
        let up = self
            .back_ends
            .iter_mut()
            .filter(|back_end| self.now >= back_end.up_at);
        let Some(back_end) = up.choose(&mut self.random) else {
            return;
        };
        let id = back_end
            .calls
            .begin(&asked.message, &back_end.incarnation, self.now);
        let _ = self.quarantine.begin_trial(&asked.digests, self.now);
        let runs = if asked.is_lethal {
            RUNS_BEFORE_CRASH
        } else {
            self.demand.run
        };
        back_end.running.push(Run {
            request,
            attempt,
            id,
            ends_at: self.now + runs,
        });
    }

    /// Answers the runs that are done; a lethal one ends the back end.
    fn end_runs(&mut self, index: usize) {
        let back_end = &mut self.back_ends[index];
        let done = |run: &Run| self.now >= run.ends_at;
        let lethal = back_end
            .running
            .iter()
            .find(|run| done(run) && self.requests[run.request].is_lethal);
        if let Some(run) = lethal {
            self.requests[run.request].crashes += 1;
            self.outcome.lethal_crashes += 1;
            self.crash(index);
            return;
        }
        let answered: Vec<_> = back_end.running.extract_if(.., |run| done(run)).collect();
        self.outcome.sound_answered += answered.len();
        for run in answered {
            back_end.calls.end(run.id, DispatchEnd::Answered, self.now);
            for digest in self.requests[run.request].digests {
                self.quarantine.clear(digest, self.now);
            }
        }
    }

    fn crash_by_itself(&mut self, index: usize) {
        let back_end = &mut self.back_ends[index];
        if self.now < back_end.up_at {
            return;
        }
        if std::mem::take(&mut back_end.crashed_idle) {
            let report = CrashReport::new(self.service, true, Vec::new());
            self.quarantine.record_crash(&report, self.now);
        }
        let chance = self.demand.own_crashes_per_s * STEP.as_secs_f64();
        if self.random.random_bool(chance.min(1.0)) {
            self.outcome.own_crashes += 1;
            self.crash(index);
        }
    }

    /// A back end ends, and with it all that it runs. Some of that goes to another one.
    fn crash(&mut self, index: usize) {
        let back_end = &mut self.back_ends[index];
        back_end.up_at = self.now + AWAY;
        let cut = std::mem::take(&mut back_end.running);
        for run in &cut {
            back_end
                .calls
                .end(run.id, DispatchEnd::ConnectionLost, self.now);
        }
        let interrupted = back_end
            .calls
            .take_after_crash(&back_end.incarnation, self.now);
        back_end.starts += 1;
        back_end.incarnation = Incarnation::new("i".into(), back_end.starts);
        back_end.crashed_idle = interrupted.calls == 0;
        let names_all = interrupted.names_all();
        if !interrupted.suspects.is_empty() {
            let report = CrashReport::new(self.service, names_all, interrupted.suspects);
            self.quarantine.record_crash(&report, self.now);
        }
        for run in cut {
            if run.attempt < MAX_ATTEMPTS && self.random.random_bool(PAID) {
                self.dispatch(run.request, run.attempt + 1);
            }
        }
    }
}

fn message(number: usize) -> CallMessage {
    CallMessage {
        remaining_ms: 1000,
        wait_ms: 100,
        criticality: 0,
        route_number: 0,
        is_idempotent: true,
        is_urgent: false,
        is_retry: false,
        is_head_request: false,
        attempt: Bytes::from_static(b"a"),
        head: format!("GET /read/thing{number} HTTP/1.1\r\nHost: reads.example\r\n").into(),
        body: Bytes::new(),
    }
}
