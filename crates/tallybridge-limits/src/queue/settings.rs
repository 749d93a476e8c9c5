//! Settings of an admission queue.

use std::time::Duration;

/// Settings of an [`AdmissionQueue`](super::AdmissionQueue).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// Largest number of waiting calls.
    pub capacity: usize,
    /// A standing queue sheds calls that waited longer than this, except in the most critical class.
    pub target_delay: Duration,
    /// A class has a standing queue if it was never empty during this time and its oldest call waited
    /// longer than the target delay.
    pub interval: Duration,
}

/// Settings for deadlines of about one second.
///
/// The target delay is less than half of the deadline, so that a call that was not shed can still
/// complete. The long interval avoids shedding from a queue that is rarely empty because the load
/// equals the capacity.
impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            capacity: 64,
            target_delay: Duration::from_millis(400),
            interval: Duration::from_secs(1),
        }
    }
}
