//! Holding a duty: renewals in the background and the fence they feed.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep_until},
};

use super::{
    fence::{Fence, FencingToken},
    options::DutyOptions,
};
use crate::client::{LeaseId, StoreClient, StoreError};

/// Parts of a renewal interval between attempts while renewals fail.
const ATTEMPTS_PER_INTERVAL: u32 = 4;

/// A held duty. Dropped, it is no longer held, and free when its lease lapses.
#[derive(Debug)]
pub struct LeaseHolder {
    store: StoreClient,
    lease: LeaseId,
    validity: Arc<Validity>,
    fence: Fence,
    renewals: JoinHandle<()>,
}

impl LeaseHolder {
    /// Starts the renewals of a lease that was asked for at `started`.
    pub(super) fn start(
        store: StoreClient,
        options: &DutyOptions,
        lease: LeaseId,
        token: FencingToken,
        started: Instant,
    ) -> Self {
        let life = options.ttl.saturating_sub(options.margin);
        let (sender, receiver) = watch::channel(Some(started + life));
        let validity = Arc::new(Validity { sender, life });
        let renewal = Renewal {
            store: store.clone(),
            lease,
            interval: options.renewal_interval(),
            validity: Arc::clone(&validity),
        };
        Self {
            store,
            lease,
            validity,
            fence: Fence::new(token, receiver),
            renewals: tokio::spawn(renewal.run(started)),
        }
    }

    /// Says whether the duty is still surely held.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.fence.clone()
    }

    /// Gives the duty up, so that another one can take it at once.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; the duty is then free when the lease lapses.
    pub async fn release(self) -> Result<(), StoreError> {
        // From here on nobody acts under the duty, so that its next holder is alone.
        self.validity.end();
        self.store.revoke_lease(self.lease).await
    }
}

impl Drop for LeaseHolder {
    fn drop(&mut self) {
        self.renewals.abort();
        self.validity.end();
    }
}

/// The time until which the lease can't have lapsed.
#[derive(Debug)]
struct Validity {
    sender: watch::Sender<Option<Instant>>,
    /// Life of the lease less the margin.
    life: Duration,
}

impl Validity {
    /// Extends the time after a renewal that was sent at `sent`; `false` when it had run out
    /// before. A fence that has once said that the duty is lapsed never says otherwise again.
    fn extend(&self, sent: Instant, now: Instant) -> bool {
        let mut is_held = false;
        self.sender.send_modify(|valid_until| {
            *valid_until = valid_until
                .filter(|end| now < *end)
                .map(|end| end.max(sent + self.life));
            is_held = valid_until.is_some();
        });
        is_held
    }

    /// Ends the time now.
    fn end(&self) {
        self.sender.send_replace(None);
    }

    fn is_over(&self, now: Instant) -> bool {
        self.sender.borrow().is_none_or(|end| end <= now)
    }
}

/// The renewals of one lease.
struct Renewal {
    store: StoreClient,
    lease: LeaseId,
    interval: Duration,
    validity: Arc<Validity>,
}

impl Renewal {
    async fn run(self, started: Instant) {
        let mut next = started + self.interval;
        loop {
            sleep_until(next).await;
            let sent = Instant::now();
            if self.validity.is_over(sent) {
                return self.validity.end();
            }
            match self.store.renew_lease(self.lease).await {
                Ok(()) if self.validity.extend(sent, Instant::now()) => {
                    next = sent + self.interval;
                }
                Ok(()) => return,
                Err(StoreError::LeaseLapsed) => return self.validity.end(),
                Err(error) => {
                    tracing::debug!(%error, "a duty's lease was not renewed");
                    let pause = self.interval / ATTEMPTS_PER_INTERVAL;
                    next = Instant::now() + pause.max(error.retry_after());
                }
            }
        }
    }
}
