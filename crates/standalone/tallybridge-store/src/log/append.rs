//! Appends a change to the log as its next revision.

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

/// Result of one try of an append.
enum TryResult {
    /// The outcome of the change is known.
    Done(AppendOutcome),
    /// The revision exists already, written by another author or by this append in a write whose
    /// response was lost.
    RevisionTaken(StoreError),
    /// The store failed with a transient error.
    Failed(StoreError),
}

impl ConfigurationLog {
    /// Appends a change as the next revision of the log.
    ///
    /// When another author takes the revision first, the change moves to a later revision. If both
    /// changes touch the same entry, the outcome is [`AppendOutcome::Conflict`]. After a write
    /// whose response was lost, the log is read to look for the ID of the change. Transient
    /// failures of the store are retried until `deadline` with delays drawn from `random`; the last
    /// request may end one request timeout after the deadline.
    ///
    /// # Errors
    ///
    /// Any [`AppendError`]. The outcome is unknown only after [`AppendError::Unsettled`].
    pub async fn append(
        &self,
        change: &ChangeRequest,
        deadline: Instant,
        random: &mut SmallRng,
    ) -> Result<AppendOutcome, AppendError> {
        if change.edits.is_empty() {
            return Err(AppendError::Empty);
        }
        let made_unix_ms = unix_time_ms();
        let mut attempt = Attempt::new(change);
        let mut failures = 0;
        loop {
            let result = self.try_once(&mut attempt, made_unix_ms).await;
            let last_error = match result.map_err(|error| attempt.final_error(error))? {
                TryResult::Done(outcome) => return Ok(outcome),
                TryResult::RevisionTaken(error) => {
                    failures = 0;
                    error
                }
                TryResult::Failed(error) => {
                    failures += 1;
                    error
                }
            };
            let wait = self.options.backoff.wait(failures, random);
            // Adds jitter to `retry_after`, which is the same for all clients.
            let next_try = Instant::now() + last_error.retry_after() + wait;
            if next_try >= deadline {
                return Err(attempt.deadline_error(last_error));
            }
            tokio::time::sleep_until(next_try).await;
        }
    }

    async fn try_once(
        &self,
        attempt: &mut Attempt<'_>,
        made_unix_ms: u64,
    ) -> Result<TryResult, AppendError> {
        match attempt.catch_up(self).await {
            Ok(Some(outcome)) => return Ok(TryResult::Done(outcome)),
            Ok(None) => {}
            Err(AppendError::Log(LogError::Store(error))) if error.is_transient() => {
                return Ok(TryResult::Failed(error));
            }
            Err(error) => return Err(error),
        }
        let candidate = attempt.build_candidate(made_unix_ms)?;
        self.create_record(attempt, &candidate).await
    }

    async fn create_record(
        &self,
        attempt: &mut Attempt<'_>,
        candidate: &Candidate,
    ) -> Result<TryResult, AppendError> {
        let revision = candidate.record.revision;
        let value = serde_json::to_string(&candidate.record).map_err(|error| {
            AppendError::Log(LogError::Damaged {
                after: revision,
                detail: error.to_string(),
            })
        })?;
        let result = self
            .store
            .put(&record_key(revision), value, Expectation::Absent)
            .await;
        match result {
            Ok(_) => {
                self.refresh_snapshot(&candidate.document, attempt.snapshot_revision)
                    .await;
                Ok(TryResult::Done(AppendOutcome::Appended { revision }))
            }
            Err(error @ StoreError::Conflict { .. }) => Ok(TryResult::RevisionTaken(error)),
            Err(error) => {
                if matches!(error, StoreError::OutcomeUnknown { .. }) {
                    attempt.mark_unsettled(revision);
                }
                if error.is_transient() {
                    return Ok(TryResult::Failed(error));
                }
                Err(AppendError::Log(LogError::Store(error)))
            }
        }
    }
}

fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
}
