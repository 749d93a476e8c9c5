//! Limits on the rate of log lines. The next line that is written reports how many were left out.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

/// Rate of lines about malformed data from other programs.
const MALFORMED_DATA_RATE: LineRate = LineRate {
    lines: 1,
    window: Duration::from_secs(5),
};

/// The maximum number of log lines per time window.
#[derive(Debug, Clone, Copy)]
pub(super) struct LineRate {
    pub(super) lines: u32,
    pub(super) window: Duration,
}

/// The current window of one kind of line. A window starts with the first line after the previous
/// window.
#[derive(Debug, Default)]
pub(super) struct LineWindow {
    started_at: Option<Instant>,
    lines: u32,
    left_out: u64,
}

impl LineWindow {
    const fn new() -> Self {
        Self {
            started_at: None,
            lines: 0,
            left_out: 0,
        }
    }

    /// Returns the number of lines left out since the last written one, or `None` if the line must
    /// not be written now.
    pub(super) fn admit(&mut self, rate: LineRate, now: Instant) -> Option<u64> {
        let has_expired = self
            .started_at
            .is_none_or(|started_at| now.saturating_duration_since(started_at) >= rate.window);
        if has_expired {
            self.started_at = Some(now);
            self.lines = 0;
        }
        if self.lines >= rate.lines {
            self.left_out += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

/// Limits one kind of log line to one per five seconds. Each kind of line has its own `static`.
#[derive(Debug, Default)]
pub struct LogRateLimit(Mutex<LineWindow>);

impl LogRateLimit {
    /// Creates a limit whose first line is written at once.
    #[must_use]
    pub const fn new() -> Self {
        Self(Mutex::new(LineWindow::new()))
    }

    /// Returns the number of lines left out since the last written one, or `None` if the line must
    /// not be written now.
    pub fn admit(&self) -> Option<u64> {
        let now = Instant::now();
        let mut window = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        window.admit(MALFORMED_DATA_RATE, now)
    }
}
