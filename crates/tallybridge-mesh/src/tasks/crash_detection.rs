//! Finds out whether the back end beside this node has ended when calls at it break off.

use std::{io, sync::Arc, time::Duration};

use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::node::Node;

/// Time in which all calls at a back end that has ended are found to be broken off.
const SETTLE: Duration = Duration::from_millis(5);
/// Longest wait for a connection that shows whether the back end, on the same machine, still listens.
const PROBE: Duration = Duration::from_millis(500);

/// Finds out whether the back end ended whenever all calls at it broke off.
pub async fn watch_for_crashes(node: Arc<Node>) {
    loop {
        node.call_broke().await;
        sleep(SETTLE).await;
        if node.have_all_calls_broken() {
            probe_back_end(&node).await;
        }
    }
}

/// A back end that refuses connections has ended: nothing but a process that is gone does, on the
/// same machine. One that lets a connection in lives, and what broke off was a connection each. If
/// neither shows, the instance that answers next tells, or the start that its reports name.
async fn probe_back_end(node: &Node) {
    let connecting = TcpStream::connect(node.settings.backend.address);
    let is_gone = match timeout(PROBE, connecting).await {
        Ok(Ok(_)) => false,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => true,
        _ => return,
    };
    if !is_gone {
        node.absolve_broken_calls();
        return;
    }
    node.backend_ended();
}
