//! Follows the configuration log in the store.

use std::time::Duration;

use tallybridge_store::{
    ConfigurationLog, LogCursor, StoreClient, StoreClientOptions, log::LogOptions,
};

use crate::{
    actor::configuration::{ApplyRecords, CurrentRevision},
    context::NodeContext,
};

/// Longest time that one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time to wait after the store did not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the log until the node stops. While the store is away the node serves from the newest
/// revision that it has.
pub async fn follow_configuration(context: NodeContext) {
    let options = StoreClientOptions::new(context.settings.store.clone());
    let store = match StoreClient::new(options) {
        Ok(store) => store,
        Err(error) => {
            tracing::error!(%error, "the store can't be followed");
            return;
        }
    };
    let log = ConfigurationLog::new(store, LogOptions::default());
    let Ok(revision) = context.ask(CurrentRevision).await else {
        return;
    };
    let mut cursor = LogCursor::after(revision);
    loop {
        let watched = tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            watched = log.watch(&mut cursor, WATCH_WAIT) => watched,
        };
        match watched {
            Ok(records) => {
                if context.ask(ApplyRecords(records)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                tracing::debug!(%error, "the store did not answer");
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}
