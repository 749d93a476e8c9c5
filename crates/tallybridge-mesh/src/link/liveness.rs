//! Judges from received frames whether the node at the other end of a link is alive.
//!
//! A link without traffic is pinged. While the ping remains unanswered, the link goes through three
//! steps: new calls avoid it, its idempotent calls are abandoned so that they can be retried, and
//! finally it is closed. Any received frame makes the link alive again. Non-idempotent calls wait
//! until the link is closed, because they may still be running.
//!
//! The judgement runs on every tick, so each step may be one tick late. The clock does not count
//! suspended time, so a resumed machine does not lose all its links.

use std::time::Duration;

use tokio::time::Instant;

/// Time without a frame after which a link with pending calls is pinged.
const BUSY_PING_DELAY: Duration = Duration::from_millis(300);
/// Minimum time without a frame after which a link without calls is pinged.
const MIN_IDLE_PING_DELAY: Duration = Duration::from_millis(1000);
/// Increase of the idle ping delay with each link of the node, which bounds the total rate of pings.
const IDLE_PING_DELAY_PER_LINK: Duration = Duration::from_millis(12);
/// Age of an unanswered ping at which new calls avoid the link. At 700 ms calls still went to an
/// unresponsive executor for about a second.
const SUSPECT_AFTER: Duration = Duration::from_millis(350);
/// Age of an unanswered ping at which the idempotent calls on the link are abandoned.
const ABANDON_AFTER: Duration = Duration::from_millis(700);
/// Age of an unanswered ping at which the link is closed.
const CLOSE_AFTER: Duration = Duration::from_millis(2500);

/// Time after which the kernel closes a connection whose sent bytes are not acknowledged.
///
/// The accepting side of a link sends no pings. It detects an unresponsive peer by this timeout and
/// by keep-alive probes.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = CLOSE_AFTER;

#[derive(Debug)]
pub(super) struct Liveness {
    received_at: Instant,
    /// Send time of the unanswered ping, if there is one.
    pinged_at: Option<Instant>,
}

/// Action that is required after a judgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// No action. A frame arrived recently, or the unanswered ping is recent.
    Alive,
    PingDue,
    /// New calls must avoid the link.
    Suspect,
    /// New calls must avoid the link, and its idempotent calls must be abandoned.
    AbandonCalls,
    /// The link must be closed.
    Unresponsive,
}

impl Liveness {
    pub fn new(now: Instant) -> Self {
        Self {
            received_at: now,
            pinged_at: None,
        }
    }

    /// Records the arrival of a frame, which also answers an outstanding ping.
    pub const fn record_frame(&mut self, now: Instant) {
        self.received_at = now;
        self.pinged_at = None;
    }

    /// Judges the link. Returns [`Verdict::PingDue`] once for each ping.
    pub fn judge(&mut self, now: Instant, has_calls: bool, link_count: u32) -> Verdict {
        if let Some(pinged_at) = self.pinged_at {
            return judge_unanswered_ping(now.saturating_duration_since(pinged_at));
        }
        let idle_time = now.saturating_duration_since(self.received_at);
        if idle_time < ping_delay(has_calls, link_count) {
            return Verdict::Alive;
        }
        self.pinged_at = Some(now);
        Verdict::PingDue
    }
}

fn ping_delay(has_calls: bool, link_count: u32) -> Duration {
    if has_calls {
        BUSY_PING_DELAY
    } else {
        MIN_IDLE_PING_DELAY.max(IDLE_PING_DELAY_PER_LINK * link_count)
    }
}

fn judge_unanswered_ping(ping_age: Duration) -> Verdict {
    if ping_age >= CLOSE_AFTER {
        Verdict::Unresponsive
    } else if ping_age >= ABANDON_AFTER {
        Verdict::AbandonCalls
    } else if ping_age >= SUSPECT_AFTER {
        Verdict::Suspect
    } else {
        Verdict::Alive
    }
}
