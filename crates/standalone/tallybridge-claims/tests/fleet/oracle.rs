//! What back ends really did, and whether what callers were told agrees with it.

use std::collections::{BTreeMap, BTreeSet};

use tallybridge_core::{AttemptId, RequestKey};

/// A plain record of one request.
struct Record {
    max_runs: u8,
    /// Each execution's answer, in order.
    answers: Vec<u64>,
    /// Attempts that ran.
    ran: BTreeSet<AttemptId>,
    /// Attempts whose callers were told `not-run`.
    told_not_run: BTreeSet<AttemptId>,
}

/// The records of all requests. Each method panics when a guarantee is broken.
#[derive(Default)]
pub struct Oracle {
    records: BTreeMap<RequestKey, Record>,
    next_answer: u64,
}

impl Oracle {
    pub fn issued(&mut self, key: RequestKey, max_runs: u8) {
        let record = Record {
            max_runs,
            answers: Vec::new(),
            ran: BTreeSet::new(),
            told_not_run: BTreeSet::new(),
        };
        self.records.insert(key, record);
    }

    pub fn max_runs(&self, key: &RequestKey) -> u8 {
        self.records[key].max_runs
    }

    /// How often the request has run.
    pub fn runs(&self, key: &RequestKey) -> usize {
        self.records[key].answers.len()
    }

    /// A back end runs the request. Gives its answer.
    pub fn run(&mut self, key: &RequestKey, attempt: AttemptId) -> u64 {
        self.next_answer += 1;
        let record = self.records.get_mut(key).expect("issued");
        record.answers.push(self.next_answer);
        assert!(
            record.answers.len() <= usize::from(record.max_runs),
            "{key} ran {} times, {} allowed",
            record.answers.len(),
            record.max_runs
        );
        assert!(record.ran.insert(attempt), "{attempt} ran twice");
        assert!(
            !record.told_not_run.contains(&attempt),
            "{attempt} ran after its caller was told not-run"
        );
        self.next_answer
    }

    /// A caller is told `not-run`; `runs_before` is how often the request had run when its node
    /// began to ask.
    pub fn tell_not_run(&mut self, key: &RequestKey, attempt: AttemptId, runs_before: usize) {
        let record = self.records.get_mut(key).expect("issued");
        assert_eq!(runs_before, 0, "{key} had run, its caller was told not-run");
        assert!(!record.ran.contains(&attempt), "{attempt} had run");
        record.told_not_run.insert(attempt);
    }

    /// A caller is given a stored answer.
    pub fn replay(&self, key: &RequestKey, answer: u64) {
        let answers = &self.records[key].answers;
        assert!(answers.contains(&answer), "{key} never had answer {answer}");
    }
}
