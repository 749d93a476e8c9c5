//! Fetching the configuration from a peer that has a newer one.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};

use crate::{
    node::Node,
    protocol::{Frame, Message},
};

/// Time between checks whether a peer has a newer configuration. Origin of the figure not recorded.
const PEER_CHECK: Duration = Duration::from_millis(300);
/// Time in which an answer to a fetch is expected before a peer is asked again. Origin of the figure not
/// recorded.
const FETCH_PAUSE: Duration = Duration::from_millis(100);
/// Time that a peer must have had a newer configuration before a watcher asks for it: its own watch
/// is nearly always sooner. With 700 ms a change was in force after 2.1 s where the store was
/// silent to all watchers; users allow 2 s.
const PEER_AHEAD: Duration = Duration::from_millis(200);
/// Time of being behind after which a watch is suspected: longer than the 400 ms that a watcher
/// pauses after a change, in which each node is a little behind the others. Origin of the figure
/// not recorded.
const WATCH_BEHIND: Duration = Duration::from_millis(700);

/// Fetches the configuration from a peer that has a newer one: at once if this node follows its peers, and
/// after a while if it watches the store itself. Its watch is suspected if it still has not reported the
/// change some time later.
pub async fn follow_peers_configuration(node: Arc<Node>) {
    let mut behind_since: Option<Instant> = None;
    let mut watch_behind_since: Option<Instant> = None;
    loop {
        tokio::select! {
            () = sleep(PEER_CHECK) => {}
            () = node.peer_ahead() => {}
        }
        let newer = node.peer_with_newer_configuration();
        let is_watcher = node.is_watcher();
        let is_watch_behind = is_watcher && (newer.is_some() || node.is_ahead_of_store());
        if held_for(&mut watch_behind_since, is_watch_behind) >= WATCH_BEHIND {
            node.suspect_watch();
        }
        let behind_for = held_for(&mut behind_since, newer.is_some());
        let Some(link) = newer else {
            continue;
        };
        if !is_watcher || behind_for >= PEER_AHEAD {
            link.send(&Frame::without_call(Message::FetchConfiguration));
            sleep(FETCH_PAUSE).await;
        }
    }
}

/// How long a condition has held, given when it began to; takes note of whether it holds now.
fn held_for(since: &mut Option<Instant>, holds: bool) -> Duration {
    if !holds {
        *since = None;
        return Duration::ZERO;
    }
    since.get_or_insert_with(Instant::now).elapsed()
}
