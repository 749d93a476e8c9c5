//! Detects a crash of the back end beside this node when its calls lose their connections.
//!
//! When every running call has lost its connection, the node opens one test connection. If the
//! connection is refused, the back end has crashed. If it is accepted, the back end is running.
//! Otherwise the next health check or report shows which incarnation is running.
//!
//! Lost connections alone are not proof, because a back end over its connection limit resets them
//! too. Waiting for a new instance detects a crash too late: the same request crashes other back
//! ends in the meantime.

use std::{io, sync::Arc, time::Duration};

use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::node::Node;

/// Time within which all calls at a crashed back end lose their connections.
const CONNECTION_LOSS_WINDOW: Duration = Duration::from_millis(5);
/// Timeout of the test connection, which stays on this machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Detects crashes for as long as the process runs.
pub async fn watch_for_crashes(node: Arc<Node>) {
    loop {
        node.call_lost().await;
        sleep(CONNECTION_LOSS_WINDOW).await;
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
        // Inconclusive: the next health check or report shows whether the incarnation changed.
        Ok(Err(_)) | Err(_) => {}
    }
}
