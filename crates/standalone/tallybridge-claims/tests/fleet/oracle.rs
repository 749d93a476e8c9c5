//! Records the executions at back ends and checks the reported outcomes against them.

use std::collections::{BTreeMap, BTreeSet};

use tallybridge_core::{AttemptId, RequestKey};

/// The executions and reported outcomes of one request.
struct Record {
    max_runs: u8,
    /// Answers of the executions, in order.
    answers: Vec<u64>,
    ran: BTreeSet<AttemptId>,
    /// Attempts that were reported as `not-run`.
    reported_not_run: BTreeSet<AttemptId>,
}

/// The records of all requests. Methods panic if a guarantee is violated.
#[derive(Default)]
pub struct Oracle {
    records: BTreeMap<RequestKey, Record>,
    next_answer: u64,
}

impl Oracle {
    pub fn add_request(&mut self, key: RequestKey, max_runs: u8) {
        let record = Record {
            max_runs,
            answers: Vec::new(),
            ran: BTreeSet::new(),
            reported_not_run: BTreeSet::new(),
        };
        self.records.insert(key, record);
    }

    pub fn max_runs(&self, key: &RequestKey) -> u8 {
        self.records[key].max_runs
    }

    /// Returns how often the request has run.
    pub fn runs(&self, key: &RequestKey) -> usize {
        self.records[key].answers.len()
    }

    /// Records an execution of the request and returns its answer.
    pub fn record_run(&mut self, key: &RequestKey, attempt: AttemptId) -> u64 {
        self.next_answer += 1;
        let record = self.records.get_mut(key).expect("the request is recorded");
        record.answers.push(self.next_answer);
        assert!(
            record.answers.len() <= usize::from(record.max_runs),
            "{key} ran {} times, but only {} runs are allowed",
            record.answers.len(),
            record.max_runs
        );
        assert!(record.ran.insert(attempt), "{attempt} ran twice");
        assert!(
            !record.reported_not_run.contains(&attempt),
            "{attempt} ran after it was reported as not-run"
        );
        self.next_answer
    }

    /// Checks and records a `not-run` outcome. `runs_before` is the number of executions before the
    /// first query was sent.
    pub fn report_not_run(&mut self, key: &RequestKey, attempt: AttemptId, runs_before: usize) {
        let record = self.records.get_mut(key).expect("the request is recorded");
        assert_eq!(
            runs_before, 0,
            "{key} was reported as not-run after it had run"
        );
        assert!(
            !record.ran.contains(&attempt),
            "{attempt} was reported as not-run after it had run"
        );
        record.reported_not_run.insert(attempt);
    }

    /// Checks that a replayed answer comes from an execution of the request.
    pub fn check_replay(&self, key: &RequestKey, answer: u64) {
        let answers = &self.records[key].answers;
        assert!(answers.contains(&answer), "{key} never had answer {answer}");
    }
}
