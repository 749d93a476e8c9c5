//! Identity of requests, selection of the suspects of a crash, and quarantine of requests.

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

use self::support::header_names;

const SECOND: Duration = Duration::from_secs(1);

/// Parts of a call that a test can vary.
#[derive(Debug, Clone, Copy)]
struct TestCall<'a> {
    line: &'a str,
    host: &'a str,
    caller: &'a str,
    tenant: &'a str,
    attempt: &'a str,
    body: &'a str,
}

const DEFAULT_CALL: TestCall<'_> = TestCall {
    line: "POST /pay/1?account=4711 HTTP/1.1",
    host: "pay.example",
    caller: "portal",
    tenant: "ana",
    attempt: "a1",
    body: "ten for 4711",
};

impl TestCall<'_> {
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
        CallContent::new(&self.message(), &header_names())
            .digests()
            .to_array()
    }
}

fn digest(number: u16) -> RequestDigest {
    let mut bytes = [0; 16];
    bytes[..2].copy_from_slice(&number.to_be_bytes());
    RequestDigest(bytes)
}

#[test]
fn digests_ignore_the_attempt_id() {
    let retry = TestCall {
        attempt: "another-id",
        ..DEFAULT_CALL
    };
    assert_eq!(retry.digests(), DEFAULT_CALL.digests());
}

#[test]
fn digests_depend_on_content_host_and_tenant() {
    let others = [
        TestCall {
            line: "POST /pay/2 HTTP/1.1",
            ..DEFAULT_CALL
        },
        TestCall {
            line: "PUT /pay/1?account=4711 HTTP/1.1",
            ..DEFAULT_CALL
        },
        TestCall {
            host: "other.example",
            ..DEFAULT_CALL
        },
        TestCall {
            tenant: "rui",
            ..DEFAULT_CALL
        },
        TestCall {
            body: "ten for 4712",
            ..DEFAULT_CALL
        },
        // Tenant and host concatenate to the same bytes as in the default call.
        TestCall {
            tenant: "anap",
            host: "ay.example",
            ..DEFAULT_CALL
        },
    ];
    for other in others {
        let [content, with_caller] = other.digests();
        assert_ne!(content, DEFAULT_CALL.digests()[0], "{other:?}");
        assert_ne!(with_caller, DEFAULT_CALL.digests()[1], "{other:?}");
    }
}

#[test]
fn only_one_digest_depends_on_the_caller() {
    let other_caller = TestCall {
        caller: "ledger",
        ..DEFAULT_CALL
    };
    let [content, with_caller] = other_caller.digests();
    assert_eq!(content, DEFAULT_CALL.digests()[0]);
    assert_ne!(with_caller, DEFAULT_CALL.digests()[1]);
}

#[test]
fn digest_text_reveals_no_content() {
    let text = format!("{:?}", DEFAULT_CALL.digests());
    for part in ["4711", "pay", "ana", "portal", "ten"] {
        assert!(!text.contains(part), "{part} in {text}");
    }
}

/// Calls dispatched to one back end. The body distinguishes the requests.
struct TestBackEnd {
    calls: DispatchedCalls,
    incarnation: Incarnation,
    now: BootInstant,
}

fn first_incarnation(id: &str) -> Incarnation {
    Incarnation::new(id.into(), 1)
}

impl TestBackEnd {
    fn new() -> Self {
        let now = BootInstant::now();
        Self {
            calls: DispatchedCalls::new(header_names(), now),
            incarnation: first_incarnation("i-1"),
            now,
        }
    }

    fn run(&mut self, body: &str, end: DispatchEnd) {
        let call = TestCall {
            body,
            ..DEFAULT_CALL
        };
        let id = self
            .calls
            .begin(&call.message(), &self.incarnation, self.now);
        self.calls.end(id, end, self.now);
    }

    /// Returns for each body whether its request is a suspect after a crash of the instance.
    fn are_suspects(&mut self, instance: &str, bodies: &[&str]) -> Vec<bool> {
        let interrupted = self
            .calls
            .take_after_crash(&first_incarnation(instance), self.now);
        let is_suspect = |body: &&str| {
            let digests = TestCall {
                body,
                ..DEFAULT_CALL
            }
            .digests();
            digests
                .iter()
                .all(|digest| interrupted.suspects.contains(digest))
        };
        bodies.iter().map(is_suspect).collect()
    }
}

#[test]
fn only_unanswered_calls_are_suspects() {
    let mut back_end = TestBackEnd::new();
    back_end.run("lost", DispatchEnd::ConnectionLost);
    back_end.run("cancelled", DispatchEnd::Cancelled);
    back_end.run("answered", DispatchEnd::Answered);
    back_end.run("refused", DispatchEnd::NotRun);
    let bodies = ["lost", "cancelled", "answered", "refused"];
    assert_eq!(
        back_end.are_suspects("i-1", &bodies),
        [true, true, false, false]
    );
    assert_eq!(
        back_end.are_suspects("i-1", &bodies),
        [false; 4],
        "the suspects of one crash were returned twice"
    );
}

