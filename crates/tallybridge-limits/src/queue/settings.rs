//! Bounds of an admission queue.

use std::time::Duration;

/// Bounds of an [`AdmissionQueue`](super::AdmissionQueue).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// Calls that may wait.
    pub capacity: usize,
    /// Under a standing queue a call that waited longer than this is shed, unless it is of the
    /// most critical class.
    pub target_delay: Duration,
    /// A class has a standing queue when that was not empty for this time and its oldest call
    /// waited longer than the target delay.
    pub interval: Duration,
}

/// Bounds for deadlines of about a second.
///
/// The target is less than half of the deadline, so that a call that is not shed can still be
/// answered. The interval is long: at a load of exactly the capacity a queue is seldom empty, and
/// what is shed from it is missed a moment later. Goodput with these bounds is measured in
/// docs/standalone/MEASUREMENTS.md. Origin of the capacity not recorded.
impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            capacity: 64,
            target_delay: Duration::from_millis(400),
            interval: Duration::from_secs(1),
        }
    }
}
