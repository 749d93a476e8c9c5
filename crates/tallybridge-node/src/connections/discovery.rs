//! Finds other nodes: asks the machine list and the seeds, and speaks to who is there.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use tallybridge_store::MachineListClient;

use crate::{actor::fleet::PeerSeen, context::NodeContext};

/// Time between two looks at the machine list.
const INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for the machine list to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Looks for nodes until this one stops.
pub async fn discover_peers(context: NodeContext) {
    let machine_list = context
        .settings
        .machine_list
        .and_then(|address| MachineListClient::new(address, REQUEST_TIMEOUT).ok());
    let mut timer = tokio::time::interval(INTERVAL);
    loop {
        tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            _ = timer.tick() => {}
        }
        let addresses = known_addresses(&context, machine_list.as_ref()).await;
        for address in addresses {
            tokio::spawn(introduce(context.clone(), address));
        }
    }
}

async fn known_addresses(
    context: &NodeContext,
    machine_list: Option<&MachineListClient>,
) -> BTreeSet<SocketAddr> {
    let mut addresses: BTreeSet<_> = context.settings.seeds.iter().copied().collect();
    if let Some(machine_list) = machine_list {
        match machine_list.machines().await {
            Ok(machines) => {
                addresses.extend(machines.into_iter().map(|machine| machine.peer_address));
            }
            Err(error) => tracing::debug!(%error, "the machine list did not answer"),
        }
    }
    addresses.remove(&context.settings.peer_address);
    addresses
}

/// Opens a link to an address and takes in who answers.
async fn introduce(context: NodeContext, address: SocketAddr) {
    match context.links.link(address).await {
        Ok(link) => {
            // Fails only when the node is stopping.
            let _ = context.ask(PeerSeen(link.peer.clone())).await;
        }
        Err(error) => tracing::debug!(%address, %error, "no node answers"),
    }
}
