//! Watching the log.

use std::time::Duration;

use tallybridge_store::{LeaseHolder, LogCursor};

use super::{Follower, Stopped};
use crate::actor::fleet::WatchesStore;

/// Watches after which a watcher reads the log itself, in case the store's watch missed something.
const WATCHES_PER_CHECK: u32 = 8;
/// Longest time to give a duty up while the node stops.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);

impl Follower {
    /// Watches for as long as the duty is held.
    pub(super) async fn watch_under_duty(&mut self, holder: LeaseHolder) -> Result<(), Stopped> {
        self.context.ask(WatchesStore(true)).await?;
        let fence = holder.fence();
        let watched = tokio::select! {
            biased;
            () = fence.lapsed() => Ok(()),
            Err(stopped) = self.watch() => Err(stopped),
        };
        if watched.is_err() {
            // Another node can take the duty at once. If this fails the lease lapses by itself.
            let _ = tokio::time::timeout(RELEASE_TIMEOUT, holder.release()).await;
        }
        self.context.ask(WatchesStore(false)).await?;
        watched
    }

    async fn watch(&mut self) -> Result<std::convert::Infallible, Stopped> {
        loop {
            let mut cursor = LogCursor::after(self.revision().await?);
            for _ in 0..WATCHES_PER_CHECK {
                if !self.advance(&mut cursor).await? {
                    break;
                }
            }
        }
    }

    /// Reads what is new and waits once for more.
    pub(super) async fn watch_once(&mut self) -> Result<(), Stopped> {
        let mut cursor = LogCursor::after(self.revision().await?);
        if self.advance(&mut cursor).await? {
            self.advance(&mut cursor).await?;
        }
        Ok(())
    }

    /// One watch; `false` after a failure, once the time to the next attempt is over.
    async fn advance(&mut self, cursor: &mut LogCursor) -> Result<bool, Stopped> {
        let watched = self.log.watch(cursor, self.times.watch_wait);
        match self.until_stop(watched).await? {
            Ok(records) => {
                self.failures = 0;
                self.take_in(records).await?;
                Ok(true)
            }
            Err(error) => {
                self.pause_after(&error).await?;
                Ok(false)
            }
        }
    }
}