#[test]
fn calls_of_other_instances_and_old_calls_are_exempt() {
    let mut back_end = TestBackEnd::new();
    back_end.run("lost", DispatchEnd::ConnectionLost);
    assert_eq!(back_end.are_suspects("i-2", &["lost"]), [false]);
    back_end.run("cancelled", DispatchEnd::Cancelled);
    back_end.now += 2 * SECOND;
    back_end.run("lost", DispatchEnd::ConnectionLost);
    let bodies = ["cancelled", "lost"];
    assert_eq!(back_end.are_suspects("i-1", &bodies), [false, true]);
}

#[test]
fn older_running_call_rules_out_a_crash() {
    let mut back_end = TestBackEnd::new();
    assert!(!back_end.calls.is_crash_suspected());
    let message = DEFAULT_CALL.message();
    let id = back_end
        .calls
        .begin(&message, &back_end.incarnation, back_end.now);
    back_end.run("lost", DispatchEnd::ConnectionLost);
    assert!(
        !back_end.calls.is_crash_suspected(),
        "a crash is suspected while an older call is still running"
    );
    back_end
        .calls
        .end(id, DispatchEnd::ConnectionLost, back_end.now);
    assert!(back_end.calls.is_crash_suspected());
    back_end.now += Duration::from_millis(1);
    back_end
        .calls
        .begin(&message, &back_end.incarnation, back_end.now);
    assert!(
        back_end.calls.is_crash_suspected(),
        "a call that started later hides the crash"
    );
    back_end.calls.mark_backend_reachable();
    assert!(!back_end.calls.is_crash_suspected());
    assert_eq!(
        back_end.are_suspects("i-1", &["lost"]),
        [false],
        "a call is a suspect although the back end was reachable afterwards"
    );
}

#[test]
fn restart_under_the_same_id_reveals_a_crash() {
    let mut back_end = TestBackEnd::new();
    back_end.run("lost", DispatchEnd::ConnectionLost);
    // The restarted back end accepts a connection at once.
    back_end.calls.mark_backend_reachable();
    let later = TestCall {
        body: "later",
        ..DEFAULT_CALL
    };
    let new_incarnation = Incarnation::new("i-1".into(), 2);
    back_end
        .calls
        .begin(&later.message(), &new_incarnation, back_end.now);
    let running = TestCall {
        body: "running",
        ..DEFAULT_CALL
    };
    let old_incarnation = &back_end.incarnation.clone();
    back_end
        .calls
        .begin(&running.message(), old_incarnation, back_end.now);
    let interrupted = back_end
        .calls
        .take_after_restart(old_incarnation, back_end.now);
    let is_suspect = |body| {
        let digests = TestCall {
            body,
            ..DEFAULT_CALL
        }
        .digests();
        digests
            .iter()
            .all(|digest| interrupted.suspects.contains(digest))
    };
    assert!(
        is_suspect("running"),
        "a call still running on the old incarnation is no suspect"
    );
    assert!(
        !is_suspect("lost"),
        "a call is a suspect although the back end was reachable after its connection closed"
    );
    assert!(
        !is_suspect("later"),
        "a call on the new incarnation is a suspect"
    );
    assert_eq!(interrupted.calls, 1);
}

#[test]
fn restart_makes_lost_calls_suspects_as_last_resort() {
    let mut back_end = TestBackEnd::new();
    back_end.run("lost", DispatchEnd::ConnectionLost);
    back_end.calls.mark_backend_reachable();
    let old_incarnation = back_end.incarnation.clone();
    let interrupted = back_end
        .calls
        .take_after_restart(&old_incarnation, back_end.now);
    assert_eq!(interrupted.calls, 1);
}

/// Guards against a crash that counts as one without calls, because the back end restarted under another id
/// before the node tested whether it accepts connections.
#[test]
fn replacement_reveals_a_crash_despite_a_successful_test_connection() {
    let mut back_end = TestBackEnd::new();
    back_end.run("lost", DispatchEnd::ConnectionLost);
    back_end.calls.mark_backend_reachable();
    let old_incarnation = back_end.incarnation.clone();
    let interrupted = back_end
        .calls
        .take_after_replacement(&old_incarnation, back_end.now);
    assert_eq!(interrupted.calls, 1);
    let lost = TestCall {
        body: "lost",
        ..DEFAULT_CALL
    };
    let digests = lost.digests();
    assert!(
        digests
            .iter()
            .all(|digest| interrupted.suspects.contains(digest))
    );
}

