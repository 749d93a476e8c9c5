//! Acquires a duty by creating its key under a new lease.

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{
    fence::FencingToken,
    holder::LeaseHolder,
    options::{DutyOptions, duty_key},
};
use crate::client::{Entry, Expectation, LeaseId, PutOptions, StoreClient, StoreError};

/// Value of the key of a held duty. The lease distinguishes two attempts by the same holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct DutyRecord {
    holder: String,
    lease: LeaseId,
}

/// Result of an attempt to acquire a duty.
#[derive(Debug)]
pub enum Acquired {
    /// This node has acquired the duty.
    Held(LeaseHolder),
    /// Another node holds the duty.
    Standby(CurrentHolder),
}

/// The holder named in the key of a duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentHolder {
    /// Name from the [`DutyOptions`] of the holder.
    pub holder: String,
    /// Version of the key, which is the fencing token of the holder.
    pub token: FencingToken,
}

impl CurrentHolder {
    /// Parses the store entry of a duty.
    ///
    /// # Errors
    ///
    /// [`StoreError::Protocol`] when the value is not that of a duty.
    pub fn of_entry(entry: &Entry) -> Result<Self, StoreError> {
        let record: DutyRecord =
            serde_json::from_str(&entry.value).map_err(|error| protocol_error(&error))?;
        Ok(Self {
            holder: record.holder,
            token: FencingToken(entry.version),
        })
    }
}

enum KeyHolder {
    Own(FencingToken),
    Other(CurrentHolder),
}

impl LeaseHolder {
    /// Makes one attempt to acquire a duty.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; a conflict when the previous holder released the duty during the
    /// attempt. The duty is then not held, but its key may exist until the new lease expires.
    pub async fn acquire(
        store: &StoreClient,
        options: &DutyOptions,
    ) -> Result<Acquired, StoreError> {
        // Taken before the request is sent, so that the lease never expires earlier than assumed.
        let requested_at = Instant::now();
        let lease = store.grant_lease(options.ttl).await?;
        let claimed = claim_key(store, options, lease).await;
        if let Ok(KeyHolder::Own(token)) = claimed {
            let holder = Self::start(store.clone(), options, lease, token, requested_at);
            return Ok(Acquired::Held(holder));
        }
        // The store rejects a delayed write once its lease is revoked. If revoking fails, the lease
        // expires later.
        let _ = store.revoke_lease(lease).await;
        match claimed? {
            KeyHolder::Other(current) => Ok(Acquired::Standby(current)),
            KeyHolder::Own(_) => unreachable!("KeyHolder::Own returns above"),
        }
    }
}

async fn claim_key(
    store: &StoreClient,
    options: &DutyOptions,
    lease: LeaseId,
) -> Result<KeyHolder, StoreError> {
    let key = duty_key(&options.name);
    let record = DutyRecord {
        holder: options.holder.clone(),
        lease,
    };
    let value = serde_json::to_string(&record).map_err(|error| protocol_error(&error))?;
    let conditions = PutOptions {
        expectation: Expectation::Absent,
        lease: Some(lease),
    };
    match store.put(&key, value, conditions).await {
        Ok(version) => Ok(KeyHolder::Own(FencingToken(version))),
        Err(error @ (StoreError::Conflict { .. } | StoreError::OutcomeUnknown { .. })) => {
            read_holder(store, &key, lease).await?.ok_or(error)
        }
        Err(error) => Err(error),
    }
}

/// Reads the current holder. A matching lease shows that the write of this node was applied.
async fn read_holder(
    store: &StoreClient,
    key: &str,
    lease: LeaseId,
) -> Result<Option<KeyHolder>, StoreError> {
    let Some(entry) = store.get(key).await? else {
        return Ok(None);
    };
    let record: DutyRecord =
        serde_json::from_str(&entry.value).map_err(|error| protocol_error(&error))?;
    let token = FencingToken(entry.version);
    if record.lease == lease {
        return Ok(Some(KeyHolder::Own(token)));
    }
    let holder = record.holder;
    Ok(Some(KeyHolder::Other(CurrentHolder { holder, token })))
}

fn protocol_error(error: &serde_json::Error) -> StoreError {
    StoreError::Protocol {
        detail: error.to_string(),
    }
}
