//! Which requests are the same, which calls are suspects when a back end ends, and which requests are
//! quarantined for it.

mod support;

use std::time::Duration;

use bytes::Bytes;
use tallybridge_mesh::clock::BootInstant;
use tallybridge_mesh::{
    protocol::{CallMessage, CrashReport, QuarantinedRequest, RequestDigest},
    tables::{
        Incarnation,
        quarantine::{
            CRASHES_TO_QUARANTINE, CallContent, DispatchEnd, DispatchedCalls, Quarantine,
        },
    },
};

use self::support::names;

const SECOND: Duration = Duration::from_secs(1);

/// A call, as a back end gets it.
#[derive(Debug, Clone, Copy)]
struct Asked<'a> {
    line: &'a str,
    host: &'a str,
    caller: &'a str,
    tenant: &'a str,
    attempt: &'a str,
    body: &'a str,
}

const ASKED: Asked<'_> = Asked {
    line: "POST /pay/1?account=4711 HTTP/1.1",
    host: "pay.example",
    caller: "portal",
    tenant: "ana",
    attempt: "a1",
    body: "ten for 4711",
};

impl Asked<'_> {
    fn message(&self) -> CallMessage {
        let Self {
            line,
            host,
            caller,
            tenant,
            attempt,
            body,
        } = self;
        let head = format!(
            "{line}\r\nAttempt: {attempt}\r\nhOST: {host}\r\nCaller: {caller}\r\nTenant: {tenant}\r\n"
        );
        CallMessage {
            remaining_ms: 1000,
            wait_ms: 100,
            criticality: 0,
            route_number: 0,
            is_idempotent: true,
            is_urgent: false,
            is_retry: false,
            is_head_request: false,
            attempt: Bytes::copy_from_slice(attempt.as_bytes()),
            head: head.into(),
            body: Bytes::copy_from_slice(body.as_bytes()),
        }
    }

    fn digests(&self) -> [RequestDigest; 2] {
        CallContent::of(&self.message(), &names()).digests().both()
    }
}

fn digest(number: u16) -> RequestDigest {
    let mut bytes = [0; 16];
    bytes[..2].copy_from_slice(&number.to_be_bytes());
    RequestDigest(bytes)
}

#[test]
fn attempts_that_ask_for_the_same_are_the_same_request() {
    let again = Asked {
        attempt: "another-name",
        ..ASKED
    };
    assert_eq!(again.digests(), ASKED.digests());
}

#[test]
fn what_asks_for_something_else_or_for_another_tenant_is_another_request() {
    let others = [
        Asked {
            line: "POST /pay/2 HTTP/1.1",
            ..ASKED
        },
        Asked {
            line: "PUT /pay/1?account=4711 HTTP/1.1",
            ..ASKED
        },
        Asked {
            host: "other.example",
            ..ASKED
        },
        Asked {
            tenant: "rui",
            ..ASKED
        },
        Asked {
            body: "ten for 4712",
            ..ASKED
        },
        // The same bytes, with the border between two parts elsewhere.
        Asked {
            tenant: "anap",
            host: "ay.example",
            ..ASKED
        },
    ];
    for other in others {
        let [content, from_caller] = other.digests();
        assert_ne!(content, ASKED.digests()[0], "{other:?}");
        assert_ne!(from_caller, ASKED.digests()[1], "{other:?}");
    }
}

#[test]
fn a_request_is_known_by_what_it_asks_and_by_that_with_its_caller() {
    let elsewhere = Asked {
        caller: "ledger",
        ..ASKED
    };
    let [content, from_caller] = elsewhere.digests();
    assert_eq!(content, ASKED.digests()[0]);
    assert_ne!(from_caller, ASKED.digests()[1]);
}

#[test]
fn nothing_that_a_request_holds_can_be_read_from_its_digest() {
    let text = format!("{:?}", ASKED.digests());
    for part in ["4711", "pay", "ana", "portal", "ten"] {
        assert!(!text.contains(part), "{part} in {text}");
    }
}

/// Calls at one back end, by the letter of what they ask for.
struct Dispatched {
    calls: DispatchedCalls,
    incarnation: Incarnation,
    now: BootInstant,
}

/// The only start of an id.
fn start_of(id: &str) -> Incarnation {
    Incarnation::new(id.into(), 1)
}

