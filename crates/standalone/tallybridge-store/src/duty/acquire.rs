//! Becoming the holder of a duty.

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{
    fence::FencingToken,
    holder::LeaseHolder,
    options::{DutyOptions, duty_key},
};
use crate::client::{Entry, Expectation, LeaseId, PutOptions, StoreClient, StoreError};

/// What the store keeps of a held duty. The lease tells two attempts of one holder apart.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct DutyRecord {
    holder: String,
    lease: LeaseId,
}

/// What came of trying to become the holder.
#[derive(Debug)]
pub enum Acquired {
    /// This node holds the duty.
    Held(LeaseHolder),
    /// Another one does.
    Standby(CurrentHolder),
}

/// The holder of a duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentHolder {
    /// Its name.
    pub holder: String,
    /// Its token.
    pub token: FencingToken,
}

impl CurrentHolder {
    /// The holder that a duty's entry names.
    ///
    /// # Errors
    ///
    /// [`StoreError::Protocol`] when the entry is none of a duty.
    pub fn of_entry(entry: &Entry) -> Result<Self, StoreError> {
        let record: DutyRecord =
            serde_json::from_str(&entry.value).map_err(|error| protocol(&error))?;
        Ok(Self {
            holder: record.holder,
            token: FencingToken(entry.version),
        })
    }
}

/// What became of the duty's key.
enum Taken {
    Own(FencingToken),
    Other(CurrentHolder),
}

impl LeaseHolder {
    /// Tries once to become the holder of a duty.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`], a conflict when the duty has just become free. The duty is then not
    /// held, though its key may stay taken until the lease that was tried with lapses.
    pub async fn acquire(
        store: &StoreClient,
        options: &DutyOptions,
    ) -> Result<Acquired, StoreError> {
        // The store counts the lease's life from when it takes the request, which is later.
        let started = Instant::now();
        let lease = store.grant_lease(options.ttl).await?;
        let taken = take_key(store, options, lease).await;
        if let Ok(Taken::Own(token)) = taken {
            let held = Self::start(store.clone(), options, lease, token, started);
            return Ok(Acquired::Held(held));
        }
        // A write that may still arrive is refused once its lease is gone. If this fails too, the
        // lease lapses by itself.
        let _ = store.revoke_lease(lease).await;
        match taken? {
            Taken::Other(current) => Ok(Acquired::Standby(current)),
            Taken::Own(_) => unreachable!("handled above"),
        }
    }
}

async fn take_key(
    store: &StoreClient,
    options: &DutyOptions,
    lease: LeaseId,
) -> Result<Taken, StoreError> {
    let key = duty_key(&options.name);
    let record = DutyRecord {
        holder: options.holder.clone(),
        lease,
    };
    let value = serde_json::to_string(&record).map_err(|error| protocol(&error))?;
    let conditions = PutOptions {
        expectation: Expectation::Absent,
        lease: Some(lease),
    };
    match store.put(&key, value, conditions).await {
        Ok(version) => Ok(Taken::Own(FencingToken(version))),
        Err(error @ (StoreError::Conflict { .. } | StoreError::OutcomeUnknown { .. })) => {
            read_holder(store, &key, lease).await?.ok_or(error)
        }
        Err(error) => Err(error),
    }
}

/// Who holds the key now; a write whose confirmation was lost shows by its lease.
async fn read_holder(
    store: &StoreClient,
    key: &str,
    lease: LeaseId,
) -> Result<Option<Taken>, StoreError> {
    let Some(entry) = store.get(key).await? else {
        return Ok(None);
    };
    let record: DutyRecord =
        serde_json::from_str(&entry.value).map_err(|error| protocol(&error))?;
    let token = FencingToken(entry.version);
    if record.lease == lease {
        return Ok(Some(Taken::Own(token)));
    }
    let holder = record.holder;
    Ok(Some(Taken::Other(CurrentHolder { holder, token })))
}

fn protocol(error: &serde_json::Error) -> StoreError {
    StoreError::Protocol {
        detail: error.to_string(),
    }
}
