//! Waiting for a change.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use super::{operation::WatchQuery, reply::EntriesReply, shared::Shared};

/// Longest wait that a watch may ask for.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// Answers when something below the prefix has changed, or when the wait is over.
pub async fn watch(shared: &Shared, query: &WatchQuery) -> EntriesReply {
    let wait = Duration::from_millis(query.wait_ms).min(LONGEST_WAIT);
    let deadline = Instant::now() + wait;
    loop {
        let changed = shared.changed();
        let now = Instant::now();
        let (reply, next_expiry) = read_changes(shared, query, now);
        if !reply.entries.is_empty() || now >= deadline {
            return reply;
        }
        let wake = next_expiry.map_or(deadline, |expiry| expiry.min(deadline));
        // Running out of time is no error: the loop looks again.
        let _ = timeout_at(wake, changed).await;
    }
}

fn read_changes(
    shared: &Shared,
    query: &WatchQuery,
    now: Instant,
) -> (EntriesReply, Option<Instant>) {
    let mut tables = shared.tables();
    tables.store.expire(now);
    let reply = EntriesReply {
        entries: tables.store.changes(&query.prefix, query.after),
        version: tables.store.version(),
    };
    (reply, tables.store.next_expiry())
}
