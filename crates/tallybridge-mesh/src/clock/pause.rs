//! Detection of pauses of this process: it was stopped, got no processor time, or its machine was
//! suspended.
//!
//! Ticks are 100 ms apart; a process without a tick for 500 ms was paused. Data read from a socket
//! during a pause, or within 30 ms after it, counts as arrived when the pause began. Otherwise a
//! call that waited in the socket would run with its original time limit after its caller has
//! stopped waiting.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::BootInstant;

/// Time without a tick after which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Time after a pause in which data that arrived during the pause may still be read.
const BACKLOG_READ_TIME: Duration = Duration::from_millis(30);

static DETECTOR: Mutex<PauseDetector> = Mutex::new(PauseDetector {
    last_tick: None,
    last_pause: None,
    pause_count: 0,
});

/// The pauses of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pauses {
    /// Number of pauses since the process started.
    pub count: u64,
    /// Length of the last pause; zero if there was none.
    pub last: Duration,
}

/// Records that the process is running, and returns its pauses since it started. Each node must call
/// this at each tick.
pub fn record_tick() -> Pauses {
    let now = BootInstant::now();
    detector().record_tick(now)
}

/// Returns the longest time for which data read now may have waited in its socket.
pub(super) fn max_unread_age(now: BootInstant) -> Duration {
    detector().max_unread_age(now)
}

fn detector() -> MutexGuard<'static, PauseDetector> {
    DETECTOR.lock().unwrap_or_else(PoisonError::into_inner)
}

struct PauseDetector {
    last_tick: Option<BootInstant>,
    last_pause: Option<Pause>,
    pause_count: u64,
}

#[derive(Clone, Copy)]
struct Pause {
    ended_at: BootInstant,
    length: Duration,
}

impl PauseDetector {
    fn record_tick(&mut self, now: BootInstant) -> Pauses {
        let length = self.since_last_tick(now);
        if length >= PAUSE_THRESHOLD {
            self.pause_count += 1;
            self.last_pause = Some(Pause {
                ended_at: now,
                length,
            });
        }
        self.last_tick = Some(now);
        Pauses {
            count: self.pause_count,
            last: self.last_pause.map_or(Duration::ZERO, |pause| pause.length),
        }
    }

    fn since_last_tick(&self, now: BootInstant) -> Duration {
        let last_tick = self.last_tick.unwrap_or(now);
        now.saturating_duration_since(last_tick)
    }

    fn max_unread_age(&self, now: BootInstant) -> Duration {
        let since_last_tick = self.since_last_tick(now);
        if since_last_tick >= PAUSE_THRESHOLD {
            return since_last_tick;
        }
        let recent_pause = self
            .last_pause
            .filter(|pause| now.saturating_duration_since(pause.ended_at) < BACKLOG_READ_TIME);
        recent_pause.map_or(Duration::ZERO, |pause| pause.length)
    }
}
