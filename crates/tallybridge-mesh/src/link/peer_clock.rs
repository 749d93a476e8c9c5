//! Translation of times on another node's clock into times here.
//!
//! A message may be held up for seconds on a link that was cut, so an age that it gives is too small
//! when it arrives. A node sends times on its own clock instead, and its clock once, in answer to
//! the hello of the node that opens the link. That clock was read no earlier than the hello was
//! sent, so each time is translated too early by at most the duration of the handshake, and what is
//! judged by it looks too old rather than too fresh.

use std::time::Duration;

use crate::clock::BootInstant;

/// A point in time on both clocks.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerClock {
    /// When the hello was sent.
    hello_sent_at: BootInstant,
    /// The other node's clock in its answer to that, in milliseconds.
    peer_ms: u64,
}

impl PeerClock {
    pub const fn new(hello_sent_at: BootInstant, peer_ms: u64) -> Self {
        Self {
            hello_sent_at,
            peer_ms,
        }
    }

    /// A time on the other node's clock, in milliseconds, as one here, or an earlier one; `None`
    /// for one before this clock began or beyond its end.
    pub fn to_local(self, peer_ms: u64) -> Option<BootInstant> {
        let distance = Duration::from_millis(peer_ms.abs_diff(self.peer_ms));
        if peer_ms >= self.peer_ms {
            self.hello_sent_at.checked_add(distance)
        } else {
            self.hello_sent_at.checked_sub(distance)
        }
    }
}