impl Dispatched {
    fn new() -> Self {
        let now = BootInstant::now();
        Self {
            calls: DispatchedCalls::new(names(), now),
            incarnation: start_of("i-1"),
            now,
        }
    }

    fn run(&mut self, body: &str, end: DispatchEnd) {
        let asked = Asked { body, ..ASKED };
        let id = self
            .calls
            .begin(&asked.message(), &self.incarnation, self.now);
        self.calls.end(id, end, self.now);
    }

    /// Whether the request of a body is a suspect when the instance ends.
    fn suspects(&mut self, instance: &str, bodies: &[&str]) -> Vec<bool> {
        let interrupted = self.calls.take_after_crash(&start_of(instance), self.now);
        let is_suspect = |body: &&str| {
            let digests = Asked { body, ..ASKED }.digests();
            digests
                .iter()
                .all(|digest| interrupted.suspects.contains(digest))
        };
        bodies.iter().map(is_suspect).collect()
    }
}

#[test]
fn what_was_broken_off_or_just_withdrawn_is_a_suspect_and_nothing_else() {
    let mut dispatched = Dispatched::new();
    dispatched.run("broken", DispatchEnd::ConnectionLost);
    dispatched.run("withdrawn", DispatchEnd::Cancelled);
    dispatched.run("answered", DispatchEnd::Answered);
    dispatched.run("refused", DispatchEnd::NotRun);
    let bodies = ["broken", "withdrawn", "answered", "refused"];
    assert_eq!(
        dispatched.suspects("i-1", &bodies),
        [true, true, false, false]
    );
    assert_eq!(dispatched.suspects("i-1", &bodies), [false; 4], "told once");
}

#[test]
fn what_another_instance_ran_or_was_long_ago_is_no_suspect() {
    let mut dispatched = Dispatched::new();
    dispatched.run("broken", DispatchEnd::ConnectionLost);
    assert_eq!(dispatched.suspects("i-2", &["broken"]), [false]);
    dispatched.run("withdrawn", DispatchEnd::Cancelled);
    dispatched.now += 2 * SECOND;
    dispatched.run("broken", DispatchEnd::ConnectionLost);
    let bodies = ["withdrawn", "broken"];
    assert_eq!(dispatched.suspects("i-1", &bodies), [false, true]);
}

#[test]
fn a_back_end_at_which_a_call_goes_on_does_not_look_ended() {
    let mut dispatched = Dispatched::new();
    assert!(!dispatched.calls.is_crash_suspected());
    let message = ASKED.message();
    let id = dispatched
        .calls
        .begin(&message, &dispatched.incarnation, dispatched.now);
    dispatched.run("broken", DispatchEnd::ConnectionLost);
    assert!(!dispatched.calls.is_crash_suspected(), "one goes on");
    dispatched
        .calls
        .end(id, DispatchEnd::ConnectionLost, dispatched.now);
    assert!(dispatched.calls.is_crash_suspected());
    dispatched.now += Duration::from_millis(1);
    dispatched
        .calls
        .begin(&message, &dispatched.incarnation, dispatched.now);
    assert!(
        dispatched.calls.is_crash_suspected(),
        "the new one finds out for itself"
    );
    dispatched.calls.backend_reachable();
    assert!(!dispatched.calls.is_crash_suspected());
    assert_eq!(dispatched.suspects("i-1", &["broken"]), [false], "it lives");
}

#[test]
fn a_start_under_the_same_id_shows_that_the_back_end_ended_though_it_was_back_at_once() {
    let mut dispatched = Dispatched::new();
    dispatched.run("broken", DispatchEnd::ConnectionLost);
    // A connection went through right after: the next start had it already.
    dispatched.calls.backend_reachable();
    let later = Asked {
        body: "later",
        ..ASKED
    };
    let next = Incarnation::new("i-1".into(), 2);
    dispatched
        .calls
        .begin(&later.message(), &next, dispatched.now);
    let open = Asked {
        body: "open",
        ..ASKED
    };
    let before = &dispatched.incarnation.clone();
    dispatched
        .calls
        .begin(&open.message(), before, dispatched.now);
    let interrupted = dispatched.calls.take_after_restart(before, dispatched.now);
    let is_suspect = |body| {
        let digests = Asked { body, ..ASKED }.digests();
        digests
            .iter()
            .all(|digest| interrupted.suspects.contains(digest))
    };
    assert!(is_suspect("open"), "it was at work on it");
    assert!(!is_suspect("broken"), "its end shows at another call");
    assert!(!is_suspect("later"), "that is at the next start");
    assert_eq!(interrupted.calls, 1);
}

