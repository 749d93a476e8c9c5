//! Simulation, in virtual time, of a service whose back ends crash spontaneously and due to lethal requests.
//!
//! Dispatched calls and the quarantine use the tables of the product. All back ends share one quarantine table,
//! as if crash reports arrived instantly.

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

use super::header_names;

const TIME_STEP: Duration = Duration::from_millis(5);
const SIMULATED_TIME: Duration = Duration::from_secs(10);
/// Time from a crash until the back end accepts calls again.
const RESTART_TIME: Duration = Duration::from_millis(250);
/// Time from the dispatch of a lethal request to the crash of its back end.
const TIME_TO_CRASH: Duration = Duration::from_millis(30);
const MAX_ATTEMPTS: u32 = 2;
const RETRY_PROBABILITY: f64 = 0.5;

/// Load on the service, and the rate of its spontaneous crashes.
#[derive(Debug, Clone)]
pub struct Workload {
    pub back_ends: usize,
    /// Number of distinct requests that crash no back end.
    pub harmless_requests: usize,
    /// Run time of a harmless request.
    pub run_time: Duration,
    /// Mean interval between calls of the same harmless request; varies by up to 10%.
    pub harmless_interval: Duration,
    /// Mean rate of spontaneous crashes of each running back end.
    pub spontaneous_crashes_per_s: f64,
    /// Number of distinct requests that crash every back end that runs them.
    pub lethal_requests: usize,
    /// Mean interval between calls of the same lethal request; varies by up to 10%.
    pub lethal_interval: Duration,
}

/// Counts of one or several simulations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    pub spontaneous_crashes: usize,
    pub lethal_crashes: usize,
    /// Maximum number of back ends that one lethal request crashed in one simulation.
    pub max_crashes_per_request: usize,
    pub harmless_calls: usize,
    pub harmless_refused: usize,
    pub harmless_answered: usize,
}

impl Add for Totals {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            spontaneous_crashes: self.spontaneous_crashes + other.spontaneous_crashes,
            lethal_crashes: self.lethal_crashes + other.lethal_crashes,
            max_crashes_per_request: self
                .max_crashes_per_request
                .max(other.max_crashes_per_request),
            harmless_calls: self.harmless_calls + other.harmless_calls,
            harmless_refused: self.harmless_refused + other.harmless_refused,
            harmless_answered: self.harmless_answered + other.harmless_answered,
        }
    }
}

struct BackEnd {
    calls: DispatchedCalls,
    incarnation: Incarnation,
    incarnation_number: u64,
    available_at: BootInstant,
    /// Whether the last crash interrupted no call. Such a crash is reported after the restart.
    crashed_idle: bool,
    runs: Vec<Run>,
}

struct Run {
    request_index: usize,
    attempt: u32,
    id: DispatchId,
    ends_at: BootInstant,
}

struct RecurringRequest {
    message: CallMessage,
    digests: [RequestDigest; 2],
    is_lethal: bool,
    interval: Duration,
    next_call_at: BootInstant,
    crashes: usize,
}

pub struct Simulation {
    workload: Workload,
    service: ServiceTag,
    rng: SmallRng,
    now: BootInstant,
    back_ends: Vec<BackEnd>,
    requests: Vec<RecurringRequest>,
    quarantine: Quarantine,
    totals: Totals,
}

impl Simulation {
    /// Creates a simulation. If `adapts_threshold` is `false`, three crashes always quarantine a request.
    pub fn new(workload: &Workload, adapts_threshold: bool, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = BootInstant::now();
        let service = ServiceTag::from_name("ledger");
        let mut quarantine = Quarantine::default();
        if adapts_threshold {
            quarantine.set_back_end_count(service, workload.back_ends);
        }
        let back_ends = (0..workload.back_ends).map(|_| BackEnd {
            calls: DispatchedCalls::new(header_names(), now),
            incarnation: Incarnation::new("i".into(), 0),
            incarnation_number: 0,
            available_at: now,
            crashed_idle: false,
            runs: Vec::new(),
        });
        let requests = (0..workload.harmless_requests + workload.lethal_requests).map(|number| {
            let is_lethal = number >= workload.harmless_requests;
            let interval = if is_lethal {
                workload.lethal_interval
            } else {
                workload.harmless_interval
            };
            let message = message(number);
            RecurringRequest {
                digests: CallContent::new(&message, &header_names())
                    .digests()
                    .to_array(),
                message,
                is_lethal,
                interval,
                next_call_at: now + interval.mul_f64(rng.random_range(0.0..1.0)),
                crashes: 0,
            }
        });
        let requests = requests.collect();
        Self {
            back_ends: back_ends.collect(),
            requests,
            workload: workload.clone(),
            service,
            rng,
            now,
            quarantine,
            totals: Totals::default(),
        }
    }

