//! Renews the lease of a held duty in the background and extends the validity of its [`Fence`].

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

/// Failed renewals are retried this many times within a renewal interval.
const RETRIES_PER_RENEWAL_INTERVAL: u32 = 4;

/// A held duty. After a drop the fence has lapsed, and the duty becomes free when its lease
/// expires.
#[derive(Debug)]
pub struct LeaseHolder {
    store: StoreClient,
    lease: LeaseId,
    validity: Arc<Validity>,
    fence: Fence,
    renewal_task: JoinHandle<()>,
}

impl LeaseHolder {
    /// Starts to renew a lease that was requested at `requested_at`.
    pub(super) fn start(
        store: StoreClient,
        options: &DutyOptions,
        lease: LeaseId,
        token: FencingToken,
        requested_at: Instant,
    ) -> Self {
        let period = options.ttl.saturating_sub(options.margin);
        let (sender, receiver) = watch::channel(Some(requested_at + period));
        let validity = Arc::new(Validity { sender, period });
        let renewal = RenewalTask {
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
            renewal_task: tokio::spawn(renewal.run(requested_at)),
        }
    }

    /// Returns a fence to check before each action of this duty.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.fence.clone()
    }

    /// Releases the duty, so that another node can acquire it at once.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; the duty then becomes free when the lease expires.
    pub async fn release(self) -> Result<(), StoreError> {
        // The fence must lapse before another node can acquire the duty.
        self.validity.invalidate();
        self.store.revoke_lease(self.lease).await
    }
}

impl Drop for LeaseHolder {
    fn drop(&mut self) {
        self.renewal_task.abort();
        self.validity.invalidate();
    }
}

/// Time until which the lease cannot have expired.
#[derive(Debug)]
struct Validity {
    sender: watch::Sender<Option<Instant>>,
    /// Time to live of the lease minus the margin.
    period: Duration,
}

impl Validity {
    /// Extends the validity after a renewal that was sent at `sent_at`. Returns `false` when the
    /// validity had already ended: a lapsed fence must stay lapsed.
    fn extend(&self, sent_at: Instant, now: Instant) -> bool {
        let mut is_valid = false;
        self.sender.send_modify(|valid_until| {
            *valid_until = valid_until
                .filter(|end| now < *end)
                .map(|end| end.max(sent_at + self.period));
            is_valid = valid_until.is_some();
        });
        is_valid
    }

    fn invalidate(&self) {
        self.sender.send_replace(None);
    }

    fn has_ended(&self, now: Instant) -> bool {
        self.sender.borrow().is_none_or(|end| end <= now)
    }
}

/// Background task that renews one lease.
struct RenewalTask {
    store: StoreClient,
    lease: LeaseId,
    interval: Duration,
    validity: Arc<Validity>,
}

impl RenewalTask {
    async fn run(self, requested_at: Instant) {
        let mut next_attempt = requested_at + self.interval;
        loop {
            sleep_until(next_attempt).await;
            let sent_at = Instant::now();
            if self.validity.has_ended(sent_at) {
                return self.validity.invalidate();
            }
            match self.store.renew_lease(self.lease).await {
                Ok(()) if self.validity.extend(sent_at, Instant::now()) => {
                    next_attempt = sent_at + self.interval;
                }
                Ok(()) => return,
                Err(StoreError::LeaseLapsed) => return self.validity.invalidate(),
                Err(error) => {
                    tracing::debug!(%error, "could not renew the lease of a duty; retrying");
                    let retry_delay = self.interval / RETRIES_PER_RENEWAL_INTERVAL;
                    next_attempt = Instant::now() + retry_delay.max(error.retry_after());
                }
            }
        }
    }
}
