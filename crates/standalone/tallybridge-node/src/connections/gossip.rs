//! Probes and gossip over UDP.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tallybridge_wire::{MAX_DATAGRAM_BYTES, decode_datagram, encode_datagram};

use crate::{
    actor::fleet::{GossipReceived, GossipTick},
    connections::peer::network::DatagramSocket,
    context::NodeContext,
    systems::membership::GossipEffects,
};

/// Time between two runs of the systems of membership.
const TICK: Duration = Duration::from_millis(100);

/// Exchanges datagrams until the node stops.
pub async fn gossip(context: NodeContext, socket: Arc<dyn DatagramSocket>) {
    let mut timer = tokio::time::interval(TICK);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    // One byte more than a datagram may have, so that a longer one is not cut to a valid one.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let effects = tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            _ = timer.tick() => context.ask(GossipTick).await,
            received = socket.receive_from(&mut buffer) => {
                let Ok((length, from)) = received else {
                    // An earlier datagram was refused at its destination; probing finds that out.
                    continue;
                };
                let Ok(datagram) = decode_datagram(&buffer[..length]) else {
                    tracing::debug!(%from, "a datagram can't be read");
                    continue;
                };
                context.ask(GossipReceived { from, datagram }).await
            }
        };
        match effects {
            Ok(effects) => carry_out(&context, &*socket, effects).await,
            Err(_) => return,
        }
    }
}

async fn carry_out(context: &NodeContext, socket: &dyn DatagramSocket, effects: GossipEffects) {
    for outgoing in effects.outgoing {
        match encode_datagram(&outgoing.datagram) {
            Ok(bytes) => send(socket, &bytes, outgoing.to).await,
            Err(error) => tracing::error!(%error, "a datagram can't be written"),
        }
    }
    if effects.peer_ahead {
        context.peer_ahead.notify_one();
    }
    if effects.map_ahead {
        context.map_ahead.notify_one();
    }
}

async fn send(socket: &dyn DatagramSocket, bytes: &[u8], to: SocketAddr) {
    // What is lost here is what probing and comparison are made to bear.
    if let Err(error) = socket.send_to(bytes, to).await {
        tracing::debug!(%error, %to, "a datagram was not sent");
    }
}