    pub fn run(mut self) -> Totals {
        let end = self.now + SIMULATED_TIME;
        while self.now < end {
            self.now += TIME_STEP;
            for back_end_index in 0..self.back_ends.len() {
                self.end_runs(back_end_index);
                self.crash_spontaneously(back_end_index);
            }
            for request_index in 0..self.requests.len() {
                self.call_if_due(request_index);
            }
        }
        let lethal = self.requests.iter().filter(|request| request.is_lethal);
        self.totals.max_crashes_per_request =
            lethal.map(|request| request.crashes).max().unwrap_or(0);
        self.totals
    }

    fn call_if_due(&mut self, request_index: usize) {
        let request = &mut self.requests[request_index];
        if self.now < request.next_call_at {
            return;
        }
        let jitter = self.rng.random_range(0.9..1.1);
        request.next_call_at = self.now + request.interval.mul_f64(jitter);
        let is_harmless = !request.is_lethal;
        self.totals.harmless_calls += usize::from(is_harmless);
        let is_refused = self.is_quarantined(request_index);
        self.totals.harmless_refused += usize::from(is_harmless && is_refused);
        self.dispatch(request_index, 1);
    }

    fn is_quarantined(&self, request_index: usize) -> bool {
        let digests = &self.requests[request_index].digests;
        self.quarantine.find(digests, self.now).is_some()
    }

    /// Dispatches a request to a random available back end, if any, unless the request is quarantined.
    fn dispatch(&mut self, request_index: usize, attempt: u32) {
        if self.is_quarantined(request_index) {
            return;
        }
        let request = &self.requests[request_index];
        let available = self
            .back_ends
            .iter_mut()
            .filter(|back_end| self.now >= back_end.available_at);
        let Some(back_end) = available.choose(&mut self.rng) else {
            return;
        };
        let id = back_end
            .calls
            .begin(&request.message, &back_end.incarnation, self.now);
        let _ = self.quarantine.begin_trial(&request.digests, self.now);
        let run_time = if request.is_lethal {
            TIME_TO_CRASH
        } else {
            self.workload.run_time
        };
        back_end.runs.push(Run {
            request_index,
            attempt,
            id,
            ends_at: self.now + run_time,
        });
    }

    /// Answers the finished runs, or crashes the back end if a lethal run has finished.
    fn end_runs(&mut self, back_end_index: usize) {
        let back_end = &mut self.back_ends[back_end_index];
        let is_finished = |run: &Run| self.now >= run.ends_at;
        let lethal = back_end
            .runs
            .iter()
            .find(|run| is_finished(run) && self.requests[run.request_index].is_lethal);
        if let Some(run) = lethal {
            self.requests[run.request_index].crashes += 1;
            self.totals.lethal_crashes += 1;
            self.crash(back_end_index);
            return;
        }
        let answered: Vec<_> = back_end
            .runs
            .extract_if(.., |run| is_finished(run))
            .collect();
        self.totals.harmless_answered += answered.len();
        for run in answered {
            back_end.calls.end(run.id, DispatchEnd::Answered, self.now);
            for digest in self.requests[run.request_index].digests {
                self.quarantine.clear(digest, self.now);
            }
        }
    }

    /// Reports an earlier idle crash of a restarted back end, then crashes the back end at random.
    fn crash_spontaneously(&mut self, back_end_index: usize) {
        let back_end = &mut self.back_ends[back_end_index];
        if self.now < back_end.available_at {
            return;
        }
        if std::mem::take(&mut back_end.crashed_idle) {
            let report = CrashReport::new(self.service, true, Vec::new());
            self.quarantine.record_crash(&report, self.now);
        }
        let probability = self.workload.spontaneous_crashes_per_s * TIME_STEP.as_secs_f64();
        if self.rng.random_bool(probability.min(1.0)) {
            self.totals.spontaneous_crashes += 1;
            self.crash(back_end_index);
        }
    }

    /// Crashes a back end, reports the suspects and retries some of the interrupted runs.
    fn crash(&mut self, back_end_index: usize) {
        let back_end = &mut self.back_ends[back_end_index];
        back_end.available_at = self.now + RESTART_TIME;
        let interrupted_runs = std::mem::take(&mut back_end.runs);
        for run in &interrupted_runs {
            back_end
                .calls
                .end(run.id, DispatchEnd::ConnectionLost, self.now);
        }
        let interrupted = back_end
            .calls
            .take_after_crash(&back_end.incarnation, self.now);
        back_end.incarnation_number += 1;
        back_end.incarnation = Incarnation::new("i".into(), back_end.incarnation_number);
        back_end.crashed_idle = interrupted.calls == 0;
        let names_all = interrupted.names_all();
        if !interrupted.suspects.is_empty() {
            let report = CrashReport::new(self.service, names_all, interrupted.suspects);
            self.quarantine.record_crash(&report, self.now);
        }
        for run in interrupted_runs {
            if run.attempt < MAX_ATTEMPTS && self.rng.random_bool(RETRY_PROBABILITY) {
                self.dispatch(run.request_index, run.attempt + 1);
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
