//! Fetches the configuration from a peer that has a newer version.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};

use crate::{
    node::Node,
    protocol::{Frame, Message},
};

const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(300);
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a watcher waits for its own watch before it fetches a newer version from a peer.
const WATCHER_FETCH_DELAY: Duration = Duration::from_millis(200);
/// Time for which a watch may lag behind peers before it is suspected. It exceeds the pause that a
/// watcher makes after each change.
const MAX_WATCH_LAG: Duration = Duration::from_millis(700);

/// Fetches newer configurations from peers for as long as the process runs.
///
/// A node that does not watch the store fetches a newer version immediately. A watcher first waits
/// for its own watch, and suspects the watch if it still has not reported the change.
pub async fn follow_peers_configuration(node: Arc<Node>) {
    let mut behind_since: Option<Instant> = None;
    let mut watch_lags_since: Option<Instant> = None;
    loop {
        tokio::select! {
            () = sleep(PEER_CHECK_INTERVAL) => {}
            () = node.peer_ahead() => {}
        }
        let newer_peer = node.peer_with_newer_configuration();
        let is_watcher = node.is_watcher();
        let is_watch_lagging = is_watcher && (newer_peer.is_some() || node.is_ahead_of_store());
        if update_held_time(&mut watch_lags_since, is_watch_lagging) >= MAX_WATCH_LAG {
            node.suspect_watch();
        }
        let time_behind = update_held_time(&mut behind_since, newer_peer.is_some());
        let Some(link) = newer_peer else {
            continue;
        };
        if !is_watcher || time_behind >= WATCHER_FETCH_DELAY {
            link.send(&Frame::without_call(Message::FetchConfiguration));
            sleep(FETCH_RETRY_INTERVAL).await;
        }
    }
}

/// Updates the start of the period for which a condition has held, and returns its length.
fn update_held_time(since: &mut Option<Instant>, holds: bool) -> Duration {
    if !holds {
        *since = None;
        return Duration::ZERO;
    }
    since.get_or_insert_with(Instant::now).elapsed()
}
