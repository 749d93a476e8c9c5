//! Log lines at a bounded rate.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

/// Span of time in which one line is written.
const SPAN: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct Lines {
    written_at: Option<Instant>,
    left_out: u64,
}

/// One line in five seconds of what others may cause as often as they like.
#[derive(Debug, Default)]
pub struct LogRateLimit(Mutex<Lines>);

impl LogRateLimit {
    /// Limits of their own for each kind of line.
    #[must_use]
    pub const fn new() -> Self {
        Self(Mutex::new(Lines {
            written_at: None,
            left_out: 0,
        }))
    }

    /// Whether a line is to be written now: with the number that was left out since the last one.
    pub fn line(&self) -> Option<u64> {
        let now = Instant::now();
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = lines
            .written_at
            .is_none_or(|at| now.saturating_duration_since(at) >= SPAN);
        if !is_due {
            lines.left_out += 1;
            return None;
        }
        lines.written_at = Some(now);
        Some(std::mem::take(&mut lines.left_out))
    }
}