#[test]
fn what_broke_off_before_the_back_end_was_back_is_a_suspect_if_nothing_else_is() {
    let mut dispatched = Dispatched::new();
    dispatched.run("broken", DispatchEnd::ConnectionLost);
    dispatched.calls.backend_reachable();
    let before = dispatched.incarnation.clone();
    let interrupted = dispatched.calls.take_after_restart(&before, dispatched.now);
    assert_eq!(interrupted.calls, 1);
}

#[test]
fn a_request_that_was_answered_often_lately_is_no_suspect_of_the_next_crash() {
    let mut dispatched = Dispatched::new();
    for _ in 0..3 {
        dispatched.run("popular", DispatchEnd::Answered);
    }
    dispatched.run("popular", DispatchEnd::ConnectionLost);
    dispatched.run("popular", DispatchEnd::ConnectionLost);
    dispatched.run("deadly", DispatchEnd::ConnectionLost);
    let bodies = ["popular", "deadly"];
    assert_eq!(dispatched.suspects("i-1", &bodies), [false, true]);
    // It may have begun to end back ends just now: it is cleared by what was before once only.
    dispatched.run("popular", DispatchEnd::ConnectionLost);
    assert_eq!(dispatched.suspects("i-1", &["popular"]), [true]);
}

#[test]
fn a_caller_s_own_request_is_a_suspect_though_the_same_of_others_is_answered() {
    let mut dispatched = Dispatched::new();
    let others = Asked {
        caller: "ledger",
        ..ASKED
    };
    for _ in 0..3 {
        let id = dispatched
            .calls
            .begin(&others.message(), &dispatched.incarnation, dispatched.now);
        dispatched
            .calls
            .end(id, DispatchEnd::Answered, dispatched.now);
    }
    dispatched.run(ASKED.body, DispatchEnd::ConnectionLost);
    let suspects = dispatched
        .calls
        .take_after_crash(&start_of("i-1"), dispatched.now)
        .suspects;
    let [content, from_caller] = ASKED.digests();
    assert!(!suspects.contains(&content), "others are answered");
    assert!(suspects.contains(&from_caller));
}

/// A table, and its crashes.
struct Table {
    quarantine: Quarantine,
    now: BootInstant,
    reports: u64,
}

impl Table {
    fn new() -> Self {
        Self {
            quarantine: Quarantine::default(),
            now: BootInstant::now(),
            reports: 0,
        }
    }

    fn crash(&mut self, suspects: &[RequestDigest]) -> Vec<QuarantinedRequest> {
        self.reports += 1;
        let report = CrashReport {
            id: self.reports,
            suspects: suspects.to_vec(),
        };
        self.quarantine
            .record_crash(&report, self.now)
            .expect("a new report")
    }

    fn is_quarantined(&self, digest: RequestDigest) -> bool {
        self.quarantine.find(&[digest], self.now).is_some()
    }

    /// Time until it is released.
    fn release(&mut self, digest: RequestDigest) -> Duration {
        let held = self
            .quarantine
            .find(&[digest], self.now)
            .expect("it is held");
        self.now += held.remaining;
        assert!(!self.is_quarantined(digest));
        held.remaining
    }
}

#[test]
fn a_suspect_of_three_crashes_is_quarantined() {
    let mut table = Table::new();
    for crash in 1..=CRASHES_TO_QUARANTINE {
        assert!(!table.is_quarantined(digest(1)));
        let held = table.crash(&[digest(1)]);
        assert_eq!(held.len(), usize::from(crash == CRASHES_TO_QUARANTINE));
    }
    assert!(table.is_quarantined(digest(1)));
    assert!(!table.is_quarantined(digest(2)));
    assert_eq!(table.quarantine.quarantined(table.now).len(), 1);
}

