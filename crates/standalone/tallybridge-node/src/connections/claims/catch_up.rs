//! Learns of newer partition maps from members that have them.

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};
use tallybridge_core::{NodeId, Refusal};
use tokio::time::Instant;

use super::{LINK_TIMEOUT, map::fetch_until};
use crate::{
    actor::claims::{ForgetMapAhead, MapMembersAhead, MapVersion},
    context::NodeContext,
};

/// Time to wait once no member could help, so that what can't be fetched is not asked for with
/// each datagram.
const PAUSE: Duration = Duration::from_millis(500);

/// Brings this node's map up to date whenever a member is heard to have a newer one, until the
/// node stops. One member is asked at a time, however many are ahead.
pub async fn catch_up_map(context: NodeContext) {
    let mut random = SmallRng::seed_from_u64(context.identity.instance.0);
    loop {
        tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            () = context.map_ahead.notified() => {}
        }
        let asked = tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            asked = ask_members(&context, &mut random) => asked,
        };
        if asked.is_err() {
            return;
        }
    }
}

/// Asks the members that are ahead, in random order so that the fleet does not fall upon one, until
/// none is left or none could help. Fails when the node stops.
async fn ask_members(context: &NodeContext, random: &mut SmallRng) -> Result<(), Refusal> {
    loop {
        let mut ahead = context.ask(MapMembersAhead).await?;
        if ahead.is_empty() {
            return Ok(());
        }
        ahead.shuffle(random);
        if !ask_in_turn(context, ahead).await? {
            tokio::time::sleep(PAUSE).await;
            return Ok(());
        }
    }
}

/// Asks one member after the other until one has brought a newer map; `false` when none has. One
/// that brings none is left out until it is heard from again.
async fn ask_in_turn(context: &NodeContext, members: Vec<NodeId>) -> Result<bool, Refusal> {
    for node in members {
        let before = context.ask(MapVersion).await?;
        // A whole map takes longer than a vote, and no call waits for it.
        fetch_until(context, node, false, Instant::now() + LINK_TIMEOUT).await;
        if context.ask(MapVersion).await? > before {
            return Ok(true);
        }
        tracing::debug!(%node, "the partition map was not fetched");
        context.ask(ForgetMapAhead(node)).await?;
    }
    Ok(false)
}
