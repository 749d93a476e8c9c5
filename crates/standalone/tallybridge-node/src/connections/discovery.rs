//! Follows the machine list: where to join, and which machines leave.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use tallybridge_store::{Machine, MachineListClient, MachineState};
use tallybridge_wire::Message;

use crate::{
    actor::{
        fleet::{Leave, MemberAt, Seeds},
        status::CountMembers,
    },
    context::NodeContext,
};

/// Time between two looks at the machine list by a small fleet.
const INTERVAL: Duration = Duration::from_millis(500);
/// Looks at the machine list by the whole fleet, each second, however large it is.
const FLEET_LOOKS_PER_SECOND: u32 = 20;
/// Longest time for the machine list to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows the machine list until this node stops.
pub async fn follow_machine_list(context: NodeContext) {
    let seeds: BTreeSet<SocketAddr> = context.settings.seeds.iter().copied().collect();
    if join(&context, seeds.clone()).await.is_err() {
        return;
    }
    let Some(address) = context.settings.machine_list else {
        return;
    };
    let Ok(machine_list) = MachineListClient::new(address, REQUEST_TIMEOUT) else {
        tracing::error!("the machine list can't be followed: no HTTP client");
        return;
    };
    loop {
        match machine_list.machines().await {
            Ok(machines) => take_in(&context, &seeds, &machines).await,
            Err(error) => tracing::debug!(%error, "the machine list did not answer"),
        }
        tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            () = tokio::time::sleep(interval(&context).await) => {}
        }
    }
}

/// The larger the fleet, the rarer each node looks, so that the list is asked at a bounded rate.
async fn interval(context: &NodeContext) -> Duration {
    let members = context.ask(CountMembers).await.unwrap_or(1);
    let share = Duration::from_secs(1) / FLEET_LOOKS_PER_SECOND;
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    (share * members).max(INTERVAL)
}

async fn take_in(context: &NodeContext, seeds: &BTreeSet<SocketAddr>, machines: &[Machine]) {
    let mut addresses = seeds.clone();
    addresses.extend(machines.iter().map(|machine| machine.peer_address));
    // Fails only when the node is stopping.
    let _ = join(context, addresses).await;
    for machine in machines {
        if machine.state == MachineState::Leaving {
            tell_to_leave(context, machine.peer_address).await;
        }
    }
}

async fn join(
    context: &NodeContext,
    addresses: BTreeSet<SocketAddr>,
) -> Result<(), tallybridge_core::Refusal> {
    context.ask(Seeds(addresses.into_iter().collect())).await
}

/// Tells the node of a leaving machine, which may not have seen it: whoever reads the list first
/// tells it, and it tells the fleet.
async fn tell_to_leave(context: &NodeContext, address: SocketAddr) {
    if address == context.settings.peer_address {
        let _ = context.ask(Leave).await;
        return;
    }
    let Ok(Some(node)) = context.ask(MemberAt(address)).await else {
        return;
    };
    match context.links.link_to(node).await {
        Ok(link) => link.notify(Message::LeaveNotice).await,
        Err(error) => tracing::debug!(%node, %error, "a leaving node was not told"),
    }
}
