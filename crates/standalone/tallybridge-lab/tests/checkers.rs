//! Each checker against a planted history that violates its guarantee, and against one that
//! doesn't.

use std::sync::Arc;

use tallybridge_config::Revision;
use tallybridge_core::Outcome;
use tallybridge_lab::{
    checker::{Guarantee, History, check},
    fault::{AcceptedRevision, FaultRecords, Leave, LeaveCause},
    load::{FIRST_PROBE, RequestRecord, SendEnd, SendRecord},
    scenario::Scenario,
    standin::backend::{CallPlace, Execution, ExecutionEnd},
};

const SECOND: u64 = 1_000_000;
const START: u64 = 100 * SECOND;

/// Records of one run, to plant a violation in.
struct Plant {
    scenario: Arc<Scenario>,
    requests: Vec<RequestRecord>,
    executions: Vec<Execution>,
    faults: FaultRecords,
}

impl Plant {
    fn new() -> Self {
        let scenario = Scenario::load("feira").expect("the shipped scenario is right");
        Self {
            scenario: Arc::new(scenario),
            requests: Vec::new(),
            executions: Vec::new(),
            faults: FaultRecords::default(),
        }
    }

    fn request(&mut self, kind: &str, request: u64, sends: Vec<SendRecord>) {
        let kind = self
            .scenario
            .kind
            .iter()
            .position(|known| known.name == kind)
            .expect("a kind of the scenario");
        self.requests.push(RequestRecord {
            request,
            kind,
            tenant: 0,
            intended_us: START,
            offset_us: 0,
            ended_us: sends.last().map_or(START, |send| send.ended_us),
            sends,
        });
    }

    /// An execution that ran for 10 ms from an offset.
    fn execution(&mut self, backend: &str, place: &str, offset_us: u64) -> &mut Execution {
        let place: CallPlace = place.parse().expect("a place");
        self.executions.push(Execution {
            backend: backend.to_owned(),
            instance: 1,
            place,
            token: "0000000000000001-1".to_owned(),
            timeout_ms: 1_000,
            draining: false,
            arrived_us: START + offset_us,
            started_us: Some(START + offset_us),
            ended_us: Some(START + offset_us + 10_000),
            end: Some(ExecutionEnd::Answered),
        });
        self.executions.last_mut().expect("just added")
    }

    fn leave(&mut self, cause: LeaveCause, ended_us: Option<u64>) {
        self.faults.leaves.push(Leave {
            backend: "catalogue-0".to_owned(),
            machine: 0,
            cause,
            began_us: START,
            ended_us,
        });
    }

    fn found(self) -> Vec<Guarantee> {
        let history = History::new(self.scenario, self.requests, self.executions, self.faults);
        check(&history)
            .violations
            .iter()
            .map(|violation| violation.guarantee)
            .collect()
    }
}

fn send(offset_us: u64, length_us: u64, end: SendEnd) -> SendRecord {
    SendRecord {
        entry: 0,
        sent_us: START + offset_us,
        ended_us: START + offset_us + length_us,
        end,
    }
}

fn answered(right: bool) -> SendEnd {
    SendEnd::Answered {
        digest: 1,
        bytes: 600,
        right,
    }
}

fn refused(outcome: Outcome) -> SendEnd {
    SendEnd::Refused {
        status: 503,
        outcome: Some(outcome),
        error: Some("overloaded".to_owned()),
    }
}

#[test]
fn a_sound_run_has_no_violation() {
    let mut plant = Plant::new();
    plant.request(
        "payment",
        1,
        vec![
            send(0, 5_000, refused(Outcome::NotRun)),
            send(60_000, 50_000, answered(true)),
        ],
    );
    plant.execution("settlement-0", "payment/1/0", 61_000);
    plant.execution("balances-0", "debit/1/0.0", 65_000);
    plant.execution("catalogue-0", "merchant/1/0.0.0", 68_000);
    plant.execution("catalogue-1", "merchant/1/0.0.0", 80_000);
    assert_eq!(plant.found(), []);
}

#[test]
fn executions_up_to_the_bound_are_allowed_and_one_more_is_not() {
    for (executions, expected) in [(3, vec![]), (4, vec![Guarantee::RetryBound])] {
        let mut plant = Plant::new();
        plant.request("price", 1, vec![send(0, 90_000, answered(true))]);
        for number in 0..executions {
            plant.execution("catalogue-0", "price/1/0", number * 20_000);
        }
        assert_eq!(plant.found(), expected, "{executions} executions");
    }
}

