//! Follows the configuration log in the store.
//!
//! A few nodes of each zone watch the store, under a duty each; the others learn of a revision from
//! the fleet. What keeps a node from going back is the revision alone, so a watcher that was paused
//! and wakes after another took its duty does no harm: the duty only bounds the load on the store.

mod duty;
mod first;
mod options;
mod watch;

use std::{collections::BTreeSet, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tallybridge_config::{Revision, RevisionRecord};
use tallybridge_store::{
    Backoff, ConfigurationLog, LogError, StoreClient, StoreClientOptions, log::LogOptions,
};

use self::duty::Look;
pub use self::options::StoreTimes;
use crate::{
    actor::configuration::{
        ApplyRecords, ApplySnapshot, CurrentDocument, CurrentRevision, StoreConfirmed,
    },
    context::NodeContext,
};

/// The node stops.
struct Stopped;

/// One node's work with the store.
struct Follower {
    context: NodeContext,
    store: StoreClient,
    log: ConfigurationLog,
    times: StoreTimes,
    random: SmallRng,
    /// Failures of the store in a row.
    failures: u32,
    /// Whether this node watched last, and so tries again soon after a failure. The others come
    /// back at their next look, so that an outage does not draw the requests of the whole fleet.
    eager: bool,
}

/// Follows the log until the node stops. While the store is away the node serves from the newest
/// revision that it has.
pub async fn follow_configuration(context: NodeContext, times: StoreTimes) {
    let options = StoreClientOptions::new(context.settings.store.clone());
    let store = match StoreClient::new(options) {
        Ok(store) => store,
        Err(error) => {
            tracing::error!(%error, "the store can't be followed");
            return;
        }
    };
    let mut follower = Follower {
        random: SmallRng::seed_from_u64(context.identity.instance.0),
        log: ConfigurationLog::new(store.clone(), LogOptions::default()),
        context,
        store,
        times,
        failures: 0,
        eager: false,
    };
    // Ends only with the node.
    let Err(Stopped) = follower.run().await;
}

impl Follower {
    async fn run(&mut self) -> Result<std::convert::Infallible, Stopped> {
        self.first_configuration().await?;
        self.pause_up_to(self.succession_window().await?).await?;
        loop {
            match self.look().await? {
                Look::Held(holder) => {
                    self.eager = true;
                    self.watch_under_duty(holder).await?;
                }
                Look::Alone => {
                    self.eager = true;
                    self.watch_once().await?;
                }
                Look::Standby(holders) => {
                    self.eager = false;
                    self.wait_for_look(&holders).await?;
                }
                Look::Failed(error) if self.eager => self.pause_after(&error).await?,
                Look::Failed(error) => {
                    tracing::debug!(%error, "the store did not answer");
                    self.wait_for_look(&BTreeSet::new()).await?;
                }
            }
        }
    }

    /// Puts what was read in force and notes that there was nothing after it.
    async fn take_in(&self, records: Vec<RevisionRecord>) -> Result<Revision, Stopped> {
        /// More records are folded here, so that the tables are not held up by each.
        const MOST_SINGLE_RECORDS: usize = 64;
        let last = records.last().map(|record| record.revision);
        let applied = if records.len() > MOST_SINGLE_RECORDS {
            let mut document = (*self.context.ask(CurrentDocument).await?).clone();
            for record in &records {
                // One that does not follow is in the document already.
                let _ = document.apply(record);
            }
            self.context.ask(ApplySnapshot(document)).await?
        } else {
            self.context.ask(ApplyRecords(records)).await?
        };
        let confirmed = last.unwrap_or(applied);
        self.context.ask(StoreConfirmed(confirmed)).await?;
        Ok(applied)
    }

    async fn revision(&self) -> Result<Revision, Stopped> {
        Ok(self.context.ask(CurrentRevision).await?)
    }

    /// Waits after a failure of the store: longer with each in a row, and with jitter, so that the
    /// fleet does not come back as one.
    async fn pause_after(&mut self, error: &LogError) -> Result<(), Stopped> {
        self.pause_within(error, self.times.longest_retry).await
    }

    async fn pause_within(&mut self, error: &LogError, longest: Duration) -> Result<(), Stopped> {
        tracing::debug!(%error, "the store did not answer");
        self.failures += 1;
        let backoff = Backoff {
            first: self.times.first_retry,
            longest,
        };
        let asked_for = match error {
            LogError::Store(error) => error.retry_after(),
            LogError::Damaged { .. } => longest,
        };
        let wait = backoff.wait(self.failures, &mut self.random);
        self.pause(asked_for + wait).await
    }

    async fn pause_up_to(&mut self, longest: Duration) -> Result<(), Stopped> {
        let wait = longest.mul_f64(self.random.random());
        self.pause(wait).await
    }

    async fn pause(&self, wait: Duration) -> Result<(), Stopped> {
        self.until_stop(tokio::time::sleep(wait)).await
    }

    /// Runs to its end unless the node stops first.
    async fn until_stop<T>(&self, work: impl Future<Output = T>) -> Result<T, Stopped> {
        tokio::select! {
            biased;
            () = self.context.shutdown.cancelled() => Err(Stopped),
            done = work => Ok(done),
        }
    }
}

impl From<tallybridge_core::Refusal> for Stopped {
    /// The tables refuse nothing to their own node; they are gone when it ends.
    fn from(_: tallybridge_core::Refusal) -> Self {
        Self
    }
}
