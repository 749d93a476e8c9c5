//! Whether a duty is still surely held.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// Number that grows with each holder of a duty: the store's version of the duty's key.
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

/// The duty may be another's by now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the duty is no longer surely held")]
pub struct Lapsed;

/// Says whether the duty is still surely held. Clones say the same.
#[derive(Debug, Clone)]
pub struct Fence {
    token: FencingToken,
    /// End of the time in which the lease can't have lapsed; `None` once it is known to be over.
    valid_until: watch::Receiver<Option<Instant>>,
}

impl Fence {
    pub(super) const fn new(
        token: FencingToken,
        valid_until: watch::Receiver<Option<Instant>>,
    ) -> Self {
        Self { token, valid_until }
    }

    /// The holder's token.
    #[must_use]
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Checks that the duty is surely held at this time. To be asked right before acting.
    ///
    /// # Errors
    ///
    /// [`Lapsed`].
    pub fn check(&self, now: Instant) -> Result<(), Lapsed> {
        if self.remaining(now).is_zero() {
            return Err(Lapsed);
        }
        Ok(())
    }

    /// The time for which the duty is surely held without another renewal; zero when it no longer
    /// is.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        let valid_until = *self.valid_until.borrow();
        valid_until.map_or(Duration::ZERO, |end| end.saturating_duration_since(now))
    }

    /// Completes when the duty is no longer surely held.
    pub async fn lapsed(&self) {
        let mut valid_until = self.valid_until.clone();
        loop {
            let end = *valid_until.borrow_and_update();
            let Some(end) = end.filter(|end| Instant::now() < *end) else {
                return;
            };
            tokio::select! {
                () = sleep_until(end) => {}
                changed = valid_until.changed() => if changed.is_err() {
                    // Without a sender nothing extends the time any more, so it runs out.
                    sleep_until(end).await;
                },
            }
        }
    }
}