#[test]
fn calls_that_a_back_end_sheds_do_not_count_as_attempts() {
    let mut plant = Plant::new();
    plant.request("price", 1, vec![send(0, 90_000, answered(true))]);
    plant.execution("catalogue-0", "price/1/0", 0);
    for number in 1..10 {
        let shed = plant.execution("catalogue-1", "price/1/0", number * 1_000);
        shed.started_us = None;
        shed.end = Some(ExecutionEnd::Shed);
    }
    assert_eq!(plant.found(), []);
}

/// A payment is refused while every service of its chain takes in lesser calls.
fn plant_refused_payment(lesser_services: &[(&str, &str, &str)]) -> Plant {
    let mut plant = Plant::new();
    plant.request("payment", 1, vec![send(0, 5_000, refused(Outcome::NotRun))]);
    for (number, (kind, backend, path)) in lesser_services.iter().enumerate() {
        for call in 0..400 {
            let request = 1_000 * (number as u64 + 1) + call;
            plant.request(kind, request, vec![send(0, 90_000, answered(true))]);
            plant.execution(backend, &format!("{path}/{request}/0"), call * 1_000);
        }
    }
    plant
}

const LESSER_EVERYWHERE: [(&str, &str, &str); 4] = [
    ("report", "settlement-0", "report"),
    ("balance", "balances-0", "balance"),
    ("price", "catalogue-0", "price"),
    ("package", "packages-0", "package"),
];

#[test]
fn a_payment_refused_while_all_its_services_take_lesser_work_is_found() {
    let plant = plant_refused_payment(&LESSER_EVERYWHERE);
    assert_eq!(plant.found(), [Guarantee::CriticalShedFirst]);
}

/// Fills slots of the packages service with calls of payments for a second around the refusal.
fn hold_packages(plant: &mut Plant, calls: u64) {
    for call in 0..calls {
        let request = 100_000 + call;
        plant.request("payment", request, vec![send(0, 90_000, answered(true))]);
        let place = format!("terminal/{request}/0.0.0.0");
        let execution = plant.execution("packages-0", &place, 0);
        execution.started_us = Some(START - SECOND);
        execution.ended_us = Some(START + SECOND);
    }
}

#[test]
fn a_payment_refused_for_a_service_busy_without_lesser_work_is_justified() {
    let mut plant = plant_refused_payment(&LESSER_EVERYWHERE[..3]);
    hold_packages(&mut plant, 60);
    assert_eq!(plant.found(), []);
}

#[test]
fn a_payment_refused_while_a_service_without_lesser_work_had_free_slots_is_found() {
    let mut plant = plant_refused_payment(&LESSER_EVERYWHERE[..3]);
    hold_packages(&mut plant, 10);
    assert_eq!(plant.found(), [Guarantee::CriticalShedFirst]);
}

#[test]
fn an_answer_of_other_content_is_found() {
    let mut plant = Plant::new();
    plant.request("price", 1, vec![send(0, 9_000, answered(false))]);
    assert_eq!(plant.found(), [Guarantee::WrongAnswer]);
}

#[test]
fn a_nested_answer_of_other_content_is_found() {
    let mut plant = Plant::new();
    plant.request(
        "balance",
        1,
        vec![send(0, 9_000, refused(Outcome::Unknown))],
    );
    plant.execution("balances-0", "balance/1/0", 0).end = Some(ExecutionEnd::NestedWrong);
    assert_eq!(plant.found(), [Guarantee::WrongAnswer]);
}

#[test]
fn a_refusal_as_not_run_of_a_request_that_ran_is_found() {
    let mut plant = Plant::new();
    plant.request("price", 1, vec![send(0, 90_000, refused(Outcome::NotRun))]);
    plant.execution("catalogue-0", "price/1/0", 5_000);
    assert_eq!(plant.found(), [Guarantee::FalseNotRun]);
}

#[test]
fn work_that_begins_after_a_refusal_as_not_run_is_found() {
    let mut plant = Plant::new();
    plant.request(
        "price",
        1,
        vec![
            send(0, 600_000, SendEnd::TimedOut),
            send(650_000, 5_000, refused(Outcome::NotRun)),
        ],
    );
    plant.execution("catalogue-0", "price/1/0", 700_000);
    assert_eq!(plant.found(), [Guarantee::FalseNotRun]);
}

#[test]
fn a_refusal_as_unknown_of_a_request_that_ran_is_true() {
    let mut plant = Plant::new();
    plant.request("price", 1, vec![send(0, 90_000, refused(Outcome::Unknown))]);
    plant.execution("catalogue-0", "price/1/0", 5_000);
    assert_eq!(plant.found(), []);
}

