//! Writes that are accepted only from the current holder of a duty.

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::fence::{Fence, FencingToken, Lapsed};
use crate::client::{Entry, Expectation, StoreClient, StoreError};

/// A key of the store that only the holder of a duty writes.
///
/// Each update is a compare-and-swap on the version that was read, and stores the token of the
/// holder. After the first update of a new holder, all updates of earlier holders fail: an update
/// that reads the key later finds the greater token, and one that read the key before conflicts on
/// the version. The key must never be removed, because the stored token would be lost.
#[derive(Debug, Clone)]
pub struct GuardedKey {
    store: StoreClient,
    fence: Fence,
    key: String,
}

/// Value stored under a guarded key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct GuardedRecord {
    token: FencingToken,
    value: String,
}

/// Error of an update of a guarded key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum GuardedError {
    /// The lease of the writer may have expired.
    #[error(transparent)]
    Lapsed(#[from] Lapsed),
    /// A later holder has already written the key.
    #[error("the key was taken over by a later holder with token {}", token.0)]
    Superseded {
        /// Token of the later holder.
        token: FencingToken,
    },
    /// A request to the store failed. The update may be retried after a conflict or an unknown
    /// outcome, because it reads the key again.
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl GuardedKey {
    /// Creates a handle to `key`, whose writes are guarded by `fence`.
    #[must_use]
    pub const fn new(store: StoreClient, fence: Fence, key: String) -> Self {
        Self { store, fence, key }
    }

    /// Replaces the value with the result of `change`, which gets the current value (`None` while
    /// the key is absent). Returns the new version of the key.
    ///
    /// # Errors
    ///
    /// Any [`GuardedError`].
    pub async fn update(
        &self,
        change: impl FnOnce(Option<&str>) -> String,
    ) -> Result<u64, GuardedError> {
        self.fence.check(Instant::now())?;
        let entry = self.store.get(&self.key).await?;
        let current = entry.as_ref().map(parse_record).transpose()?;
        if let Some(newer) = current
            .as_ref()
            .filter(|record| record.token > self.fence.token())
        {
            return Err(GuardedError::Superseded { token: newer.token });
        }
        let record = GuardedRecord {
            token: self.fence.token(),
            value: change(current.as_ref().map(|record| record.value.as_str())),
        };
        let expectation = entry.map_or(Expectation::Absent, |entry| {
            Expectation::Version(entry.version)
        });
        let value = serde_json::to_string(&record).map_err(|error| protocol_error(&error))?;
        // The lease may have expired during the read.
        self.fence.check(Instant::now())?;
        Ok(self.store.put(&self.key, value, expectation).await?)
    }
}

fn parse_record(entry: &Entry) -> Result<GuardedRecord, StoreError> {
    serde_json::from_str(&entry.value).map_err(|error| protocol_error(&error))
}

fn protocol_error(error: &serde_json::Error) -> StoreError {
    StoreError::Protocol {
        detail: error.to_string(),
    }
}