#[test]
fn a_report_that_comes_by_two_ways_counts_once() {
    let mut table = Table::new();
    let report = CrashReport {
        id: 7,
        suspects: vec![digest(1)],
    };
    assert!(table.quarantine.record_crash(&report, table.now).is_some());
    for _ in 0..3 {
        assert!(table.quarantine.record_crash(&report, table.now).is_none());
    }
    assert!(!table.is_quarantined(digest(1)));
}

#[test]
fn an_answered_run_clears_a_suspect_and_late_news_does_not_hold_it_again() {
    let mut table = Table::new();
    table.crash(&[digest(1)]);
    table.crash(&[digest(1)]);
    assert!(table.quarantine.clear(digest(1), table.now));
    assert!(
        !table.quarantine.clear(digest(1), table.now),
        "it is no suspect"
    );
    let late = QuarantinedRequest {
        digest: digest(1),
        crashes: 3,
        remaining: 30 * SECOND,
    };
    assert!(!table.quarantine.merge(late, table.now));
    table.crash(&[digest(1)]);
    assert!(!table.is_quarantined(digest(1)), "counted from anew");
}

#[test]
fn a_request_that_ends_back_ends_ends_three_more_in_a_day() {
    let mut table = Table::new();
    for _ in 0..3 {
        table.crash(&[digest(1)]);
    }
    let began = table.now;
    let mut trials = 0;
    loop {
        table.release(digest(1));
        if table.now >= began + 86_400 * SECOND {
            break;
        }
        table.quarantine.remove_expired(table.now);
        let trial = table.quarantine.begin_trial(&[digest(1)], table.now);
        assert_eq!(trial.len(), 1);
        assert!(table.is_quarantined(digest(1)), "held while it is tried");
        table.crash(&[digest(1)]);
        trials += 1;
    }
    assert_eq!(trials, 3);
}

#[test]
fn a_hold_that_is_learned_lasts_no_longer_than_a_day() {
    let mut table = Table::new();
    let held = QuarantinedRequest {
        digest: digest(1),
        crashes: 200,
        remaining: Duration::from_millis(u64::MAX),
    };
    assert!(table.quarantine.merge(held, table.now));
    assert!(table.release(digest(1)) <= 2 * 86_400 * SECOND);
}

#[test]
fn what_is_learned_twice_is_no_news() {
    let mut table = Table::new();
    let held = QuarantinedRequest {
        digest: digest(1),
        crashes: 3,
        remaining: 30 * SECOND,
    };
    assert!(table.quarantine.merge(held, table.now));
    assert!(!table.quarantine.merge(held, table.now));
    assert!(table.is_quarantined(digest(1)));
}

#[test]
fn a_suspect_of_two_crashes_is_held_at_the_next_by_a_node_that_was_told() {
    let mut table = Table::new();
    table.crash(&[digest(1), digest(2)]);
    table.crash(&[digest(1)]);
    let kept = table.quarantine.snapshot(table.now);
    let told: Vec<_> = kept
        .iter()
        .map(|kept| (kept.digest, kept.crashes))
        .collect();
    assert_eq!(told, [(digest(1), 2)], "one crash says little");
    let mut started = Table::new();
    started.now = table.now;
    assert!(started.quarantine.merge(kept[0], started.now));
    assert!(!started.is_quarantined(digest(1)));
    started.crash(&[digest(1)]);
    assert!(started.is_quarantined(digest(1)));
}

#[test]
fn suspects_are_forgotten() {
    let mut table = Table::new();
    table.crash(&[digest(1)]);
    table.now += 121 * SECOND;
    table.quarantine.remove_expired(table.now);
    assert!(table.quarantine.is_empty());
}

#[test]
fn the_table_stays_bounded_and_keeps_what_ended_most() {
    let mut table = Table::new();
    for _ in 0..4 {
        table.crash(&[digest(0)]);
    }
    for number in 1..10_000 {
        table.crash(&[digest(number)]);
    }
    let counts = table.quarantine.counts(table.now);
    assert_eq!((counts.suspects, counts.quarantined), (4096, 1));
    for number in 1..1000 {
        for _ in 0..3 {
            table.crash(&[digest(number)]);
        }
    }
    let counts = table.quarantine.counts(table.now);
    assert!(
        counts.suspects <= 4096 && counts.quarantined <= 256,
        "{counts:?}"
    );
    assert!(
        table.is_quarantined(digest(0)),
        "it ended more than the others"
    );
}
