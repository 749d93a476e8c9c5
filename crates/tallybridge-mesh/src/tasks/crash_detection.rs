//! Detects a crash of the back end beside this node when calls lose their connections to it.
//!
//! **Rule.** When every call at the back end has lost its connection, one connection is tried:
//! refused, the back end has crashed; accepted, it runs; neither, the next health check or report
//! shows which instance and start is there.
//!
//! **Why.** On the same machine only a process that is gone refuses connections. Lost connections
//! alone are no proof: a back end above its bound of connections resets them too. A new instance
//! alone shows a crash seconds late, and the same request crashes others meanwhile
//! (docs/design/quarantine.md, "What shows that a back end crashed").

use std::{io, sync::Arc, time::Duration};

use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::node::Node;

/// Time from the first lost connection in which the other calls at a crashed back end lose theirs.
/// Origin not recorded.
const SETTLE: Duration = Duration::from_millis(5);
/// Longest wait for the connection that is tried, to a process on the same machine. Origin not recorded.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Detects crashes for as long as the process runs.
pub async fn watch_for_crashes(node: Arc<Node>) {
    loop {
        node.call_lost().await;
        sleep(SETTLE).await;
        if node.is_crash_suspected() {
            probe_back_end(&node).await;
        }
    }
}

async fn probe_back_end(node: &Node) {
    let connecting = TcpStream::connect(node.settings.backend.address);
    match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(_)) => node.backend_reachable(),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => node.backend_gone(),
        // Nothing shown: the next health check or report tells a new instance or start from this one.
        Ok(Err(_)) | Err(_) => {}
    }
}
