//! Translates times on a peer's clock to the local clock.
//!
//! A message may be delayed for seconds on an interrupted link, so an age in it would be too small
//! on arrival. A node sends times on its own clock instead, and one reading of this clock in answer
//! to the hello. The reading is assumed to be from the time when the hello was sent. Translated
//! times are therefore too early by at most the handshake, and never look too recent.

use std::time::Duration;

use crate::clock::BootInstant;

/// One point in time on the local clock and on the peer's clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerClock {
    hello_sent_at: BootInstant,
    /// Reading of the peer's clock that answered the hello, in milliseconds.
    peer_ms: u64,
}

impl PeerClock {
    pub const fn new(hello_sent_at: BootInstant, peer_ms: u64) -> Self {
        Self {
            hello_sent_at,
            peer_ms,
        }
    }

    /// Translates a time in milliseconds on the peer's clock. Returns `None` if the result is out of
    /// range of the local clock.
    pub fn to_local(self, peer_ms: u64) -> Option<BootInstant> {
        let offset = Duration::from_millis(peer_ms.abs_diff(self.peer_ms));
        if peer_ms >= self.peer_ms {
            self.hello_sent_at.checked_add(offset)
        } else {
            self.hello_sent_at.checked_sub(offset)
        }
    }
}
