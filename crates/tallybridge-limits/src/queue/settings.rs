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
    /// A class whose queue was not empty for this time has a standing queue.
    pub interval: Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            capacity: 64,
            target_delay: Duration::from_millis(50),
            interval: Duration::from_millis(100),
        }
    }
}
