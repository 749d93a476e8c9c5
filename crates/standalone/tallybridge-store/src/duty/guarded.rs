//! Writes that only the holder of a duty can do.

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::fence::{Fence, FencingToken, Lapsed};
use crate::client::{Entry, Expectation, StoreClient, StoreError};

/// A key of the store that belongs to a duty.
///
/// Each write builds on the version that it read, and carries its holder's token. A new holder's
/// first update takes the key over: from then on every write of an earlier holder is refused, by
/// the token if it has yet to read the key and by the version if it has read it already. The key
/// must never be removed, as its token goes with it.
#[derive(Debug, Clone)]
pub struct GuardedKey {
    store: StoreClient,
    fence: Fence,
    key: String,
}

/// What the store keeps under a guarded key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct GuardedRecord {
    token: FencingToken,
    value: String,
}

/// Why a guarded write was not done.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum GuardedError {
    /// The writer's lease may be over.
    #[error(transparent)]
    Lapsed(#[from] Lapsed),
    /// A later holder has taken the key over.
    #[error("a later holder, with token {}, has taken the key over", token.0)]
    Superseded {
        /// The later holder's token.
        token: FencingToken,
    },
    /// The store gave no result. After a conflict or an unknown outcome the update may be tried
    /// again, as it reads anew.
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl GuardedKey {
    /// A key under the duty of this fence.
    #[must_use]
    pub const fn new(store: StoreClient, fence: Fence, key: String) -> Self {
        Self { store, fence, key }
    }

    /// Replaces the value by one made from the current one, and gives the key's new version.
    ///
    /// # Errors
    ///
    /// [`GuardedError`].
    pub async fn update(
        &self,
        change: impl FnOnce(Option<&str>) -> String,
    ) -> Result<u64, GuardedError> {
        self.fence.check(Instant::now())?;
        let entry = self.store.get(&self.key).await?;
        let current = entry.as_ref().map(parse).transpose()?;
        if let Some(later) = current
            .as_ref()
            .filter(|record| record.token > self.fence.token())
        {
            return Err(GuardedError::Superseded { token: later.token });
        }
        let record = GuardedRecord {
            token: self.fence.token(),
            value: change(current.as_ref().map(|record| record.value.as_str())),
        };
        let expectation = entry.map_or(Expectation::Absent, |entry| {
            Expectation::Version(entry.version)
        });
        let value = serde_json::to_string(&record).map_err(|error| damaged(&error))?;
        // The read may have taken long.
        self.fence.check(Instant::now())?;
        Ok(self.store.put(&self.key, value, expectation).await?)
    }
}

fn parse(entry: &Entry) -> Result<GuardedRecord, StoreError> {
    serde_json::from_str(&entry.value).map_err(|error| damaged(&error))
}

fn damaged(error: &serde_json::Error) -> StoreError {
    StoreError::Protocol {
        detail: error.to_string(),
    }
}
