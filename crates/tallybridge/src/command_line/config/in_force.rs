//! Waits until a revision is in force.

use std::{net::SocketAddr, time::Duration};

use tallybridge_config::Revision;
use tallybridge_core::ErrorKind;
use tokio::time::Instant;

use crate::command_line::{
    Failure,
    admin::{AdminClient, NodeAnswer, NodeStatus},
};

/// Time between two rounds of questions.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Asks the nodes until each has the revision or a later one.
///
/// # Errors
///
/// [`ErrorKind::NodeUnavailable`] when the time is over first; it names the nodes that lag.
pub async fn wait_until_in_force(
    revision: Revision,
    addresses: &[SocketAddr],
    longest: Duration,
) -> Result<String, Failure> {
    let client = AdminClient::new(addresses)?;
    let deadline = Instant::now() + longest;
    loop {
        let answers = client.get("/status").await;
        let lagging: Vec<_> = answers
            .iter()
            .filter_map(|answer| lag(answer, revision))
            .collect();
        let reached = answers.len() - lagging.len();
        let count = format!("in force at {reached} of {} nodes", answers.len());
        if lagging.is_empty() {
            return Ok(format!("revision {revision} is {count}\n"));
        }
        if Instant::now() + POLL_INTERVAL > deadline {
            let detail = format!(
                "revision {revision} is made, but after {} s {count}; lagging: {}",
                longest.as_secs(),
                lagging.join("; ")
            );
            return Err(Failure::new(ErrorKind::NodeUnavailable, detail));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// How a node lags, if it does.
fn lag(answer: &NodeAnswer, revision: Revision) -> Option<String> {
    let address = answer.address;
    match answer.read::<NodeStatus>() {
        Ok(status) if status.revision >= revision.0 => None,
        Ok(status) => Some(format!("{address} is at revision {}", status.revision)),
        Err(error) => Some(format!("{address}: {error}")),
    }
}
