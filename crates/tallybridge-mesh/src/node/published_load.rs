//! When a change of this node's load is sent to the nodes that link to it.
//!
//! **Rule.** The load is sent when its utilization differs by more than 0.08, or its failing share
//! by more than 0.1, from what was last sent, and 4 ms for each linked node have passed since then;
//! a failing share that has risen by more than 0.1 is sent at once.
//!
//! **Inputs.** Each tick of 100 ms: the utilization of the back end (calls that run or wait there,
//! over the limit of calls; above 1 while calls wait), the share of its calls that fail (0 to 1,
//! the newest counting most), and the number of nodes that this one links to.
//!
//! **Output.** Whether the status is published now; it is then taken as sent.
//!
//! **Why.** A sender of calls learns the load with each answer; these messages are for the others.
//! Their number would grow with the square of the fleet if each node sent them at each tick. A back
//! end that begins to fail answers fast, looks idle and draws calls, so that is not delayed.
//!
//! **Constants.** See docs/MEASUREMENTS.md, "Against the number of machines": with this pause (and
//! with pings by the size of the fleet) control took 2.8% instead of 5.1% of a core at 300
//! machines.

use std::time::Duration;

use tokio::time::Instant;

/// Least time between two messages for each linked node, which is about as likely to have linked to
/// this one. Measured with the sweep above; the figure itself: Origin not recorded.
const PAUSE_PER_LINK: Duration = Duration::from_millis(4);
/// Change of the utilization (1 is all slots busy) that is sent. Origin not recorded.
const UTILIZATION_CHANGE: f64 = 0.08;
/// Change of the failing share of calls (0 to 1) that is sent. Origin not recorded.
const FAILING_CHANGE: f64 = 0.1;

/// The load that was last sent.
#[derive(Debug, Default)]
pub(super) struct PublishedLoad {
    utilization: f64,
    failing: f64,
    at: Option<Instant>,
}

impl PublishedLoad {
    /// Whether the load is to be sent now. It is then taken as sent.
    pub(super) fn update(
        &mut self,
        utilization: f64,
        failing: f64,
        links: u32,
        now: Instant,
    ) -> bool {
        let begins_to_fail = failing - self.failing > FAILING_CHANGE;
        let has_changed = (self.utilization - utilization).abs() > UTILIZATION_CHANGE
            || (self.failing - failing).abs() > FAILING_CHANGE;
        let is_due = begins_to_fail || (has_changed && !self.is_recent(links, now));
        if is_due {
            *self = Self {
                utilization,
                failing,
                at: Some(now),
            };
        }
        is_due
    }

    fn is_recent(&self, links: u32, now: Instant) -> bool {
        let pause = PAUSE_PER_LINK * links;
        self.at
            .is_some_and(|at| now.saturating_duration_since(at) < pause)
    }
}