/// Guards against calls that a reset of their connections makes suspects of a later crash.
#[test]
fn replacement_spares_earlier_losses_if_another_call_shows_the_crash() {
    let mut back_end = TestBackEnd::new();
    back_end.run("earlier", DispatchEnd::ConnectionLost);
    back_end.calls.mark_backend_reachable();
    back_end.run("lost", DispatchEnd::ConnectionLost);
    let old_incarnation = back_end.incarnation.clone();
    let interrupted = back_end
        .calls
        .take_after_replacement(&old_incarnation, back_end.now);
    assert_eq!(interrupted.calls, 1);
}

#[test]
fn popular_request_is_exempt_from_one_crash() {
    let mut back_end = TestBackEnd::new();
    for _ in 0..3 {
        back_end.run("popular", DispatchEnd::Answered);
    }
    back_end.run("popular", DispatchEnd::ConnectionLost);
    back_end.run("popular", DispatchEnd::ConnectionLost);
    back_end.run("lethal", DispatchEnd::ConnectionLost);
    let bodies = ["popular", "lethal"];
    assert_eq!(back_end.are_suspects("i-1", &bodies), [false, true]);
    // The request may have started to crash back ends, so earlier answers exempt it only once.
    back_end.run("popular", DispatchEnd::ConnectionLost);
    assert_eq!(back_end.are_suspects("i-1", &["popular"]), [true]);
}

#[test]
fn answers_to_other_callers_exempt_content_digest_only() {
    let mut back_end = TestBackEnd::new();
    let other_caller = TestCall {
        caller: "ledger",
        ..DEFAULT_CALL
    };
    for _ in 0..3 {
        let id = back_end
            .calls
            .begin(&other_caller.message(), &back_end.incarnation, back_end.now);
        back_end.calls.end(id, DispatchEnd::Answered, back_end.now);
    }
    back_end.run(DEFAULT_CALL.body, DispatchEnd::ConnectionLost);
    let suspects = back_end
        .calls
        .take_after_crash(&first_incarnation("i-1"), back_end.now)
        .suspects;
    let [content, with_caller] = DEFAULT_CALL.digests();
    assert!(
        !suspects.contains(&content),
        "the content digest is a suspect although other callers got answers"
    );
    assert!(suspects.contains(&with_caller));
}

/// Quarantine table of one node, with a simulated clock.
struct Table {
    quarantine: Quarantine,
    now: BootInstant,
    last_report_id: u64,
}

impl Table {
    fn new() -> Self {
        Self {
            quarantine: Quarantine::default(),
            now: BootInstant::now(),
            last_report_id: 0,
        }
    }

    fn report_crash(&mut self, suspects: &[RequestDigest]) -> Vec<QuarantinedRequest> {
        self.last_report_id += 1;
        let report = CrashReport {
            id: self.last_report_id,
            suspects: suspects.to_vec(),
        };
        self.quarantine
            .record_crash(&report, self.now)
            .expect("the report id is new")
    }

    fn is_quarantined(&self, digest: RequestDigest) -> bool {
        self.quarantine.find(&[digest], self.now).is_some()
    }

    /// Advances the clock until the request is released. Returns how far the clock advanced.
    fn release(&mut self, digest: RequestDigest) -> Duration {
        let quarantined = self
            .quarantine
            .find(&[digest], self.now)
            .expect("the request is quarantined");
        self.now += quarantined.remaining;
        assert!(!self.is_quarantined(digest));
        quarantined.remaining
    }
}

#[test]
fn a_suspect_of_three_crashes_is_quarantined() {
    let mut table = Table::new();
    for crash in 1..=CRASHES_TO_QUARANTINE {
        assert!(!table.is_quarantined(digest(1)));
        let quarantined = table.report_crash(&[digest(1)]);
        assert_eq!(
            quarantined.len(),
            usize::from(crash == CRASHES_TO_QUARANTINE)
        );
    }
    assert!(table.is_quarantined(digest(1)));
    assert!(!table.is_quarantined(digest(2)));
    assert_eq!(table.quarantine.quarantined(table.now).len(), 1);
}

