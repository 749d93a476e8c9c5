//! The rule by which a link's other node is judged alive, suspect or lost.
//!
//! **Rule.** A link on which nothing came for a while is pinged; the longer the ping stays
//! unanswered, the less is expected of the link: new calls avoid it, then idempotent calls on it are
//! given up, then it is closed.
//!
//! **Inputs.** When the last frame came and when the outstanding ping was sent (monotonic clock, of
//! this node alone); whether calls wait on the link; how many links this node has. All are exact at
//! the tick that judges; a tick comes each 100 ms, so each step may be that much late. The clock
//! stands still while the machine is suspended, so that a wake does not look like the loss of all
//! peers (`docs/DESIGN.md`).
//!
//! **Output.** One `Verdict` a tick. Any frame from the other node makes the link alive again.
//!
//! **Why.** A call that is sent to a silent node waits there for its full time. Placing new calls
//! elsewhere does no harm if the node was merely slow, so that comes first. A call that is given up
//! may still run there and runs again elsewhere, which only idempotent calls may; of the others
//! nothing can be said, and they wait until the link is closed. Weighed instead of contact on links:
//! SWIM over UDP, a second protocol beside the link (`docs/DESIGN.md`).

use std::time::Duration;

use tokio::time::Instant;

/// Silence after which a link with calls on it is pinged. Origin not recorded.
const PING_BUSY: Duration = Duration::from_millis(300);
/// Silence after which a link without calls is pinged, where there are few links. Origin not
/// recorded.
const PING_IDLE: Duration = Duration::from_millis(1000);
/// Where there are many links, the silence after which one without calls is pinged is this for each
/// of them, so that pings stay at 83 a second of a node whatever the number of its links: 5.2 s at
/// the 432 links of the largest site (`docs/CAPACITY.md`).
const PING_IDLE_PER_LINK: Duration = Duration::from_millis(12);
/// Time without an answer to a ping after which new calls avoid the link. At 700 ms calls went to a
/// silent executor for a second; this raised the share of requests served by 0.005 to 0.006 in three
/// of four recorded incidents and left it as it was in one, one run each.
const SUSPECT_AFTER: Duration = Duration::from_millis(350);
/// Time without an answer to a ping after which the idempotent calls on the link are given up, to be
/// retried elsewhere. Origin not recorded.
const GIVE_UP_AFTER: Duration = Duration::from_millis(700);
/// Time without an answer to a ping after which the link is closed. Origin not recorded.
const CLOSE_AFTER: Duration = Duration::from_millis(2500);

/// Time after which the kernel ends a connection whose sent bytes are not acknowledged, at both ends
/// of a link. The end that accepted it sends no pings, and learns by this and by keep-alive probes
/// that the other one is gone; it takes as long as the opener to close the link.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = CLOSE_AFTER;

/// When the other node was last heard, and whether it owes an answer.
#[derive(Debug)]
pub(super) struct Liveness {
    received_at: Instant,
    /// When the ping was sent that is not answered yet.
    pinged_at: Option<Instant>,
}

/// What is to be done about a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Nothing: it was heard recently, or a ping is on its way.
    Alive,
    /// It was silent for so long that a ping is to be sent now.
    PingDue,
    /// New calls are to avoid it.
    Suspect,
    /// Besides, the idempotent calls on it are to be given up.
    GiveUpCalls,
    /// It is to be closed.
    Lost,
}

impl Liveness {
    pub fn new(now: Instant) -> Self {
        Self {
            received_at: now,
            pinged_at: None,
        }
    }

    /// A frame came.
    pub const fn received(&mut self, now: Instant) {
        self.received_at = now;
        self.pinged_at = None;
    }

    /// Judges the link. [`Verdict::PingDue`] is given once for each ping.
    pub fn judge(&mut self, now: Instant, has_calls: bool, links: u32) -> Verdict {
        if let Some(pinged_at) = self.pinged_at {
            return judge_unanswered(now.saturating_duration_since(pinged_at));
        }
        let silence = now.saturating_duration_since(self.received_at);
        if silence < ping_after(has_calls, links) {
            return Verdict::Alive;
        }
        self.pinged_at = Some(now);
        Verdict::PingDue
    }
}

fn ping_after(has_calls: bool, links: u32) -> Duration {
    if has_calls {
        PING_BUSY
    } else {
        PING_IDLE.max(PING_IDLE_PER_LINK * links)
    }
}

fn judge_unanswered(unanswered: Duration) -> Verdict {
    if unanswered >= CLOSE_AFTER {
        Verdict::Lost
    } else if unanswered >= GIVE_UP_AFTER {
        Verdict::GiveUpCalls
    } else if unanswered >= SUSPECT_AFTER {
        Verdict::Suspect
    } else {
        Verdict::Alive
    }
}
