//! Limits on log lines: so many in a span of time; the next line says how many were left out.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

/// Rate of lines that other programs cause with malformed data. Origin not recorded.
const RATE: LineRate = LineRate {
    lines: 1,
    span: Duration::from_secs(5),
};

/// A rate of log lines.
#[derive(Debug, Clone, Copy)]
pub(super) struct LineRate {
    pub(super) lines: u32,
    pub(super) span: Duration,
}

/// The current span of one kind of line. It begins with the first line after the span before it.
#[derive(Debug, Default)]
pub(super) struct LineWindow {
    began: Option<Instant>,
    lines: u32,
    left_out: u64,
}

impl LineWindow {
    const fn new() -> Self {
        Self {
            began: None,
            lines: 0,
            left_out: 0,
        }
    }

    /// Whether a line may be written now. Gives the number of lines that were left out since the last one.
    pub(super) fn admit(&mut self, rate: LineRate, now: Instant) -> Option<u64> {
        let is_over = self
            .began
            .is_none_or(|began| now.saturating_duration_since(began) >= rate.span);
        if is_over {
            self.began = Some(now);
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

/// Limits one kind of log line to one in five seconds. Made for a `static` beside the line.
#[derive(Debug, Default)]
pub struct LogRateLimit(Mutex<LineWindow>);

impl LogRateLimit {
    /// A limit of its own for one kind of line.
    #[must_use]
    pub const fn new() -> Self {
        Self(Mutex::new(LineWindow::new()))
    }

    /// Whether the line may be written now. Gives the number of lines that were left out since the
    /// last one.
    pub fn line(&self) -> Option<u64> {
        let now = Instant::now();
        let mut window = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        window.admit(RATE, now)
    }
}