#[test]
fn duplicate_report_counts_once() {
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
fn answer_clears_suspect_despite_late_record() {
    let mut table = Table::new();
    table.report_crash(&[digest(1)]);
    table.report_crash(&[digest(1)]);
    assert!(table.quarantine.clear(digest(1), table.now));
    assert!(
        !table.quarantine.clear(digest(1), table.now),
        "a cleared request was still a suspect"
    );
    let late_record = QuarantinedRequest {
        digest: digest(1),
        crashes: 3,
        remaining: 30 * SECOND,
    };
    assert!(!table.quarantine.merge(late_record, table.now));
    table.report_crash(&[digest(1)]);
    assert!(
        !table.is_quarantined(digest(1)),
        "crashes before the answer were counted"
    );
}

#[test]
fn lethal_request_crashes_three_more_per_day() {
    let mut table = Table::new();
    for _ in 0..3 {
        table.report_crash(&[digest(1)]);
    }
    let quarantined_at = table.now;
    let mut trials = 0;
    loop {
        table.release(digest(1));
        if table.now >= quarantined_at + 86_400 * SECOND {
            break;
        }
        table.quarantine.remove_expired(table.now);
        let started_trials = table.quarantine.begin_trial(&[digest(1)], table.now);
        assert_eq!(started_trials.len(), 1);
        assert!(
            table.is_quarantined(digest(1)),
            "the request is not refused during its trial"
        );
        table.report_crash(&[digest(1)]);
        trials += 1;
    }
    assert_eq!(trials, 3);
}

#[test]
fn limits_the_duration_of_learned_quarantines() {
    let mut table = Table::new();
    let quarantined = QuarantinedRequest {
        digest: digest(1),
        crashes: 200,
        remaining: Duration::from_millis(u64::MAX),
    };
    assert!(table.quarantine.merge(quarantined, table.now));
    assert!(table.release(digest(1)) <= 2 * 86_400 * SECOND);
}

#[test]
fn repeated_record_does_not_change_the_table() {
    let mut table = Table::new();
    let quarantined = QuarantinedRequest {
        digest: digest(1),
        crashes: 3,
        remaining: 30 * SECOND,
    };
    assert!(table.quarantine.merge(quarantined, table.now));
    assert!(!table.quarantine.merge(quarantined, table.now));
    assert!(table.is_quarantined(digest(1)));
}

/// Guards against a crash count that is lost with all nodes, and against refusals that an outage of the store
/// prolongs.
#[test]
fn suspect_of_two_crashes_waits_until_stored_or_30_s() {
    let mut table = Table::new();
    table.report_crash(&[digest(1)]);
    let find = |table: &Table| table.quarantine.find_unstored(&[digest(1)], table.now);
    assert_eq!(find(&table), None, "one crash is not stored");
    table.report_crash(&[digest(1)]);
    let crashed_at = table.now;
    assert!(find(&table).is_some());
    assert!(table.quarantine.has_unstored(table.now));
    table.now = crashed_at + 29 * SECOND;
    assert_eq!(table.quarantine.refused(table.now).len(), 1);
    table.now = crashed_at + 30 * SECOND;
    assert_eq!(find(&table), None);
    table.now = crashed_at;
    for request in table.quarantine.snapshot(table.now) {
        assert!(table.quarantine.mark_stored(&request));
        assert!(!table.quarantine.mark_stored(&request));
    }
    assert_eq!(find(&table), None);
    assert!(!table.quarantine.has_unstored(table.now));
    assert_eq!(table.quarantine.refused(crashed_at + 5 * SECOND), []);
}

#[test]
fn snapshot_shares_suspects_of_two_crashes() {
    let mut table = Table::new();
    table.report_crash(&[digest(1), digest(2)]);
    table.report_crash(&[digest(1)]);
    let snapshot = table.quarantine.snapshot(table.now);
    let shared: Vec<_> = snapshot
        .iter()
        .map(|request| (request.digest, request.crashes))
        .collect();
    assert_eq!(
        shared,
        [(digest(1), 2)],
        "the snapshot must hold only the suspect of two crashes"
    );
    let mut new_node = Table::new();
    new_node.now = table.now;
    assert!(new_node.quarantine.merge(snapshot[0], new_node.now));
    assert!(!new_node.is_quarantined(digest(1)));
    new_node.report_crash(&[digest(1)]);
    assert!(new_node.is_quarantined(digest(1)));
}

#[test]
fn suspects_expire() {
    let mut table = Table::new();
    table.report_crash(&[digest(1)]);
    table.now += 121 * SECOND;
    table.quarantine.remove_expired(table.now);
    assert!(table.quarantine.is_empty());
}

#[test]
fn full_table_keeps_requests_with_most_crashes() {
    let mut table = Table::new();
    for _ in 0..4 {
        table.report_crash(&[digest(0)]);
    }
    for number in 1..10_000 {
        table.report_crash(&[digest(number)]);
    }
    let counts = table.quarantine.counts(table.now);
    assert_eq!((counts.suspects, counts.quarantined), (4096, 1));
    for number in 1..1000 {
        for _ in 0..3 {
            table.report_crash(&[digest(number)]);
        }
    }
    let counts = table.quarantine.counts(table.now);
    assert!(
        counts.suspects <= 4096 && counts.quarantined <= 256,
        "{counts:?}"
    );
    assert!(
        table.is_quarantined(digest(0)),
        "the request with the most crashes was removed"
    );
}
