//! Local check that the lease of a duty cannot have expired yet.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// Number that grows with each acquisition of a duty: the version of the duty's key.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

/// The lease may have expired, so another node may hold the duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the lease of the duty may have expired")]
pub struct Lapsed;

/// Tells whether the lease of a duty is certainly valid. Clones share their state.
#[derive(Debug, Clone)]
pub struct Fence {
    token: FencingToken,
    /// Time until which the lease cannot expire; `None` once the duty has ended.
    valid_until: watch::Receiver<Option<Instant>>,
}

impl Fence {
    pub(super) const fn new(
        token: FencingToken,
        valid_until: watch::Receiver<Option<Instant>>,
    ) -> Self {
        Self { token, valid_until }
    }

    /// Returns the fencing token of the holder, to be stored with each guarded write.
    #[must_use]
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Checks that the lease is certainly valid at `now`. Call this right before an action.
    ///
    /// # Errors
    ///
    /// [`Lapsed`] when the lease may have expired.
    pub fn check(&self, now: Instant) -> Result<(), Lapsed> {
        if self.remaining(now).is_zero() {
            return Err(Lapsed);
        }
        Ok(())
    }

    /// Returns the time for which the lease is certainly valid without another renewal, zero when
    /// it may have expired.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        let valid_until = *self.valid_until.borrow();
        valid_until.map_or(Duration::ZERO, |expiry| {
            expiry.saturating_duration_since(now)
        })
    }

    /// Waits until the lease may have expired.
    pub async fn lapsed(&self) {
        let mut valid_until = self.valid_until.clone();
        loop {
            let expiry = *valid_until.borrow_and_update();
            let Some(expiry) = expiry.filter(|expiry| Instant::now() < *expiry) else {
                return;
            };
            tokio::select! {
                () = sleep_until(expiry) => {}
                changed = valid_until.changed() => if changed.is_err() {
                    // The sender was dropped, so no renewal can extend the time.
                    sleep_until(expiry).await;
                },
            }
        }
    }
}
