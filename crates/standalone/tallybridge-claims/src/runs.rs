//! The runs of one key that attempts hold at one replica.

use deku::{DekuContainerRead, DekuContainerWrite};
use tallybridge_core::{AttemptId, InstanceId, RequestKey};
use tallybridge_wire::claim::{CopiedRun, RunState, StoredAnswer};

/// Stands in for the holder of a run that two replicas gave to different attempts. No attempt has
/// this identity, as sequence numbers count from 1, so nobody is granted the run.
pub const CONTESTED: AttemptId = AttemptId {
    instance: InstanceId(0),
    sequence: 0,
};

/// One held run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRun {
    /// Number of the run, from 1.
    pub run: u8,
    /// Who holds it.
    pub attempt: AttemptId,
    /// The finished answer in its wire form, which takes far less memory than the parsed one.
    answer: Option<Box<[u8]>>,
}

impl HeldRun {
    /// What is known of the run.
    #[must_use]
    pub fn state(&self) -> RunState {
        let parsed = self.answer.as_deref().and_then(parse_answer);
        parsed.map_or(RunState::Running, RunState::Finished)
    }
}

fn parse_answer(bytes: &[u8]) -> Option<StoredAnswer> {
    let (_, answer) = StoredAnswer::from_bytes((bytes, 0)).ok()?;
    Some(answer)
}

fn answer_bytes(answer: &StoredAnswer) -> Option<Box<[u8]>> {
    answer.to_bytes().ok().map(Vec::into_boxed_slice)
}

/// The held runs of one key.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeldRuns {
    runs: Vec<HeldRun>,
}

impl HeldRuns {
    /// Whether no run is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// The held runs.
    pub fn iter(&self) -> impl Iterator<Item = &HeldRun> {
        self.runs.iter()
    }

    /// The runs that attempts other than this one hold.
    pub fn of_others(&self, attempt: AttemptId) -> impl Iterator<Item = &HeldRun> {
        self.runs.iter().filter(move |held| held.attempt != attempt)
    }

    /// The held runs in the form in which they are copied to another replica.
    #[must_use]
    pub fn copied(&self, key: RequestKey) -> Vec<CopiedRun> {
        let copied = self.runs.iter().map(|held| CopiedRun {
            key: key.into(),
            run: held.run,
            attempt: held.attempt.into(),
            state: held.state(),
        });
        copied.collect()
    }

    /// Gives a run to an attempt if it is free.
    ///
    /// # Errors
    ///
    /// The held run when another attempt holds it.
    pub fn claim(&mut self, run: u8, attempt: AttemptId) -> Result<(), &HeldRun> {
        match self.position(run) {
            Some(position) if self.runs[position].attempt == attempt => Ok(()),
            Some(position) => Err(&self.runs[position]),
            None => {
                self.push(run, attempt, None);
                Ok(())
            }
        }
    }

    /// Frees the runs that the attempt holds.
    pub fn release(&mut self, attempt: AttemptId) {
        self.runs.retain(|held| held.attempt != attempt);
    }

    /// Notes the answer of a run. Only the attempt that ran it can have one, so whoever else seems
    /// to hold the run here was never granted it by a majority.
    pub fn finish(&mut self, run: u8, attempt: AttemptId, answer: &StoredAnswer) {
        let bytes = answer_bytes(answer);
        self.replace(run, attempt, bytes);
    }

    /// Takes over what another replica holds. A run that the two replicas gave to different
    /// attempts is given to nobody any more: which of them a majority granted can't be told.
    pub fn merge(&mut self, run: u8, attempt: AttemptId, state: &RunState) {
        let bytes = match state {
            RunState::Running => None,
            RunState::Finished(answer) => answer_bytes(answer),
        };
        let Some(position) = self.position(run) else {
            self.push(run, attempt, bytes);
            return;
        };
        let held = &mut self.runs[position];
        if bytes.is_some() {
            self.replace(run, attempt, bytes);
        } else if held.attempt != attempt && held.answer.is_none() {
            held.attempt = CONTESTED;
        }
    }

    fn position(&self, run: u8) -> Option<usize> {
        self.runs.iter().position(|held| held.run == run)
    }

    fn push(&mut self, run: u8, attempt: AttemptId, answer: Option<Box<[u8]>>) {
        // Most keys have one run; the default growth of a vector would keep room for four.
        self.runs.reserve_exact(1);
        self.runs.push(HeldRun {
            run,
            attempt,
            answer,
        });
    }

    fn replace(&mut self, run: u8, attempt: AttemptId, answer: Option<Box<[u8]>>) {
        match self.position(run) {
            Some(position) => {
                self.runs[position].attempt = attempt;
                self.runs[position].answer = answer;
            }
            None => self.push(run, attempt, answer),
        }
    }
}
