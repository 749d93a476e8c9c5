//! The runs of one key that attempts hold at one replica, with stored answers for replay.

use deku::{DekuContainerRead, DekuContainerWrite};
use tallybridge_core::{AttemptId, InstanceId, RequestKey};
use tallybridge_wire::claim::{CopiedRun, RunState, StoredAnswer};

/// Holder of a run that two replicas granted to different attempts.
///
/// Sequence numbers of attempts start at 1, so no attempt equals this value or is granted the run.
pub const CONTESTED: AttemptId = AttemptId {
    instance: InstanceId(0),
    sequence: 0,
};

/// A run that an attempt holds, whether it is running or finished.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRun {
    /// Number of the run, from 1 to the `max_runs` of the request.
    pub run: u8,
    /// The attempt that holds the run, or [`CONTESTED`].
    pub attempt: AttemptId,
    /// Answer of the finished run, encoded because the decoded form takes far more memory.
    answer: Option<Box<[u8]>>,
}

impl HeldRun {
    /// Returns `Finished` with the stored answer, or `Running` if there is none.
    #[must_use]
    pub fn state(&self) -> RunState {
        let answer = self.answer.as_deref().and_then(decode_answer);
        answer.map_or(RunState::Running, RunState::Finished)
    }
}

fn decode_answer(bytes: &[u8]) -> Option<StoredAnswer> {
    let (_, answer) = StoredAnswer::from_bytes((bytes, 0)).ok()?;
    Some(answer)
}

fn encode_answer(answer: &StoredAnswer) -> Option<Box<[u8]>> {
    answer.to_bytes().ok().map(Vec::into_boxed_slice)
}

/// The held runs of one key, at most one entry for each run number.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeldRuns {
    runs: Vec<HeldRun>,
}

impl HeldRuns {
    /// Returns whether no attempt holds a run of the key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Iterates over the held runs in the order of their first claim or copy.
    pub fn iter(&self) -> impl Iterator<Item = &HeldRun> {
        self.runs.iter()
    }

    /// Iterates over the runs held by other attempts, including contested runs.
    pub fn of_others(&self, attempt: AttemptId) -> impl Iterator<Item = &HeldRun> {
        self.runs.iter().filter(move |held| held.attempt != attempt)
    }

    /// Returns the held runs as entries for a copy page.
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

    /// Grants a run to an attempt if no other attempt holds the run.
    ///
    /// # Errors
    ///
    /// Returns the held run if another attempt holds it.
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

    /// Releases all runs of the key that the attempt holds.
    pub fn release(&mut self, attempt: AttemptId) {
        self.runs.retain(|held| held.attempt != attempt);
    }

    /// Stores the answer of a run and makes `attempt` the holder.
    ///
    /// Only an attempt with a majority has an answer, so no majority granted the run to any other
    /// attempt that holds the run here.
    pub fn finish(&mut self, run: u8, attempt: AttemptId, answer: &StoredAnswer) {
        let encoded = encode_answer(answer);
        self.replace(run, attempt, encoded);
    }

    /// Merges a run copied from another replica.
    ///
    /// A run that the two replicas granted to different attempts becomes [`CONTESTED`], because the
    /// copies do not show which attempt has a majority.
    pub fn merge(&mut self, run: u8, attempt: AttemptId, state: &RunState) {
        let encoded = match state {
            RunState::Running => None,
            RunState::Finished(answer) => encode_answer(answer),
        };
        let Some(position) = self.position(run) else {
            self.push(run, attempt, encoded);
            return;
        };
        let held = &mut self.runs[position];
        if encoded.is_some() {
            self.replace(run, attempt, encoded);
        } else if held.attempt != attempt && held.answer.is_none() {
            held.attempt = CONTESTED;
        }
    }

    fn position(&self, run: u8) -> Option<usize> {
        self.runs.iter().position(|held| held.run == run)
    }

    fn push(&mut self, run: u8, attempt: AttemptId, answer: Option<Box<[u8]>>) {
        // Most keys have one run; the default growth of `Vec` would allocate space for four.
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
