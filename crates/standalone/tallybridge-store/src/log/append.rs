//! Adding a record to the log.

use std::time::{SystemTime, UNIX_EPOCH};

use rand::rngs::SmallRng;
use tallybridge_config::revision::record_key;
use tokio::time::Instant;

use super::{
    ConfigurationLog,
    attempt::{Attempt, Candidate},
    change::{AppendOutcome, ChangeRequest},
    error::{AppendError, LogError},
};
use crate::client::{Expectation, StoreError};

/// What one pass of an append came to.
enum Pass {
    /// The fate of the change is known.
    Done(AppendOutcome),
    /// The revision is taken, by another author or by this one's own lost write.
    Overtaken(StoreError),
    /// The store failed in a way that waiting may mend.
    Failed(StoreError),
}

impl ConfigurationLog {
    /// Makes a change as the log's next revision.
    ///
    /// A change that others overtook is made as a later revision if none of them touched its
    /// entries. A write whose confirmation was lost is settled by reading the log and looking for
    /// the change's identity. Failures of the store are tried again, with waits drawn from
    /// `random`, until `deadline`; the last request may end one request timeout after it.
    ///
    /// # Errors
    ///
    /// [`AppendError`]. Only [`AppendError::Unsettled`] leaves open whether the change was made.
    pub async fn append(
        &self,
        change: &ChangeRequest,
        deadline: Instant,
        random: &mut SmallRng,
    ) -> Result<AppendOutcome, AppendError> {
        if change.edits.is_empty() {
            return Err(AppendError::Empty);
        }
        let made_unix_ms = unix_ms();
        let mut attempt = Attempt::new(change);
        let mut failures = 0;
        loop {
            let pass = self.pass(&mut attempt, made_unix_ms).await;
            let last = match pass.map_err(|error| attempt.end(error))? {
                Pass::Done(outcome) => return Ok(outcome),
                Pass::Overtaken(error) => {
                    failures = 0;
                    error
                }
                Pass::Failed(error) => {
                    failures += 1;
                    error
                }
            };
            let wait = self.options.backoff.wait(failures, random);
            // Jitter also after the wait that the store asks for, which is the same for all.
            let next = Instant::now() + last.retry_after() + wait;
            if next >= deadline {
                return Err(attempt.give_up(last));
            }
            tokio::time::sleep_until(next).await;
        }
    }

    async fn pass(
        &self,
        attempt: &mut Attempt<'_>,
        made_unix_ms: u64,
    ) -> Result<Pass, AppendError> {
        match attempt.catch_up(self).await {
            Ok(Some(outcome)) => return Ok(Pass::Done(outcome)),
            Ok(None) => {}
            Err(AppendError::Log(LogError::Store(error))) if error.is_transient() => {
                return Ok(Pass::Failed(error));
            }
            Err(error) => return Err(error),
        }
        let candidate = attempt.candidate(made_unix_ms)?;
        self.create(attempt, &candidate).await
    }

    /// Creates the record, if no other took its revision.
    async fn create(
        &self,
        attempt: &mut Attempt<'_>,
        candidate: &Candidate,
    ) -> Result<Pass, AppendError> {
        let revision = candidate.record.revision;
        let value = serde_json::to_string(&candidate.record).map_err(|error| {
            AppendError::Log(LogError::Damaged {
                after: revision,
                detail: error.to_string(),
            })
        })?;
        let written = self
            .store
            .put(&record_key(revision), value, Expectation::Absent)
            .await;
        match written {
            Ok(_) => {
                self.refresh_snapshot(&candidate.document, attempt.snapshot)
                    .await;
                Ok(Pass::Done(AppendOutcome::Appended { revision }))
            }
            Err(error @ StoreError::Conflict { .. }) => Ok(Pass::Overtaken(error)),
            Err(error) => {
                if matches!(error, StoreError::OutcomeUnknown { .. }) {
                    attempt.note_unsettled(revision);
                }
                if error.is_transient() {
                    return Ok(Pass::Failed(error));
                }
                Err(AppendError::Log(LogError::Store(error)))
            }
        }
    }
}

/// The time by the author's clock, in milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
}