#[test]
fn a_payment_or_its_debit_that_ran_twice_is_found() {
    for place in ["payment/1/0", "debit/1/0.0"] {
        let mut plant = Plant::new();
        plant.request("payment", 1, vec![send(0, 90_000, answered(true))]);
        plant.execution("balances-0", place, 5_000);
        plant.execution("balances-1", place, 50_000);
        assert_eq!(plant.found(), [Guarantee::RanTwice], "{place}");
    }
}

#[test]
fn new_work_at_a_draining_back_end_is_found_after_the_grace_time() {
    for (offset_us, expected) in [
        (2 * SECOND, vec![]),
        (4 * SECOND, vec![Guarantee::WorkAfterLeave]),
        (9 * SECOND, vec![]),
    ] {
        let mut plant = Plant::new();
        plant.leave(LeaveCause::Drain, Some(START + 8 * SECOND));
        plant
            .execution("catalogue-0", "price/1/0", offset_us)
            .draining = true;
        assert_eq!(plant.found(), expected, "{offset_us} us");
    }
}

#[test]
fn a_lost_connection_to_a_stopped_entry_is_found() {
    let lost = SendEnd::ConnectionLost {
        detail: "closed".to_owned(),
    };
    let mut plant = Plant::new();
    plant.leave(LeaveCause::NodeStop, None);
    let mut in_flight = send(0, 90_000, lost.clone());
    in_flight.sent_us = START - 50_000;
    plant.request("price", 1, vec![in_flight]);
    plant.request("price", 2, vec![send(50_000, 90_000, lost)]);
    assert_eq!(plant.found(), [Guarantee::CutInFlight]);
}

#[test]
fn work_that_a_planned_stop_cuts_off_is_found() {
    for (end, expected) in [
        (refused(Outcome::Unknown), vec![Guarantee::CutInFlight]),
        (SendEnd::TimedOut, vec![]),
    ] {
        let mut plant = Plant::new();
        plant.leave(LeaveCause::NodeStop, None);
        plant.request("price", 1, vec![send(0, 4_000, end)]);
        let execution = plant.execution("catalogue-0", "price/1/0", 0);
        execution.started_us = Some(START - 20_000);
        execution.ended_us = Some(START + 5_000);
        execution.end = Some(ExecutionEnd::Cancelled);
        assert_eq!(plant.found(), expected);
    }
}

/// A probe through the first entry, treated by a revision.
fn plant_probe(plant: &mut Plant, offset_us: u64, revision: u64) {
    let entries = plant.scenario.backend_count() as u64;
    let request = FIRST_PROBE + entries * (offset_us / SECOND);
    let execution = plant.execution("catalogue-0", &format!("probe/{request}/0"), offset_us);
    execution.timeout_ms = revision * 1_000 - 3;
}

#[test]
fn an_entry_that_goes_back_to_an_older_revision_is_found() {
    let mut plant = Plant::new();
    plant_probe(&mut plant, SECOND, 1);
    plant_probe(&mut plant, 2 * SECOND, 2);
    plant_probe(&mut plant, 3 * SECOND, 1);
    assert_eq!(plant.found(), [Guarantee::ConfigReverted]);
}

#[test]
fn an_entry_that_is_late_with_an_accepted_revision_is_found() {
    for (offset_us, expected) in [
        (5 * SECOND, vec![]),
        (15 * SECOND, vec![Guarantee::ConfigReverted]),
    ] {
        let mut plant = Plant::new();
        plant.faults.accepted.push(AcceptedRevision {
            revision: Revision(2),
            accepted_us: START,
        });
        plant_probe(&mut plant, offset_us, 1);
        assert_eq!(plant.found(), expected, "{offset_us} us");
    }
}

#[test]
fn the_history_of_a_request_tells_its_sends_and_executions_in_order() {
    let mut plant = Plant::new();
    plant.request("price", 1, vec![send(0, 90_000, refused(Outcome::NotRun))]);
    plant.execution("catalogue-0", "price/1/0", 5_000);
    let history = History::new(
        plant.scenario,
        plant.requests,
        plant.executions,
        plant.faults,
    );
    let lines = history.lines_of(1);
    assert_eq!(lines.len(), 3);
    assert!(lines[1].contains("\"outcome\":\"not-run\""), "{}", lines[1]);
    assert!(lines[2].contains("catalogue-0"), "{}", lines[2]);
}
