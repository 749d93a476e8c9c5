//! Waits until a revision is in force.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use tallybridge_config::Revision;
use tallybridge_core::ErrorKind;
use tokio::time::Instant;

use crate::command_line::{
    Failure,
    admin::{AdminClient, NodeStatus},
    fleet::{FleetReport, FleetRow},
};

/// Time between two rounds of questions.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Asks until each node of the fleet has the revision or a later one. The nodes at the addresses
/// ask the others.
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
        let answers = client.get("/status?fleet=true").await;
        let fleet = FleetReport::gather(&answers);
        let mut lagging: Vec<_> = fleet
            .rows
            .iter()
            .filter_map(|row| lag(row, revision))
            .collect();
        let silent = fleet.silent.iter();
        lagging.extend(silent.map(|(node, reason)| format!("{node}: {reason}")));
        let nodes = fleet.rows.len() + fleet.silent.len();
        let reached = nodes - lagging.len();
        let count = format!("in force at {reached} of {nodes} nodes");
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
fn lag(row: &FleetRow, revision: Revision) -> Option<String> {
    let status = match NodeStatus::deserialize(&row.value) {
        Ok(status) => status,
        Err(error) => return Some(format!("{}: unexpected answer: {error}", row.node)),
    };
    if status.revision >= revision.0 {
        return None;
    }
    let at = format!("{} is at revision {}", row.node, status.revision);
    Some(match status.configuration_refused {
        Some(refused) => format!("{at} and refuses {}: {}", refused.revision, refused.reason),
        None => at,
    })
}
